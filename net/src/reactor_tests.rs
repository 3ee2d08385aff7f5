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
fn timers_ring_in_order_and_not_early() {
    let exec = executor();
    let began = Instant::now();
    let (told, rung) = std::sync::mpsc::channel();
    block_on(exec.run(async {
        let tasks: Vec<_> = [30, 10, 20, 0, 10]
            .into_iter()
            .map(|span| {
                let told = told.clone();
                exec.spawn(async move {
                    Timer::at(began + ms(span)).await;
                    told.send((span, began.elapsed())).unwrap();
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
    }));
    drop(told);
    let rung: Vec<_> = rung.iter().collect();
    assert_eq!(rung.iter().map(|it| it.0).collect::<Vec<_>>(), [0, 10, 10, 20, 30]);
    assert!(rung.iter().all(|it| it.1 >= ms(it.0)), "{rung:?}");
}

/// A timer that was dropped wakes nobody and is not kept.
#[test]
fn a_dropped_timer_is_gone() {
    block_on(async {
        let began = Instant::now();
        let short = Timer::after(ms(5));
        futures_lite::future::or(short, Timer::after(Duration::from_secs(600))).await;
        assert!(began.elapsed() < Duration::from_secs(60));
    });
    assert_eq!(crate::reactor::reactor().unwrap().timers(), 0);
}

/// More bytes than a socket holds, so that both sides wait for each other, many times over.
#[test_case(1)]
#[test_case(50; "many at once")]
fn all_bytes_come_through(pairs: usize) {
    const BYTES: usize = 3_000_000;
    let exec = executor();
    block_on(exec.run(async {
        let listener = Listener::bind(ANY).unwrap();
        let to = listener.get_ref().local_addr().unwrap();
        let tasks: Vec<_> = (0..pairs)
            .map(|ix| {
                exec.spawn(async move {
                    let mut stream = Stream::connect(to).await.unwrap();
                    let bytes: Vec<u8> = (0..BYTES / pairs).map(|it| (it * 7 + ix) as u8).collect();
                    stream.write_all(&[ix as u8]).await.unwrap();
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
                let ix = bytes.remove(0);
                assert!(bytes.iter().enumerate().all(|(at, it)| *it == (at * 7 + ix as usize) as u8));
                stream.write_all(bytes.len().to_string().as_bytes()).await.unwrap();
            })
            .detach();
        }
        for task in tasks {
            task.await;
        }
    }));
}

/// A thread that sleeps in its sockets is woken by each of many messages of another that sleeps as well.
#[test]
fn messages_between_threads_wake() {
    const ROUNDS: usize = 20_000;
    let (to_other, at_other) = async_channel::bounded::<usize>(1);
    let (to_one, at_one) = async_channel::bounded::<usize>(1);
    let other = std::thread::spawn(move || {
        block_on(executor().run(async {
            while let Ok(it) = at_other.recv().await {
                to_one.send(it + 1).await.unwrap();
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

/// Found by a rehearsed day: a manager was stopped for two seconds, and who came then was broken off.
#[test]
fn who_comes_while_nobody_accepts_is_not_lost() {
    let listener = listen(ANY).unwrap();
    let to = listener.local_addr().unwrap();
    let most =
        std::fs::read_to_string("/proc/sys/net/core/somaxconn").ok().and_then(|it| it.trim().parse().ok());
    let count = 600.min(most.unwrap_or(128));
    let within = ms(500);
    let waiting: Vec<_> = (0..count).map(|_| std::net::TcpStream::connect_timeout(&to, within)).collect();
    assert_eq!(waiting.iter().filter(|it| it.is_ok()).count(), count);
    let accepted = (0..count).filter(|_| listener.accept().is_ok()).count();
    assert_eq!(accepted, count);
}

#[test]
fn nobody_listens() {
    let free = std::net::TcpListener::bind(ANY).unwrap().local_addr().unwrap();
    let began = Instant::now();
    assert!(block_on(Stream::connect(free)).is_err());
    assert!(began.elapsed() < Duration::from_secs(5));
}

/// A task that never waits does not keep timers and sockets from being seen.
#[test]
fn a_busy_task_starves_nobody() {
    let exec = executor();
    let busy = exec.spawn(async {
        loop {
            futures_lite::future::yield_now().await;
        }
    });
    let began = Instant::now();
    block_on(exec.run(async {
        Timer::after(ms(20)).await;
        let listener = Listener::bind(ANY).unwrap();
        let to = listener.get_ref().local_addr().unwrap();
        _ = futures_lite::future::zip(Stream::connect(to), listener.accept()).await;
    }));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    drop(busy);
}
