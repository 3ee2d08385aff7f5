//! Members as processes of the program, with an exchange between them, looked at from outside.

#[path = "node.rs"]
pub mod node;

use crate::peer::{folder, settings, well, within, Peer};
pub use node::Node;
use ottersail_fault_injection::{DatagramRelay, NetworkCondition};
use ottersail_net::{block_on, executor};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

pub const KEYS: &str = "a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\n";
pub const CUT: NetworkCondition = NetworkCondition {
    cut: true,
    reset: false,
    delay_ms: 0.0,
    loss_rate: 0.0,
    duplicate_rate: 0.0,
    reorder_rate: 0.0,
};

pub fn loss(part: f64) -> NetworkCondition {
    NetworkCondition { loss_rate: part, ..NetworkCondition::default() }
}

type Turn = Box<dyn FnOnce(&DatagramRelay) + Send>;

/// All of them, and the exchange on a thread of its own.
pub struct Cluster {
    pub nodes: Vec<Node>,
    /// The list, the titles and the one server of all.
    _peer: Peer,
    turns: async_channel::Sender<Turn>,
}

/// Addresses that no other test holds: a network of its own for each process and cluster.
fn own(cluster: u8, member: usize) -> (SocketAddr, SocketAddr) {
    let ip = [127, (std::process::id() % 200 + 16) as u8, cluster, member as u8 + 1];
    let at = SocketAddr::from((ip, 0));
    let (tcp, udp) = (TcpListener::bind(at).unwrap(), UdpSocket::bind(at).unwrap());
    (tcp.local_addr().unwrap(), udp.local_addr().unwrap())
}

impl Cluster {
    /// So many, named m-0 and on, each with `period`; `of` gives the cluster and name of each.
    pub fn with(count: usize, period: u64, of: impl Fn(usize) -> (String, String)) -> Cluster {
        Cluster::edited(count, period, of, |_, text| text)
    }

    /// The same with other settings of each.
    pub fn edited(
        count: usize,
        period: u64,
        of: impl Fn(usize) -> (String, String),
        edit: impl Fn(usize, String) -> String,
    ) -> Cluster {
        static CLUSTERS: AtomicU8 = AtomicU8::new(1);
        let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let addresses: Vec<_> = (0..count).map(|it| own(cluster, it)).collect();
        let (turns, asked) = async_channel::bounded::<Turn>(1_024);
        let (tell, told) = async_channel::bounded(1);
        let members: Vec<SocketAddr> = addresses.iter().map(|it| it.1).collect();
        std::thread::spawn(move || {
            let exec = executor();
            block_on(exec.run(async {
                let exchange = DatagramRelay::start(exec, members.clone(), 7).unwrap();
                let there: Vec<_> = (0..members.len()).map(|it| exchange.address(it).unwrap()).collect();
                _ = tell.send(there).await;
                while let Ok(turn) = asked.recv().await {
                    turn(&exchange);
                }
            }));
        });
        let there = told.recv_blocking().unwrap();
        let peer = Peer::new(well);
        let seeds: Vec<String> = there.iter().map(SocketAddr::to_string).collect();
        let node = |(ix, (http, udp)): (usize, &(SocketAddr, SocketAddr))| {
            let (cluster, name) = of(ix);
            let folder = folder("member");
            // Room for all viewings that a test sets up in some seconds.
            let room = settings(*http, peer.address, "")
                .replace("180000", "100000000")
                .replace("k:1000", "k:1000000");
            let text = room
                + &format!(
                    "[members]\nname = {name}\ncluster = {cluster}\nlisten = {udp}\nadvertise = {}\n\
                     seeds = {}\nkeys = keys\nperiod-ms = {period}\n",
                    there[ix],
                    seeds.join(", ")
                );
            std::fs::write(folder.path().join("keys"), KEYS).unwrap();
            std::fs::write(folder.path().join("m.ini"), edit(ix, text)).unwrap();
            Node::new(name, (*http, *udp), folder)
        };
        let nodes = addresses.iter().enumerate().map(node).collect();
        Cluster { nodes, _peer: peer, turns }
    }

    /// So many of one cluster, all started, all known to all.
    pub fn met(count: usize, period: u64) -> Cluster {
        let mut it = Cluster::with(count, period, |ix| ("east".into(), format!("m-{ix}")));
        it.nodes.iter_mut().for_each(Node::start);
        it.all_alive(20);
        // Each has told each its HTTP address as soon as they met, before probes have gone round.
        let doors = || it.up().all(|it| it.figure("ottersail_member_doors") == (count - 1) as f64);
        assert!(within(Duration::from_secs(2), doors), "{}", it.told());
        it
    }

    pub fn set(&self, from: usize, to: usize, condition: NetworkCondition) {
        _ = self.turns.send_blocking(Box::new(move |it| it.set_condition(from, to, condition)));
    }

    pub fn set_all(&self, condition: NetworkCondition) {
        for (from, to) in pairs(self.nodes.len()) {
            self.set(from, to, condition);
        }
    }

    /// Those that run.
    pub fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|it| it.runs())
    }

    /// Whether all that run believe that of the one with that name.
    pub fn all_believe(&self, of: &str, state: &str) -> bool {
        let others = |it: &&Node| it.name != of;
        self.up().filter(others).all(|it| it.beliefs().get(of).is_some_and(|it| it.0 == state))
    }

    /// Waits until all that run believe each other alive; how long that took.
    pub fn all_alive(&self, seconds: u64) -> Duration {
        let began = Instant::now();
        let names: Vec<&str> = self.up().map(|it| it.name.as_str()).collect();
        let hold = || names.iter().all(|it| self.all_believe(it, "alive"));
        assert!(
            within(Duration::from_secs(seconds), hold),
            "not all alive after {seconds} s: {}",
            self.told()
        );
        began.elapsed()
    }

    /// What each believes, for a test that fails.
    pub fn told(&self) -> String {
        self.up().map(|it| format!("\n{}: {:?}\n{}", it.name, it.beliefs(), it.log())).collect()
    }

    /// A figure of all that run, added up.
    pub fn sum(&self, figure: &str) -> f64 {
        self.up().map(|it| it.figure(figure)).sum()
    }

    /// Looks at all for so long: which states of each were seen, by anybody.
    pub fn watch(&self, span: Duration) -> BTreeMap<String, Vec<String>> {
        let mut seen: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let began = Instant::now();
        while began.elapsed() < span {
            for (of, (state, _)) in self.up().flat_map(Node::beliefs) {
                let states = seen.entry(of).or_default();
                if !states.contains(&state) {
                    states.push(state);
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        seen
    }
}

pub fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..count).flat_map(move |from| (0..count).map(move |to| (from, to))).filter(|it| it.0 != it.1)
}
