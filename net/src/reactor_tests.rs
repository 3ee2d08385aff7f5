//! Tests of timers, sockets and wakes on the reactor.

use crate::{block_on, executor, listen, Listener, Stream, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_case::test_case;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

#[test]
fn timers_fire_in_order_and_not_early() {
    let exec = executor();
    let started = Instant::now();
    let (sender, fired) = std::sync::mpsc::channel();
    block_on(exec.run(async {
        let tasks: Vec<_> = [30, 10, 20, 0, 10]
            .into_iter()
            .map(|span| {
                let sender = sender.clone();
                exec.spawn(async move {
                    Timer::at(started + ms(span)).await;
                    sender.send((span, started.elapsed())).unwrap();
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
    }));
    drop(sender);
    let fired: Vec<_> = fired.iter().collect();
    assert_eq!(fired.iter().map(|(span, _)| *span).collect::<Vec<_>>(), [0, 10, 10, 20, 30]);
    assert!(fired.iter().all(|(span, elapsed)| *elapsed >= ms(*span)), "{fired:?}");
}

/// A timer that was dropped wakes no task and is not kept by the reactor.
#[test]
fn a_dropped_timer_is_removed() {
    block_on(async {
        let started = Instant::now();
        let short = Timer::after(ms(5));
        futures_lite::future::or(short, Timer::after(Duration::from_secs(600))).await;
        assert!(started.elapsed() < Duration::from_secs(60));
    });
    assert_eq!(crate::reactor::reactor().unwrap().timer_count(), 0);
}

/// Sends more bytes than a socket buffers, so that both sides wait for each other many times.
#[test_case(1)]
#[test_case(50; "many at once")]
fn all_bytes_arrive(pairs: usize) {
    const BYTES: usize = 3_000_000;
    let exec = executor();
    block_on(exec.run(async {
        let listener = Listener::bind(ANY).unwrap();
        let to = listener.get_ref().local_addr().unwrap();
        let tasks: Vec<_> = (0..pairs)
            .map(|number| {
                exec.spawn(async move {
                    let mut stream = Stream::connect(to).await.unwrap();
                    let bytes: Vec<u8> =
                        (0..BYTES / pairs).map(|offset| (offset * 7 + number) as u8).collect();
                    stream.write_all(&[number as u8]).await.unwrap();
                    stream.write_all(&bytes).await.unwrap();
                    stream.close().await.unwrap();
                    let mut back = Vec::new();
                    stream.read_to_end(&mut back).await.unwrap();
                    assert_eq!(back, bytes.len().to_string().as_bytes());
                })
            })
            .collect();
        for _ in 0..pairs {
            let (socket, _) = listener.accept().await.unwrap();
            exec.spawn(async move {
                let mut stream = Stream::new(socket).unwrap();
                let mut bytes = Vec::new();
                stream.read_to_end(&mut bytes).await.unwrap();
                let number = bytes.remove(0);
                assert!(bytes
                    .iter()
                    .enumerate()
                    .all(|(offset, byte)| *byte == (offset * 7 + number as usize) as u8));
                stream.write_all(bytes.len().to_string().as_bytes()).await.unwrap();
            })
            .detach();
        }
        for task in tasks {
            task.await;
        }
    }));
}

/// Two threads that sleep in epoll wake each other with each of many messages.
#[test]
fn messages_wake_a_sleeping_thread() {
    const ROUNDS: usize = 20_000;
    let (to_other, at_other) = async_channel::bounded::<usize>(1);
    let (to_one, at_one) = async_channel::bounded::<usize>(1);
    let other = std::thread::spawn(move || {
        block_on(executor().run(async {
            while let Ok(number) = at_other.recv().await {
                to_one.send(number + 1).await.unwrap();
            }
        }));
    });
    let last = block_on(executor().run(async {
        let mut last = 0;
        for _ in 0..ROUNDS {
            to_other.send(last).await.unwrap();
            last = at_one.recv().await.unwrap();
        }
        last
    }));
    drop(to_other);
    other.join().unwrap();
    assert_eq!(last, ROUNDS);
}

/// In a rehearsal a manager was paused for two seconds, and connections that arrived meanwhile were broken
/// off.
#[test]
fn connections_that_arrive_while_none_are_accepted_are_kept() {
    let listener = listen(ANY).unwrap();
    let to = listener.local_addr().unwrap();
    let limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn")
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let count = 600.min(limit.unwrap_or(128));
    let within = ms(500);
    let waiting: Vec<_> = (0..count).map(|_| std::net::TcpStream::connect_timeout(&to, within)).collect();
    assert_eq!(waiting.iter().filter(|connection| connection.is_ok()).count(), count);
    let accepted = (0..count).filter(|_| listener.accept().is_ok()).count();
    assert_eq!(accepted, count);
}

#[test]
fn connecting_fails_if_no_server_listens() {
    let free = std::net::TcpListener::bind(ANY).unwrap().local_addr().unwrap();
    let started = Instant::now();
    assert!(block_on(Stream::connect(free)).is_err());
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// A task that is always ready does not keep timers and sockets from being polled.
#[test]
fn a_busy_task_does_not_block_timers_and_sockets() {
    let exec = executor();
    let busy = exec.spawn(async {
        loop {
            futures_lite::future::yield_now().await;
        }
    });
    let started = Instant::now();
    block_on(exec.run(async {
        Timer::after(ms(20)).await;
        let listener = Listener::bind(ANY).unwrap();
        let to = listener.get_ref().local_addr().unwrap();
        _ = futures_lite::future::zip(Stream::connect(to), listener.accept()).await;
    }));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    drop(busy);
}
