//! Cores that stand still, and the others that answer for them.

use crate::peer::{get, send, well, within, Manager, Peer};
use crate::told::ASK;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A set-up's answer comes after 700 ms.
fn slow(line: &str, me: SocketAddr) -> (Duration, Vec<u8>) {
    let (wait, bytes) = well(line, me);
    (if line.starts_with("PUT") { Duration::from_millis(700) } else { wait }, bytes)
}

#[test]
fn an_owner_that_stands_still_is_answered_for_by_the_other_cores() {
    let peer = Peer::new(well);
    let more = "cores = 2";
    let manager = Manager::start_with("owner", peer.address, more, None, &["--stall", "0:2500"]).ready();
    // Connections are there before it stands still: most of them at the other core.
    let mut open: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(manager.address).unwrap()).collect();
    std::thread::sleep(Duration::from_millis(100));
    manager.signal("-USR1");
    std::thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    let ask =
        "GET /watch/t?package=clips&best=1&patience-ms=1000 HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n";
    for stream in &mut open {
        std::io::Write::write_all(stream, ask.as_bytes()).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    }
    // At the end of patience the answers are there; what lies unread at the one that stands still has none.
    std::thread::sleep(Duration::from_millis(1000).saturating_sub(began.elapsed()));
    let mut blocked = 0;
    for stream in &mut open {
        let mut head = [0; 12];
        blocked += usize::from(stream.read_exact(&mut head).is_ok() && head.ends_with(b"503"));
    }
    assert!(blocked >= 5, "{blocked} of 8; {}", manager.log());
    // What was answered is not acted on when it moves again.
    let again = || get(manager.address, ASK).starts_with("HTTP/1.1 200");
    assert!(within(Duration::from_secs(6), again));
    let puts = peer.heard.lock().unwrap().iter().filter(|it| it.starts_with("PUT")).count();
    assert!(puts <= 1 + 8 - blocked, "{puts} set-ups, {blocked} had been answered");
}

#[test]
fn a_core_that_stands_still_has_its_answers_given_by_another() {
    let peer = Peer::new(slow);
    let flags = ["--stall", "1:2500"];
    let manager = Manager::start_with("still", peer.address, "cores = 2", None, &flags).ready();
    let mut open: Vec<TcpStream> = Vec::new();
    for _ in 0..6 {
        open.push(send(manager.address, "/watch/t?package=clips&best=1&patience-ms=1200").unwrap());
    }
    assert!(peer.hears("PUT /viewings/"));
    std::thread::sleep(Duration::from_millis(100));
    manager.signal("-USR1");
    let began = Instant::now();
    let mut answered = 0;
    for stream in &mut open {
        let mut head = [0; 12];
        answered += usize::from(stream.read_exact(&mut head).is_ok());
    }
    assert_eq!(answered, 6, "{}", manager.log());
    assert!(began.elapsed() < Duration::from_millis(1500), "before it moved again: {:?}", began.elapsed());
    assert!(manager.log().contains("answering its request from another core"), "{}", manager.log());
}
