//! `ottersail node` over loopback, against small stand-ins of viewers, video servers and the command channel.

mod changes;
mod channel;
mod peer;
mod process;
mod viewings;

use channel::Channel;
use peer::{host, well, Peer, Viewer, ONE};
use process::Node;
use std::path::PathBuf;
use std::process::Command;

/// The whole-fleet platform refuses child processes, io_uring and sockets other than TCP and UDP over IPv4,
/// and loads a library of its own into the process: what `run` starts must need none of these, and be linked
/// dynamically.
#[test]
fn nothing_is_used_that_the_platform_refuses() {
    let deploy = include_str!("../../../deploy/balancer.toml");
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
    let open_files = || -> Vec<String> {
        let files = std::fs::read_dir(proc.join("fd")).unwrap().flatten();
        files.filter_map(|it| Some(std::fs::read_link(it.path()).ok()?.display().to_string())).collect()
    };
    let open = open_files();
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
    // Members are of `run` alone: a node has no datagrams and no thread for them.
    let datagrams = [table("udp", 9), table("udp6", 9)].concat();
    let ours = datagrams.iter().filter(|it| inodes.contains(it.as_str())).count();
    let tasks = std::fs::read_dir(proc.join("task")).unwrap().flatten();
    let threads: Vec<String> =
        tasks.filter_map(|it| std::fs::read_to_string(it.path().join("comm")).ok()).collect();
    // Its own, and the one by which signals are heard.
    assert_eq!((ours, threads), (0, vec!["ottersail\n".into(), "async-io\n".into()]));
    // A connection may be closed between the look at the descriptors and the one at the table.
    let still_open = open_files();
    let is_open = |inode: &str| still_open.iter().any(|file| *file == format!("socket:[{inode}]"));
    let other: Vec<&&str> =
        inodes.iter().filter(|it| !tcp.iter().any(|tcp| tcp == **it) && is_open(it)).collect();
    // The pair by which the signals' handler wakes the program: both ends are its own, and neither has a
    // name.
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
