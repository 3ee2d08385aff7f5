//! What changes while it runs: the channel, the configuration, the list, its end.

use crate::channel::Channel;
use crate::peer::{host, well, Peer, Viewer, ONE, TWO};
use crate::process::{within, Node};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

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
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {number:016x}\r\n\
             Content-Length: 0\r\n\r\n"
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
