//! Managers of which three are councillors, the orders' file of one of them, and who starts again what goes out.

use crate::cluster::{Cluster, Node};
use crate::peer::{get, within};
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The slowest that a release of some managers is on a machine with other work.
pub const LONG: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(20);
/// The exit code of a manager that goes out by a permit.
const RELEASED: i32 = 3;
/// Viewings at once that a manager takes, but for those of the bad version.
const MANY: u32 = 100_000;

pub struct Field {
    pub all: Cluster,
    pub most_out: usize,
    /// How many belong to it, as orders tell.
    pub fleet: usize,
    pub settle_ms: u32,
    serial: u64,
    /// Gone out by a permit, started again, and not yet seen to answer that it is ready: out.
    coming: BTreeSet<usize>,
    /// Killed by the test: not started again by whoever supervises.
    pub lost: BTreeSet<usize>,
    /// Each going out by a permit, in turn.
    pub went: Vec<usize>,
}

impl Field {
    /// All started with version one, and whole.
    pub fn of(count: usize, most_out: usize) -> Field {
        let edit = |ix: usize, text: String| {
            let store = if ix < 3 { "store = council\n" } else { "" };
            let orders = if ix == 0 { "orders = orders\n" } else { "" };
            let number = format!("number = {ix}\nmanagers = {count}\nmost-watches = {MANY}\n");
            text.replace("number = 0\nmanagers = 1\n", &number)
                + &format!(
                    "[council]\ncouncillors = m-0, m-1, m-2\nslots = 32\nlease-ms = 2000\n{store}\
                     [releases]\nversion = one\nnext = next\n{orders}"
                )
        };
        let mut all = Cluster::edited(count, 300, |ix| ("east".into(), format!("m-{ix}")), edit);
        std::fs::write(all.nodes[0].path("orders"), "").unwrap();
        all.nodes.iter_mut().for_each(Node::start);
        let field = Field {
            all,
            most_out,
            fleet: count,
            settle_ms: 600,
            serial: 0,
            coming: BTreeSet::new(),
            lost: BTreeSet::new(),
            went: Vec::new(),
        };
        assert!(within(LONG, || field.all.nodes.iter().all(is_ready)), "{}", field.all.told());
        field.all.all_alive(60);
        let sound = |it: &Node| it.figure("ottersail_council_sound") == 1.0;
        assert!(within(LONG, || field.all.nodes[..3].iter().all(sound)), "{}", field.all.told());
        field
    }

    /// Writes the next order into the file of m-0, a councillor, which goes among the last, and tells it.
    pub fn order(&mut self, version: &str, before: &str, state: &str, more: &str) {
        self.order_by("order", version, before, state, more);
    }

    /// The same, halted by order or by evidence.
    pub fn order_by(&mut self, by: &str, version: &str, before: &str, state: &str, more: &str) {
        self.serial += 1;
        let (fleet, most, settle) = (self.fleet, self.most_out, self.settle_ms);
        let text = format!(
            "[release spring]\nserial = {}\nwho = all\nversion = {version}\nbefore = {before}\n\
             steps = one, 50%, all\nsettle-ms = {settle}\nuse-ms = 5000\nfleet = {fleet}\nmost-out = {most}\n\
             halt-by = {by}\nstate = {state}\n{more}",
            self.serial
        );
        std::fs::write(self.all.nodes[0].path("orders"), text).unwrap();
        self.all.nodes[0].child.as_mut().unwrap().signal(Signal::HUP);
    }

    /// Starts again who went out by a permit, with the version that it was told; judges who is out.
    pub fn look(&mut self) {
        for ix in 0..self.all.nodes.len() {
            let node = &mut self.all.nodes[ix];
            let ended = node.child.as_mut().and_then(|it| it.exit_status());
            if let Some(status) = ended {
                node.child = None;
                assert_eq!(status.code(), Some(RELEASED), "{} ended by itself: {}", node.name, node.log());
                let version = std::fs::read_to_string(node.path("next")).unwrap();
                self.went.push(ix);
                self.start(ix, version.trim());
                self.coming.insert(ix);
            } else if self.coming.contains(&ix) && is_ready(&self.all.nodes[ix]) {
                self.coming.remove(&ix);
            }
        }
        // Whoever has gone is out until it is ready at least; the fleet itself waits for more than that.
        let out = self.coming.len();
        assert!(out <= self.most_out, "{out} are out by permits: {:?}{}", self.coming, self.all.told());
    }

    /// Starts a manager with that version in its settings.
    pub fn start(&mut self, ix: usize, version: &str) {
        let node = &mut self.all.nodes[ix];
        let file = node.path("m.ini");
        let text = std::fs::read_to_string(&file).unwrap();
        let lines = text.lines().map(|it| match it.split('=').next().unwrap().trim() {
            "version" => format!("version = {version}\n"),
            // This version takes no more than some viewings: past them it blocks.
            "most-watches" => format!("most-watches = {}\n", if version == "bad" { 40 } else { MANY }),
            _ => format!("{it}\n"),
        });
        std::fs::write(&file, lines.collect::<String>()).unwrap();
        node.start();
        self.lost.remove(&ix);
    }

    /// Killed outright, and left so.
    pub fn kill(&mut self, ix: usize) {
        self.all.nodes[ix].kill();
        self.coming.remove(&ix);
        self.lost.insert(ix);
    }

    /// Looks until that holds; false if it does not in time.
    pub fn until(&mut self, mut holds: impl FnMut(&mut Field) -> bool) -> bool {
        let began = Instant::now();
        while began.elapsed() < LONG {
            self.look();
            if holds(self) {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }

    /// Looks for so long.
    pub fn watch(&mut self, span: Duration) {
        let began = Instant::now();
        while began.elapsed() < span {
            self.look();
            std::thread::sleep(LOOK);
        }
    }

    /// How many run with that version, ready.
    pub fn have(&self, version: &str) -> usize {
        let has = |it: &&Node| {
            it.child.is_some()
                && std::fs::read_to_string(it.path("m.ini"))
                    .unwrap()
                    .contains(&format!("version = {version}\n"))
        };
        self.all.nodes.iter().filter(has).filter(|it| is_ready(it)).count()
    }

    /// Whether a line stands in any manager's log.
    pub fn says(&self, line: &str) -> bool {
        self.all.nodes.iter().any(|it| it.log().contains(line))
    }

    /// The whole of what is known, for a test that fails.
    pub fn told(&self) -> String {
        format!("went {:?}, coming {:?}, lost {:?}{}", self.went, self.coming, self.lost, self.all.told())
    }
}

fn is_ready(node: &Node) -> bool {
    node.child.is_some() && get(node.http, "/ready").starts_with("HTTP/1.1 200")
}
