//! Tests of the TCP relay on real loopback sockets.

use super::{forward::reset_on_close, Relay};
use crate::impairment::{Direction, NetworkCondition};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ottersail_net::{block_on, executor, Executor, Listener, Stream, Timer};
use std::cell::RefCell;
use std::future::Future;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_case::test_case;

const CUT: NetworkCondition = NetworkCondition {
    cut: true,
    reset: false,
    delay_ms: 0.0,
    loss_rate: 0.0,
    duplicate_rate: 0.0,
    reorder_rate: 0.0,
};
/// How long the tests wait for something that may not happen.
const TIMEOUT: Duration = Duration::from_millis(150);

/// The output of `future`, or `None` after the timeout.
async fn with_timeout<T>(future: impl Future<Output = T>) -> Option<T> {
    or(async { Some(future.await) }, async {
        Timer::after(TIMEOUT).await;
        None
    })
    .await
}

/// Starts an echo server with a relay in front of it. Returns the relay, a connection through it, and the bytes
/// that the server has received.
async fn start_echo_relay(exec: Executor) -> (Relay, Stream, Rc<RefCell<Vec<u8>>>) {
    let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let target = listener.get_ref().local_addr().unwrap();
    let received = Rc::new(RefCell::new(Vec::new()));
    let server_received = received.clone();
    exec.spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (mut stream, server_received) = (Stream::new(socket).unwrap(), server_received.clone());
            exec.spawn(async move {
                let mut buffer = [0];
                while stream.read_exact(&mut buffer).await.is_ok() {
                    server_received.borrow_mut().push(buffer[0]);
                    if stream.write_all(&buffer).await.is_err() {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    let relay = Relay::start(exec, target, 1).unwrap();
    let mut stream = Stream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream, b'a').await, Some(b'a'));
    (relay, stream, received)
}

/// Sends a byte and returns the one that comes back, if any does before the timeout.
async fn echo(stream: &mut Stream, byte: u8) -> Option<u8> {
    stream.write_all(&[byte]).await.ok()?;
    let mut reply = [0];
    with_timeout(stream.read_exact(&mut reply)).await?.ok()?;
    Some(reply[0])
}

#[test_case(Direction::Forward, false; "forward cut, data does not arrive")]
#[test_case(Direction::Reverse, true; "reverse cut, data arrives but the reply does not")]
fn a_cut_blocks_one_direction_and_new_connections(direction: Direction, arrives: bool) {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, received) = start_echo_relay(exec).await;
        relay.set_condition(direction, CUT);
        assert_eq!(echo(&mut stream, b'b').await, None);
        assert_eq!(received.borrow().contains(&b'b'), arrives);
        let new_stream = with_timeout(Stream::connect(relay.address())).await;
        assert!(new_stream.is_none(), "no new connection is established");
        relay.set_condition(direction, NetworkCondition::default());
        let mut buffer = [0];
        assert!(
            with_timeout(stream.read_exact(&mut buffer)).await.is_some(),
            "data sent during the cut arrives after it"
        );
        assert_eq!(buffer[0], b'b');
        let mut new_stream = with_timeout(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut new_stream, b'c').await, Some(b'c'));
    }));
}

#[test]
fn a_reset_ends_open_and_new_connections() {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, _) = start_echo_relay(exec).await;
        relay.set_condition(
            Direction::Forward,
            NetworkCondition { reset: true, ..NetworkCondition::default() },
        );
        let mut buffer = [0];
        let error = with_timeout(stream.read_exact(&mut buffer)).await.unwrap().unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        let mut new_stream = with_timeout(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut new_stream, b'b').await, None);
        relay.set_condition(Direction::Forward, NetworkCondition::default());
        let mut new_stream = with_timeout(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut new_stream, b'c').await, Some(b'c'));
    }));
}

#[test_case(true, false; "reset by its sender")]
#[test_case(false, true; "closed in order")]
fn data_sent_during_a_cut_arrives_unless_the_sender_resets(sender_resets: bool, arrives: bool) {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, received) = start_echo_relay(exec).await;
        relay.set_condition(Direction::Forward, CUT);
        stream.write_all(b"b").await.unwrap();
        Timer::after(TIMEOUT / 3).await;
        if sender_resets {
            reset_on_close(stream.get_ref());
        }
        drop(stream);
        Timer::after(TIMEOUT / 3).await;
        relay.set_condition(Direction::Forward, NetworkCondition::default());
        Timer::after(TIMEOUT / 3).await;
        assert_eq!(received.borrow().contains(&b'b'), arrives);
    }));
}

#[test]
fn delays_of_both_directions_add_up_and_a_close_is_forwarded() {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, _) = start_echo_relay(exec).await;
        relay.set_condition(
            Direction::Forward,
            NetworkCondition { delay_ms: 30.0, ..NetworkCondition::default() },
        );
        relay.set_condition(
            Direction::Reverse,
            NetworkCondition { delay_ms: 20.0, ..NetworkCondition::default() },
        );
        let started = Instant::now();
        assert_eq!(echo(&mut stream, b'b').await, Some(b'b'));
        assert!(started.elapsed() >= Duration::from_millis(50), "{:?}", started.elapsed());
        stream.close().await.unwrap();
        let mut buffer = [0];
        assert_eq!(with_timeout(stream.read(&mut buffer)).await.unwrap().unwrap(), 0);
    }));
}

#[test]
fn a_connection_is_reset_if_nothing_listens_on_the_target() {
    let exec = executor();
    block_on(exec.run(async {
        let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let relay = Relay::start(exec, unused_address, 1).unwrap();
        let mut stream = Stream::connect(relay.address()).await.unwrap();
        assert_eq!(echo(&mut stream, b'b').await, None);
    }));
}
