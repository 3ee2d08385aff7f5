//! Forged datagrams at a member's socket.

use crate::cluster::Cluster;
use crate::peer::get;
use ottersail_fault_injection::resource_usage;
use ottersail_membership::auth::DatagramAuth;
use ottersail_membership::{Body, Incarnation, InstanceId, MemberId, Message};
use ottersail_signed_urls::Keys;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(2);
const A_SECOND: usize = 50_000;
const AT_ONCE: usize = 50;
const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";
/// Times under that are of the machine's other work: no ratio of them says anything.
const FLOOR: f64 = 25.0;

/// Datagrams as a member would send them, but for the keys.
fn forged() -> Vec<Vec<u8>> {
    let keys = Keys::read("x BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB\n").unwrap();
    let mut gate = DatagramAuth::new(MemberId::of("east", "m-1"), InstanceId(5), "east", keys, 9);
    let message =
        Message { incarnation: Incarnation(9), body: Body::Gossip, updates: vec![], piggybacks: vec![] };
    (0..AT_ONCE).map(|_| gate.seal(None, &message).unwrap()).collect()
}

/// How many were sent.
fn flood(to: SocketAddr) -> usize {
    let (socket, forged) = (UdpSocket::bind("127.0.0.1:0").unwrap(), forged());
    let (began, mut sent) = (Instant::now(), 0);
    while began.elapsed() < SPAN {
        let due = (began.elapsed().as_secs_f64() * A_SECOND as f64) as usize;
        while sent < due {
            sent += forged.iter().filter(|it| socket.send_to(it, to).is_ok()).count();
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    sent
}

/// The 99th part in a hundred of the times of viewers' requests, in milliseconds.
fn p99(at: SocketAddr) -> f64 {
    let (began, mut times) = (Instant::now(), Vec::new());
    while began.elapsed() < SPAN {
        let asked = Instant::now();
        let path = if times.len() % 8 == 0 { ASK } else { "/ready" };
        let answer = get(at, path);
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
        times.push(asked.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100]
}

#[test]
fn a_flood_starves_no_viewers_and_leaves_nothing_behind() {
    let all = Cluster::met(3, 500);
    let node = &all.nodes[0];
    let memory = || resource_usage(node.child.as_ref().unwrap().id()).unwrap().memory_kb;
    let quiet = p99(node.http);
    let (udp, http) = (node.udp, node.http);
    let flooding = std::thread::spawn(move || flood(udp));
    let under = p99(http);
    let sent = flooding.join().unwrap();
    // Viewers leave something behind: memory is looked at where there are none.
    let before = memory();
    let sent = sent + flood(udp);
    let after = memory();
    let dropped = node.figure("ottersail_member_datagrams_dropped_total{kind=\"forged\"}");
    println!(
        "p99 {quiet:.1} ms quiet, {under:.1} ms under {sent} forged, {dropped} seen; {before} to {after} kB"
    );
    assert!(sent > 2 * A_SECOND, "a flood was sent: {sent}");
    assert!(dropped > 1_000.0, "it got there: {dropped}");
    assert!(under < (2.0 * quiet).max(FLOOR), "p99 {quiet} ms quiet, {under} ms under it");
    assert!(after < before + 2_048.0, "{before} to {after} kB");
    assert_eq!(node.beliefs().len(), 2, "nobody got in by it");
    let seen = all.watch(Duration::from_secs(3));
    assert!(seen.values().all(|it| !it.contains(&"dead".into())), "{seen:?}");
    all.all_alive(10);
}
