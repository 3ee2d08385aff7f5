//! `ottersail node` over loopback, against small stand-ins of viewers, video servers and the command channel.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server makes of a line: lines to send back; none closes the connection.
trait Act: Fn(&Value) -> Option<String> + Send + Sync + 'static {}
impl<F: Fn(&Value) -> Option<String> + Send + Sync + 'static> Act for F {}

struct Peer {
    address: SocketAddr,
    heard: Arc<Mutex<Vec<Value>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Written when the other side closes a connection.
    last: Arc<Mutex<String>>,
}

fn started(line: &Value) -> String {
    format!("{}\n", json!({ "verb": "STARTED", "tag": line["tag"], "opts": {}, "blob": "good\r\n" }))
}

fn well(line: &Value) -> Option<String> {
    Some(if line["verb"] == "START" { started(line) } else { String::new() })
}

impl Peer {
    fn new(act: impl Act) -> Peer {
        let act: Arc<dyn Act> = Arc::new(act);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = Peer {
            address: listener.local_addr().unwrap(),
            heard: Arc::default(),
            open: Arc::default(),
            last: Arc::default(),
        };
        let (heard, open, last) = (peer.heard.clone(), peer.open.clone(), peer.last.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let (act, heard, last) = (act.clone(), heard.clone(), last.clone());
                std::thread::spawn(move || {
                    for line in BufReader::new(stream.try_clone().unwrap()).lines() {
                        let Some(line) = line.ok().and_then(|it| serde_json::from_str::<Value>(&it).ok())
                        else {
                            break;
                        };
                        heard.lock().unwrap().push(line.clone());
                        let Some(answer) = act(&line) else {
                            break;
                        };
                        if (&stream).write_all(answer.as_bytes()).is_err() {
                            break;
                        }
                    }
                    _ = (&stream).write_all(last.lock().unwrap().as_bytes());
                    _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        peer
    }

    fn heard(&self, verb: &str, tag: &str) -> bool {
        self.heard.lock().unwrap().iter().any(|it| it["verb"] == verb && it["tag"] == tag)
    }
}

/// The command channel: what it tells, event by event, and how it ails.
#[derive(Clone)]
struct Channel {
    address: SocketAddr,
    events: Arc<Mutex<Vec<Value>>>,
    /// Answers that break off in their middle, and that never come, before the next good one.
    breaks: Arc<AtomicUsize>,
    stops: Arc<AtomicUsize>,
}

impl Channel {
    fn new() -> Channel {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let channel = Channel {
            address: listener.local_addr().unwrap(),
            events: Arc::default(),
            breaks: Arc::default(),
            stops: Arc::default(),
        };
        let it = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                std::thread::spawn(move || it.serve(&stream));
            }
        });
        channel
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        loop {
            let Some(Ok(first)) = lines.next() else {
                return;
            };
            for line in lines.by_ref() {
                if line.map_or(true, |it| it.is_empty()) {
                    break;
                }
            }
            let figure = |name: &str| -> u64 {
                let rest = first.split(name).nth(1).unwrap_or("0");
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            };
            let (last, block) = (figure("resume="), figure("block="));
            let until = Instant::now() + Duration::from_millis(block);
            let mut news: Vec<Value> = Vec::new();
            while news.is_empty() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(10));
                let events = self.events.lock().unwrap();
                news = events.iter().filter(|it| it["cursor"].as_u64() > Some(last)).cloned().collect();
            }
            let cursor = news.last().map_or(last, |it| it["cursor"].as_u64().unwrap());
            let body = json!({ "cursor": cursor, "cmds": news }).to_string();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let takes =
                |it: &AtomicUsize| it.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
            if !news.is_empty() && takes(&self.stops).is_ok() {
                std::thread::sleep(Duration::from_secs(20));
                return;
            }
            let broken = !news.is_empty() && takes(&self.breaks).is_ok();
            let bytes = if broken { &answer.as_bytes()[..answer.len() - 20] } else { answer.as_bytes() };
            let mut stream = stream;
            if stream.write_all(bytes).is_err() || broken {
                _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    fn tell(&self, number: u64, hosts: &[Value]) {
        let nodes = json!({ "seq": number, "whole": false, "hosts": hosts });
        self.events.lock().unwrap().push(json!({ "cursor": number, "nodes": nodes }));
    }
}

fn host(name: &str, at: SocketAddr, health: &str) -> Value {
    json!({ "host": name, "dial": at.to_string(), "site": "z", "class": "k", "block": 0, "share": 1, "health": health,
        "born_ms": 0 })
}

struct Node {
    child: Child,
    address: SocketAddr,
    folder: PathBuf,
    conf: Value,
}

impl Node {
    fn start(name: &str, hosts: &[Value], channel: &Channel, sockets: u32) -> Node {
        let folder = std::env::temp_dir().join(format!("ottersail-node-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let nodes = json!({ "seq": 1, "whole": true, "hosts": hosts });
        let conf = json!({
            "name": name, "listen": address.to_string(), "seed": "1f", "limits": { "sockets": sockets },
            "channel": channel.address.to_string(),
            "known": { "cursor": 1, "cmds": [{ "cursor": 1, "nodes": nodes }] },
            "settings": {
                "classes": [{ "name": "clips", "promise-ns": 800_000_000u64, "give-up-ns": 1_000_000_000u64,
                    "semantics": "idempotent", "points": 1 }],
                "extra": { "rates-kb": [100, 200], "places": 1, "racks": 1, "link-unit-kb": 1e6, "rack-link-kb": 1e7,
                    "places-by-kind": [1000], "seen-after-ns": 500_000_000u64, "reports-every-ns": 2_000_000_000u64,
                    "change-costs-s": 0.3, "lowest-rung": [0], "top-by-class": [1], "scale-by-class": [1] },
                "skus": ["k"], "az": "z", "peers-total": 1, "me": 0, "tick-ns": 10_000_000,
                "allowed": { "max-attempts": 3, "retry-after": true, "max-retry-after-ns": 500_000_000u64,
                    "connect-timeout-ns": 250_000_000u64 },
                "safety": { "cold-ns": 0, "drain-grace-ns": 1_000_000_000u64 }
            }
        });
        std::fs::write(folder.join("config.json"), conf.to_string()).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {sockets}; exec \"$0\" --log debug node"))
            .arg(env!("CARGO_BIN_EXE_ottersail"))
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let node = Node { child, address, folder, conf };
        assert!(
            within(10, || Viewer::try_new(node.address).is_some_and(|mut it| it.tests())),
            "{}",
            node.log()
        );
        node
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    fn ends(&mut self) -> ExitStatus {
        let mut status = None;
        assert!(within(8, || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        }));
        status.unwrap()
    }

    /// Open descriptors, and memory held in kB.
    fn holds(&self) -> (usize, usize) {
        let pid = self.child.id();
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find(|it| it.starts_with("VmRSS")).unwrap();
        (files, line.split_whitespace().nth(1).unwrap().parse().unwrap())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn within(seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

struct Viewer {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Viewer {
    fn try_new(address: SocketAddr) -> Option<Viewer> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
        Some(Viewer { stream, unread: Vec::new() })
    }

    fn new(address: SocketAddr) -> Viewer {
        Viewer::try_new(address).unwrap()
    }

    fn say(&mut self, text: &str) {
        _ = self.stream.write_all(text.as_bytes());
    }

    /// The next message without a body's bytes; none at the end of the connection.
    fn hears(&mut self) -> Option<String> {
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = head.split("Content-Length: ").nth(1)?.lines().next()?.parse::<usize>().ok()?;
                if rest.len() >= length {
                    self.unread.drain(..head.len() + 4 + length);
                    return Some(format!("{head}\r\n\r\n{}", &rest[..length]));
                }
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece) {
                Ok(count) if count > 0 => self.unread.extend_from_slice(&piece[..count]),
                _ => return None,
            }
        }
    }

    fn tests(&mut self) -> bool {
        self.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        self.hears().is_some_and(|it| it.starts_with("RTSP/1.0 200"))
    }

    fn asks(&mut self, id: &str) -> String {
        self.say(&set_up(id));
        self.hears().unwrap_or_default()
    }
}

fn set_up(id: &str) -> String {
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nSubject: clips\r\n\
         X-Patience: 4000\r\nX-Facts: home:0;copies:1;top:1;viewer:00000000b4d65521\r\nContent-Length: 3\r\n\r\nx\r\n"
    )
}

const ONE: &str = "00000000000000a1";
const TWO: &str = "00000000000000a2";

/// The whole-fleet platform refuses child processes, io_uring and sockets other than TCP and UDP over IPv4, and loads a
/// library of its own into the process: what `run` starts must need none of these, and be linked dynamically.
#[test]
fn nothing_is_used_that_the_platform_refuses() {
    let deploy = include_str!("../../deploy/balancer.toml");
    let run = deploy.lines().find_map(|it| it.strip_prefix("run = \"")).unwrap().trim_end_matches('"');
    assert_eq!(run, "exec target/release/ottersail node", "one process, and no shell round it");
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("plain", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    assert!(viewer.asks(ONE).starts_with("RTSP/1.0 200"));
    let proc = PathBuf::from(format!("/proc/{}", node.child.id()));
    let read = |path: &str| std::fs::read_to_string(proc.join(path)).unwrap();
    assert!(read("maps").contains("/libc.so"), "linked against the C library");
    for task in std::fs::read_dir(proc.join("task")).unwrap().flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap();
        assert_eq!(children.trim(), "", "no child processes");
    }
    let files = std::fs::read_dir(proc.join("fd")).unwrap().flatten();
    let open: Vec<String> =
        files.filter_map(|it| Some(std::fs::read_link(it.path()).ok()?.display().to_string())).collect();
    assert!(!open.iter().any(|it| it.contains("io_uring")), "{open:?}");
    let inodes: std::collections::BTreeSet<&str> =
        open.iter().filter_map(|it| it.strip_prefix("socket:[")?.strip_suffix(']')).collect();
    assert!(inodes.len() >= 4, "its ear, a viewer, a server and the channel at least: {open:?}");
    let table = |name: &str, column: usize| -> Vec<String> {
        let text = read(&format!("net/{name}"));
        let lines = text.lines().skip(1).filter_map(|it| it.split_whitespace().nth(column));
        lines.map(str::to_string).collect()
    };
    let tcp = table("tcp", 9);
    let other: Vec<&&str> = inodes.iter().filter(|it| !tcp.iter().any(|tcp| tcp == **it)).collect();
    // The pair by which the signals' handler wakes the program: both ends are its own, and neither has a name.
    let unix = table("unix", 6);
    assert!(other.len() <= 2 && other.iter().all(|it| unix.iter().any(|unix| unix == **it)), "{other:?}");
    let named: Vec<String> = read("net/unix")
        .lines()
        .filter(|it| it.split_whitespace().nth(6).is_some_and(|it| other.iter().any(|ours| **ours == it)))
        .filter(|it| it.split_whitespace().count() > 7)
        .map(str::to_string)
        .collect();
    assert!(named.is_empty(), "nobody comes to a Unix socket: {named:?}");
}

#[test]
fn a_viewing_plays_and_is_released_both_ways() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("calm", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    let answer = viewer.asks(ONE);
    assert!(answer.starts_with("RTSP/1.0 200") && answer.ends_with("good\r\n"), "{answer}");
    let end = format!("{}\n", json!({ "verb": "FINISH", "tag": ONE, "opts": {}, "rc": 16 }));
    for stream in peer.open.lock().unwrap().iter_mut() {
        _ = stream.write_all(end.as_bytes());
    }
    let release = viewer.hears().unwrap();
    assert!(release.starts_with("TEARDOWN") && release.contains("cause=16"), "{release}");
    assert!(viewer.asks(TWO).starts_with("RTSP/1.0 200"));
    viewer.say(&format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {TWO}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"));
    assert!(viewer.hears().unwrap().starts_with("RTSP/1.0 200"));
    assert!(within(2, || peer.heard("FINISH", TWO)));
}

#[test]
fn a_release_that_crosses_the_closing_of_its_connection_is_passed_on() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("crosses", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    assert!(viewer.asks(ONE).starts_with("RTSP/1.0 200"));
    // The server is silent: it is tried with a new connection, and the older one is closed after a while.
    *peer.last.lock().unwrap() =
        format!("{}\n", json!({ "verb": "FINISH", "tag": ONE, "opts": {}, "rc": 16 }));
    let release = viewer.hears().unwrap_or_default();
    assert!(release.starts_with("TEARDOWN") && release.contains("cause=16"), "{release}");
}

#[test]
fn a_bad_viewer_reads_its_refusal_though_it_still_sends() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("bad", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    viewer.say(&set_up(ONE).replace("Content-Length: 3", "Content-Length: 60000000"));
    let piece = "x".repeat(1 << 20);
    (0..60).for_each(|_| viewer.say(&piece));
    assert!(viewer.hears().is_some_and(|it| it.starts_with("RTSP/1.0 413")));
    let mut silent = Viewer::new(node.address);
    let began = Instant::now();
    assert!(silent.hears().is_none() && began.elapsed() < Duration::from_secs(3));
    assert!(Viewer::new(node.address).asks(TWO).starts_with("RTSP/1.0 200"));
    assert!(!peer.heard("START", ONE));
}

#[test]
fn a_spoilt_answer_and_a_silent_server_cost_no_viewing() {
    let spoilt =
        Peer::new(|line: &Value| (line["verb"] != "START").then(String::new).or(Some("{\"verb\n".into())));
    let silent = Peer::new(|_: &Value| Some(String::new()));
    let (good, channel) = (Peer::new(well), Channel::new());
    let hosts = [("s-a", &spoilt), ("s-b", &silent), ("s-c", &good)];
    let hosts: Vec<Value> = hosts.iter().map(|it| host(it.0, it.1.address, "ready")).collect();
    let node = Node::start("spoilt", &hosts, &channel, 256);
    let mut viewer = Viewer::new(node.address);
    for number in 0..20 {
        assert!(viewer.asks(&format!("{number:016x}")).starts_with("RTSP/1.0 200"), "{}", node.log());
    }
}

#[test]
fn what_stood_at_a_server_that_died_is_released() {
    let (peer, channel) =
        (Peer::new(|line: &Value| (line["verb"] != "RATE").then(|| started(line))), Channel::new());
    // A server that listens no more: its port is taken from a listener that is dropped.
    let node = Node::start("dies", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    assert!(viewer.asks(ONE).starts_with("RTSP/1.0 200"));
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    // By the list it has another address from now on, where nobody is.
    channel.tell(2, &[host("s-a", dead, "ready")]);
    assert!(within(3, || node.log().contains("list number=2")), "{}", node.log());
    peer.open.lock().unwrap().iter().for_each(|it| _ = it.shutdown(std::net::Shutdown::Both));
    let release = viewer.hears().unwrap_or_default();
    assert!(release.contains("TEARDOWN") && release.contains("cause=41"), "{release}\n{}", node.log());
}

#[test]
fn a_channel_that_breaks_off_or_stops_tells_soon_after() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("channel", &[host("s-a", peer.address, "ready")], &channel, 256);
    channel.breaks.store(2, Ordering::Release);
    channel.tell(2, &[host("s-a", peer.address, "draining")]);
    assert!(within(2, || node.log().contains("list number=2")), "{}", node.log());
    assert!(Viewer::new(node.address).asks(ONE).starts_with("RTSP/1.0 453"));
    channel.stops.store(1, Ordering::Release);
    channel.tell(3, &[host("s-a", peer.address, "ready")]);
    assert!(within(3, || node.log().contains("list number=3")), "{}", node.log());
    assert!(Viewer::new(node.address).asks(TWO).starts_with("RTSP/1.0 200"));
}

#[test]
fn sighup_moves_to_another_channel_and_a_bad_file_changes_nothing() {
    let (peer, channel, other) = (Peer::new(well), Channel::new(), Channel::new());
    let mut node = Node::start("hup", &[host("s-a", peer.address, "ready")], &channel, 256);
    std::fs::write(node.folder.join("config.json"), "{").unwrap();
    node.signal("-HUP");
    assert!(within(3, || node.log().contains("changes nothing")), "{}", node.log());
    node.conf["channel"] = json!(other.address.to_string());
    std::fs::write(node.folder.join("config.json"), node.conf.to_string()).unwrap();
    node.signal("-HUP");
    other.tell(2, &[host("s-a", peer.address, "draining")]);
    assert!(within(2, || node.log().contains("list number=2")), "{}", node.log());
    assert!(Viewer::new(node.address).asks(ONE).starts_with("RTSP/1.0 453"));
}

#[test]
fn sigterm_answers_what_comes_releases_what_stands_and_ends_well() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let mut node = Node::start("term", &[host("s-a", peer.address, "ready")], &channel, 256);
    let mut viewer = Viewer::new(node.address);
    assert!(viewer.asks(ONE).starts_with("RTSP/1.0 200"));
    let began = Instant::now();
    node.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    assert!(Viewer::new(node.address).asks(TWO).starts_with("RTSP/1.0 200"));
    let release = viewer.hears().unwrap();
    assert!(release.starts_with("TEARDOWN") && release.contains(ONE), "{release}");
    // SIGKILL may come 0.7 s past the longest patience.
    assert!(node.ends().success() && began.elapsed() < Duration::from_millis(1_700));
    assert!(peer.heard("FINISH", ONE));
}

#[test]
fn silent_connections_by_the_hundred_keep_nobody_out() {
    let (peer, channel) = (Peer::new(well), Channel::new());
    let node = Node::start("crowd", &[host("s-a", peer.address, "ready")], &channel, 96);
    let silent: Vec<Viewer> = (0..300).map(|_| Viewer::new(node.address)).collect();
    for number in 0..10 {
        assert!(
            Viewer::new(node.address).asks(&format!("{number:016x}")).starts_with("RTSP/1.0 200"),
            "{}",
            node.log()
        );
    }
    assert!(node.holds().0 < 96);
    drop(silent);
}

#[test]
fn servers_replaced_over_and_over_leave_nothing_behind() {
    let (peers, channel) = ([Peer::new(well), Peer::new(well)], Channel::new());
    let node = Node::start("flat", &[host("s-0", peers[0].address, "ready")], &channel, 256);
    let mut held = Vec::new();
    for number in 1..=120u64 {
        let (old, new) = (&peers[(number as usize + 1) % 2], &peers[number as usize % 2]);
        let hosts = [
            host(&format!("s-{number}"), new.address, "ready"),
            host(&format!("s-{}", number - 1), old.address, "gone"),
        ];
        channel.tell(number + 1, &hosts);
        let listed = format!("list number={} ", number + 1);
        assert!(within(3, || node.log().contains(&listed)), "{}", node.log());
        let mut viewer = Viewer::new(node.address);
        assert!(viewer.asks(&format!("{number:016x}")).starts_with("RTSP/1.0 200"), "{}", node.log());
        viewer.say(&format!(
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {number:016x}\r\nContent-Length: 0\r\n\r\n"
        ));
        assert!(viewer.hears().unwrap().starts_with("RTSP/1.0 200"));
        if number % 40 == 0 {
            held.push(node.holds());
        }
    }
    // Connections to those that are gone close as soon as nothing is out on them.
    assert!(within(6, || node.holds().0 <= held[0].0), "{held:?} {:?}", node.holds());
    assert!(node.holds().1 <= held[1].1 + 2_048, "{held:?} {:?}", node.holds());
}

#[test]
fn a_configuration_that_is_none_is_told_in_one_line() {
    let folder = std::env::temp_dir().join(format!("ottersail-node-conf-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("config.json");
    std::fs::write(&file, "{\"name\":\"n\",\"settings\":{\"classes\":[{}]}}").unwrap();
    let nowhere = folder.join("nowhere").display().to_string();
    for (path, expected) in
        [(file.display().to_string(), "seed"), (nowhere, "nowhere"), (String::new(), "BALANCER_CONFIG")]
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ottersail"));
        let done = command.arg("node").env("BALANCER_CONFIG", path).output().unwrap();
        let told = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!((done.status.code(), told.lines().count()), (Some(2), 1), "{told}");
        assert!(told.contains(expected), "{told}");
    }
    _ = std::fs::remove_dir_all(&folder);
}
