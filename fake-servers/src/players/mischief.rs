//! Those who mean no viewing: slow readers, talkers of nonsense, forgers.

use crate::day::FaultKind;
use crate::players::world::{pause, within, World, MOST, SEGMENT_PATIENCE};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::Method;
use ottersail_invariants::Event;
use ottersail_net::{Client, Executor, Stream, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Those who mean no viewing: slow readers, talkers of nonsense, forgers.
pub(super) fn mischief(exec: Executor, world: &Rc<World>, began: Instant) {
    for fault in world.crowd.day.faults.clone() {
        let start = began + Duration::from_secs_f64(fault.start);
        let end = began + Duration::from_secs_f64(fault.end);
        let world = world.clone();
        match fault.kind {
            FaultKind::SlowReaders => {
                for _ in 0..fault.size as usize {
                    let world = world.clone();
                    exec.spawn(async move {
                        Timer::at(start).await;
                        _ = slow_reader(&world, end).await;
                    })
                    .detach();
                }
            }
            FaultKind::Nonsense => exec
                .spawn(async move {
                    Timer::at(start).await;
                    while Instant::now() < end {
                        _ = within(Duration::from_secs(2), nonsense(&world)).await;
                        pause(1e3 / fault.size.max(0.1)).await;
                    }
                })
                .detach(),
            FaultKind::Forgers => exec
                .spawn(async move {
                    Timer::at(start).await;
                    while Instant::now() < end {
                        forge(&world).await;
                        pause(200.0).await;
                    }
                })
                .detach(),
            _ => {}
        }
    }
}

/// Asks over and over on one connection and reads one byte a second.
async fn slow_reader(world: &Rc<World>, end: Instant) -> std::io::Result<()> {
    let manager = world.manager("");
    let mut stream = Stream::connect(world.crowd.managers[manager]).await?;
    let request = "GET /metrics HTTP/1.1\r\nhost: slow\r\n\r\n".repeat(200);
    _ = within(Duration::from_secs(1), stream.write_all(request.as_bytes())).await;
    let mut byte = [0];
    while Instant::now() < end {
        stream.read_exact(&mut byte).await?;
        pause(1000.0).await;
    }
    Ok(())
}

/// Something that is no request, is cut off, too long, or never ends.
async fn nonsense(world: &Rc<World>) -> std::io::Result<()> {
    let crowd = &world.crowd;
    let all: Vec<SocketAddr> = crowd.managers.iter().chain(&crowd.sockets).copied().collect();
    let to = all[(world.part() * all.len() as f64) as usize % all.len()];
    let mut stream = Stream::connect(to).await?;
    let kind = (world.part() * 6.0) as usize;
    let text: Vec<u8> = match kind {
        0 => b"\x16\x03\x01\x02\x00\x01\x00".to_vec(),
        1 => b"GET /watch/x HTTP/1.1\r\nhost: x\r\nx-long: ".iter().copied().chain([b'a'; 100_000]).collect(),
        2 => b"GET /watch/%00%ff?package=..&best=99999999999999999999&patience-ms=NaN HTTP/1.1\r\n\
            host: x\r\n\r\n"
            .to_vec(),
        3 => b"POST /watch/clips-0?package=clips HTTP/1.1\r\nhost: x\r\n\
            content-length: 999999999\r\n\r\nxx"
            .to_vec(),
        4 => b"GET /viewing/nobody.m3u8?t=1.a.b&_HLS_msn=-5 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        _ => b"GET /watch/clips-0?pack".to_vec(),
    };
    stream.write_all(&text).await?;
    let mut answer = [0; 512];
    _ = stream.read(&mut answer).await?;
    Ok(())
}

/// Another viewing's ticket on one's own address, a changed one, and an expired one.
async fn forge(world: &Rc<World>) {
    let path = world.foreign.borrow().clone();
    if path.is_empty() {
        return;
    }
    let manager = world.crowd.managers[world.manager("")].to_string();
    let forged = path.replacen("/viewings/", "/viewings/0", 1);
    for (address, path) in
        [(manager.clone(), format!("/viewing/0-0-1.m3u8?{}", query_of(&path))), (manager, forged)]
    {
        let sent =
            world.client.exchange(&address, Client::request(Method::GET, &address, &path), MOST, || true);
        if let Some(Ok(answer)) = within(SEGMENT_PATIENCE, sent).await {
            if answer.status.is_success() {
                world
                    .note(Event::Flaw { ask: 0, what: format!("a forged ticket was believed at {address}") });
            }
        }
    }
    for server in &world.crowd.sockets {
        let address = server.to_string();
        let tampered = path.replace("/s", "/s1");
        let sent =
            world.client.exchange(&address, Client::request(Method::GET, &address, &tampered), MOST, || true);
        if let Some(Ok(answer)) = within(SEGMENT_PATIENCE, sent).await {
            if answer.status.is_success() {
                world.note(Event::Flaw { ask: 0, what: "a forged ticket was believed by a server".into() });
            }
        }
    }
}

fn query_of(path: &str) -> &str {
    path.split_once('?').map_or("", |it| it.1)
}
