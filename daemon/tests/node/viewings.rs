//! Viewings as they come and go, at servers that do well and badly.

use crate::channel::Channel;
use crate::peer::{host, set_up, started, well, Peer, Viewer, ONE, TWO};
use crate::process::{within, Node};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

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
    viewer.say(&format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {TWO}\r\nReason: cause=16\r\n\
         Content-Length: 0\r\n\r\n"
    ));
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
