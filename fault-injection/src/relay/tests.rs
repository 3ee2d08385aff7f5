use super::{carry::reset, Relay};
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
const SHORT: Duration = Duration::from_millis(150);

async fn within<T>(what: impl Future<Output = T>) -> Option<T> {
    or(async { Some(what.await) }, async {
        Timer::after(SHORT).await;
        None
    })
    .await
}

/// A server that sends back what comes, and notes what came; a relay in front; a connection through it.
async fn scene(exec: Executor) -> (Relay, Stream, Rc<RefCell<Vec<u8>>>) {
    let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let to = listener.get_ref().local_addr().unwrap();
    let came = Rc::new(RefCell::new(Vec::new()));
    let noted = came.clone();
    exec.spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (mut stream, noted) = (Stream::new(socket).unwrap(), noted.clone());
            exec.spawn(async move {
                let mut byte = [0];
                while stream.read_exact(&mut byte).await.is_ok() {
                    noted.borrow_mut().push(byte[0]);
                    if stream.write_all(&byte).await.is_err() {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    let relay = Relay::start(exec, to, 1).unwrap();
    let mut stream = Stream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream, b'a').await, Some(b'a'));
    (relay, stream, came)
}

async fn echo(stream: &mut Stream, byte: u8) -> Option<u8> {
    stream.write_all(&[byte]).await.ok()?;
    let mut back = [0];
    within(stream.read_exact(&mut back)).await?.ok()?;
    Some(back[0])
}

#[test_case(Direction::Forward, false; "cut on the way there nothing arrives")]
#[test_case(Direction::Reverse, true; "cut on the way back it arrives and the answer does not")]
fn one_way_is_cut(way: Direction, arrives: bool) {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, came) = scene(exec).await;
        relay.set_condition(way, CUT);
        assert_eq!(echo(&mut stream, b'b').await, None);
        assert_eq!(came.borrow().contains(&b'b'), arrives);
        let fresh = within(Stream::connect(relay.address())).await;
        assert!(fresh.is_none(), "no new connection comes about");
        relay.set_condition(way, NetworkCondition::default());
        let mut byte = [0];
        assert!(within(stream.read_exact(&mut byte)).await.is_some(), "what waited comes through");
        assert_eq!(byte[0], b'b');
        let mut fresh = within(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut fresh, b'c').await, Some(b'c'));
    }));
}

#[test]
fn a_reset_ends_what_is_open_and_what_comes() {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, _) = scene(exec).await;
        relay.set_condition(
            Direction::Forward,
            NetworkCondition { reset: true, ..NetworkCondition::default() },
        );
        let mut byte = [0];
        let ended = within(stream.read_exact(&mut byte)).await.unwrap().unwrap_err();
        assert_eq!(ended.kind(), ErrorKind::ConnectionReset);
        let mut fresh = within(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut fresh, b'b').await, None);
        relay.set_condition(Direction::Forward, NetworkCondition::default());
        let mut fresh = within(Stream::connect(relay.address())).await.unwrap().unwrap();
        assert_eq!(echo(&mut fresh, b'c').await, Some(b'c'));
    }));
}

#[test_case(true, false; "reset by its sender")]
#[test_case(false, true; "closed in the usual way")]
fn what_meets_a_cut_wire_is_sent_again_only_if_its_sender_did_not_reset(resets: bool, arrives: bool) {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, came) = scene(exec).await;
        relay.set_condition(Direction::Forward, CUT);
        stream.write_all(b"b").await.unwrap();
        Timer::after(SHORT / 3).await;
        if resets {
            reset(stream.get_ref());
        }
        drop(stream);
        Timer::after(SHORT / 3).await;
        relay.set_condition(Direction::Forward, NetworkCondition::default());
        Timer::after(SHORT / 3).await;
        assert_eq!(came.borrow().contains(&b'b'), arrives);
    }));
}

#[test]
fn slowness_is_felt_each_way_and_an_end_comes_through() {
    let exec = executor();
    block_on(exec.run(async {
        let (relay, mut stream, _) = scene(exec).await;
        relay.set_condition(
            Direction::Forward,
            NetworkCondition { delay_ms: 30.0, ..NetworkCondition::default() },
        );
        relay.set_condition(
            Direction::Reverse,
            NetworkCondition { delay_ms: 20.0, ..NetworkCondition::default() },
        );
        let began = Instant::now();
        assert_eq!(echo(&mut stream, b'b').await, Some(b'b'));
        assert!(began.elapsed() >= Duration::from_millis(50), "{:?}", began.elapsed());
        stream.close().await.unwrap();
        let mut byte = [0];
        assert_eq!(within(stream.read(&mut byte)).await.unwrap().unwrap(), 0);
    }));
}

#[test]
fn who_is_called_in_vain_resets() {
    let exec = executor();
    block_on(exec.run(async {
        let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let relay = Relay::start(exec, nobody, 1).unwrap();
        let mut stream = Stream::connect(relay.address()).await.unwrap();
        assert_eq!(echo(&mut stream, b'b').await, None);
    }));
}
