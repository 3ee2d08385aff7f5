//! Managers as processes of the program, in a folder of their own, and their pages of figures.

use crate::errors::BenchError;
use crate::fleet::fleet;
use crate::library::manager;
use ottersail_daemon::settings::members::Members;
use ottersail_daemon::settings::write::{write_manager, LocalSettings};
use ottersail_fault_injection::Process;
use ottersail_front::ids::ManagerIndex;
use ottersail_front::Ms;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const KEYS: &str = "a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\n";
/// Below the ports that the system gives away, so that no test beside it holds one.
const PORTS: (u16, u16) = (7_946, 8_080);
const SEEDS: usize = 5;
/// A page comes within that, or counts as empty.
const PATIENCE: Duration = Duration::from_secs(2);

pub struct Plan {
    pub program: PathBuf,
    pub members: usize,
    /// None: no `[council]`.
    pub councillors: usize,
    pub slots: u16,
    pub lease_ms: u32,
    /// Managers beside them without `[members]`, whose cost is what the others' cost is compared with.
    pub plain: usize,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub plain: Vec<Node>,
    folder: TempDir,
    /// The list and its one server end with it.
    _stop: mpsc::Sender<()>,
}

pub struct Node {
    pub name: String,
    pub http: SocketAddr,
    program: PathBuf,
    file: PathBuf,
    pub process: Option<Process>,
}

/// What a page told.
pub struct Page(String);

impl Page {
    /// A figure by name and labels; 0 if it is not there.
    pub fn figure(&self, name: &str) -> f64 {
        let mut found = self.0.lines().filter_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
        found.next().and_then(|it| it.trim().parse().ok()).unwrap_or(0.0)
    }

    pub fn lines<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.lines().filter_map(move |it| it.strip_prefix(prefix))
    }

    pub fn holds_dead(&self, name: &str) -> bool {
        self.lines("ottersail_member{name=\"").any(|it| it.starts_with(&format!("{name}\",state=\"dead\"")))
    }
}

impl Node {
    pub fn start(&mut self) -> Result<(), BenchError> {
        let path = self.file.with_extension("log");
        let log = File::options().create(true).append(true).open(&path).map_err(at(&path))?;
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.file).arg("--with-parent").args(["--log", "info"]);
        let started = Process::start(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log));
        let what = "a member";
        let started = started
            .map_err(|it| BenchError::Process { what, source: std::io::Error::other(it.to_string()) })?;
        self.process = Some(started);
        Ok(())
    }

    pub fn page(&self) -> Page {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.http, PATIENCE)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        Page(ask().unwrap_or_default())
    }

    pub fn id(&self) -> u32 {
        self.process.as_ref().map_or(0, Process::id)
    }
}

fn at(path: &std::path::Path) -> impl Fn(std::io::Error) -> BenchError {
    let file = path.display().to_string();
    move |source| BenchError::File { file: file.clone(), source }
}

impl Cluster {
    /// Writes all files; nothing but the list and its server runs yet.
    pub fn new(plan: &Plan) -> Result<Cluster, BenchError> {
        let folder = tempfile::Builder::new().prefix("ottersail-scale-").tempdir();
        let folder = folder.map_err(at(&std::env::temp_dir()))?;
        let keys = folder.path().join("keys");
        std::fs::write(&keys, KEYS).map_err(at(&keys))?;
        let (stop, stopped) = mpsc::channel();
        let (ready, address) = mpsc::channel();
        std::thread::spawn(move || fleet(1, ready, stopped));
        let list = address.recv().map_err(|_| BenchError::Socket {
            what: "the list",
            source: std::io::ErrorKind::AddrNotAvailable.into(),
        })?;
        let ip = |ix: usize| {
            let [network, high, low] = [std::process::id() as usize % 200 + 16, ix / 250, ix % 250 + 1];
            Ipv4Addr::new(127, network as u8, high as u8, low as u8)
        };
        let names: Vec<String> = (0..plan.councillors).map(|it| format!("m-{it}")).collect();
        let node = |ix: usize| -> Result<Node, BenchError> {
            let http = SocketAddr::from((ip(ix), PORTS.1));
            let (listen, list) = (http.to_string(), list.to_string());
            let told = manager(1, &listen, &list, 2_000_000.0)?;
            let mut terms = told.terms.clone();
            let is_member = ix < plan.members;
            (terms.manager, terms.manager_count) = (ManagerIndex(ix as u64), plan.members as f64);
            if !is_member {
                (terms.manager, terms.manager_count) = (ManagerIndex(0), 1.0);
            }
            let udp = |ix| SocketAddrV4::new(ip(ix), PORTS.0);
            let members = Members {
                name: format!("m-{ix}"),
                cluster: "scale".into(),
                listen: udp(ix),
                advertise: udp(ix),
                seeds: (0..plan.members.min(SEEDS)).map(udp).collect(),
                keys: "keys".into(),
                period: Ms(1_000.0),
            };
            let mut text = write_manager(
                &terms,
                &LocalSettings {
                    listen: &listen,
                    list: &list,
                    keys: "keys",
                    grace: Ms(1_000.0),
                    list_wait: told.links.list_wait,
                    silence: told.links.silence,
                    cores: 1,
                    members: is_member.then_some(&members),
                    // Written below: a councillor needs a store of its own.
                    council: None,
                    releases: None,
                },
            );
            if is_member && plan.councillors > 0 {
                let (slots, lease) = (plan.slots, plan.lease_ms);
                text += &format!(
                    "\n[council]\ncouncillors = {}\nslots = {slots}\nlease-ms = {lease}\n",
                    names.join(", ")
                );
                if ix < plan.councillors {
                    text += &format!("store = m-{ix}.council\n");
                }
            }
            let file = folder.path().join(format!("m-{ix}.ini"));
            std::fs::write(&file, text).map_err(at(&file))?;
            Ok(Node { name: members.name, http, program: plan.program.clone(), file, process: None })
        };
        let mut nodes = (0..plan.members + plan.plain).map(node).collect::<Result<Vec<_>, _>>()?;
        let plain = nodes.split_off(plan.members);
        Ok(Cluster { nodes, plain, folder, _stop: stop })
    }

    pub fn up(&self) -> impl Iterator<Item = (usize, &Node)> + Clone {
        self.nodes.iter().enumerate().filter(|it| it.1.process.is_some())
    }

    /// Asks for the pages of those until each was seen to hold once; when that was, for each in turn.
    ///
    /// # Errors
    /// If it takes longer than so many seconds.
    pub fn seen(
        &self,
        what: &str,
        of: &[usize],
        (seconds, every): (u64, Duration),
        holds: impl Fn(&Page) -> bool,
    ) -> Result<Vec<Instant>, BenchError> {
        let (began, mut left, mut seen) = (Instant::now(), of.to_vec(), Vec::new());
        while !left.is_empty() {
            if began.elapsed() > Duration::from_secs(seconds) {
                let (members, folder) = (self.nodes.len(), self.folder.path().display().to_string());
                let what = format!("{what}, by {} of {}", seen.len(), of.len());
                return Err(BenchError::NotSeen { members, seconds, what, folder });
            }
            left.retain(|it| {
                let held = holds(&self.nodes[*it].page());
                held.then(|| seen.push(Instant::now()));
                !held
            });
            std::thread::sleep(every);
        }
        Ok(seen)
    }
}
