//! A relay for the connections of one caller to one address, on the thread that made it.

use crate::wire::{Condition, Way, Wire};
use futures_lite::future::{or, poll_fn, poll_once, try_zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Exec, Listener, Nursery, Stream, Timer};
use rustix::net::listen;
use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// Pieces of a connection under way in one direction, and the bytes of each; past that the sender is held up.
const PIECES: usize = 32;
const PIECE: usize = 4_096;
const BACKLOG: i32 = 1_024;
/// Connections that fill a queue of none.
const FILLERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(20);

/// Stands in front of an address. While a direction is cut no new connection comes about, as if its first
/// packet or the answer to that were lost; what is open goes on in the direction that is whole. Where nobody
/// listens behind it, a caller finds a connection that is reset, not one that is refused.
pub struct Relay {
    address: SocketAddr,
    line: Rc<Line>,
    /// Dropping it closes everything.
    _tasks: Nursery,
}

struct Line {
    to: SocketAddr,
    began: Instant,
    ways: [RefCell<Wire>; 2],
    version: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Relay {
    /// # Errors
    /// If no address can be had on loopback.
    pub fn start(exec: Exec, to: SocketAddr, seed: u64) -> Result<Relay> {
        let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = listener.get_ref().local_addr()?;
        let line = Rc::new(Line {
            to,
            began: Instant::now(),
            ways: [seed, seed ^ 1].map(|it| RefCell::new(Wire::new(it))),
            version: Cell::new(0),
            waiting: RefCell::default(),
        });
        let tasks = Nursery::new(exec);
        let carried = Nursery::new(exec);
        let served = line.clone();
        tasks.spawn(async move { serve(&carried, &listener, &served).await });
        Ok(Relay { address, line, _tasks: tasks })
    }

    /// Where callers find it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, way: Way, condition: Condition) {
        let mut wire = self.line.ways[way as usize].borrow_mut();
        if wire.condition() == condition {
            return;
        }
        wire.set(condition);
        drop(wire);
        self.line.version.set(self.line.version.get() + 1);
        self.line.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

impl Line {
    fn any(&self, what: impl Fn(Condition) -> bool) -> bool {
        self.ways.iter().any(|it| what(it.borrow().condition()))
    }

    /// Waits until that holds.
    async fn until(&self, what: impl Fn(&Line) -> bool) {
        poll_fn(|cx| {
            if what(self) {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|it| it.will_wake(cx.waker())) {
                waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    async fn passes(&self, way: Way) {
        self.until(|it| !it.ways[way as usize].borrow().condition().cut).await;
    }
}

async fn serve(carried: &Nursery, listener: &Listener, line: &Rc<Line>) {
    loop {
        if line.any(|it| it.cut) {
            let fillers = shut(listener);
            line.until(|it| !it.any(|it| it.cut)).await;
            drop(fillers);
            while poll_once(listener.accept()).await.is_some_and(|it| it.is_ok()) {}
            _ = listen(listener.get_ref(), BACKLOG);
        }
        let changes = async {
            line.until(|it| it.any(|it| it.cut)).await;
            None
        };
        match or(async { Some(listener.accept().await) }, changes).await {
            Some(Ok((near, _))) if line.any(|it| it.reset) => reset(&near),
            Some(Ok((near, _))) => {
                let line = line.clone();
                carried.spawn(async move { carry(near, &line).await });
            }
            Some(Err(_)) => Timer::after(PAUSE).await,
            None => {}
        }
    }
}

/// Fills the queue of those who wait to be accepted: the system drops what else would join it, and the caller
/// tries again until its time is up.
fn shut(listener: &Listener) -> Vec<socket2::Socket> {
    let socket = listener.get_ref();
    _ = listen(socket, 0);
    let Ok(address) = socket.local_addr() else {
        return Vec::new();
    };
    let filler = |_| {
        let kind = socket2::Type::STREAM.nonblocking();
        let filler = socket2::Socket::new(socket2::Domain::IPV4, kind, None).ok()?;
        _ = filler.connect(&address.into());
        Some(filler)
    };
    (0..FILLERS).filter_map(filler).collect()
}

/// Its end is a reset.
fn reset(socket: &TcpStream) {
    _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

async fn carry(near: TcpStream, line: &Line) {
    let (near, far) = match (Stream::new(near), Stream::connect(line.to).await) {
        (Ok(near), Ok(far)) => (near, far),
        (Ok(near), _) => return reset(near.get_ref()),
        _ => return,
    };
    _ = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    let sockets = [near.share(), far.share()];
    let ((near_in, near_out), (far_in, far_out)) =
        (futures_lite::io::split(near), futures_lite::io::split(far));
    let both = try_zip(
        pump(near_in, far_out, &sockets[0], line, Way::There),
        pump(far_in, near_out, &sockets[1], line, Way::Back),
    );
    let resets = async {
        line.until(|it| it.any(|it| it.reset)).await;
        Err(Error::from(ErrorKind::ConnectionReset))
    };
    if or(async { both.await.map(|_| ()) }, resets).await.is_err() {
        sockets.iter().for_each(|it| reset(it));
    }
}

/// What goes over one direction of a connection.
enum Piece {
    Bytes {
        bytes: Vec<u8>,
        /// It was lost at first, or met a cut wire: only who still has the connection sends it again.
        again: bool,
    },
    End,
    Reset,
}

/// Carries one direction to its end, which is a piece like the others.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    sender: &TcpStream,
    line: &Line,
    way: Way,
) -> Result<()> {
    let (put, take) = async_channel::bounded::<(Instant, Piece)>(PIECES);
    // Who looks first takes the socket's error away.
    let gone = Cell::new(false);
    let is_cut = || line.ways[way as usize].borrow().condition().cut;
    let reads = async {
        let mut bytes = [0; PIECE];
        loop {
            let read = from.read(&mut bytes).await;
            let met_cut = is_cut();
            line.passes(way).await;
            let (due, lost) =
                line.ways[way as usize].borrow_mut().piece(line.began.elapsed().as_secs_f64() * 1e3);
            let due = line.began + Duration::from_secs_f64(due / 1e3);
            let piece = match read {
                Ok(0) => Piece::End,
                Ok(count) => Piece::Bytes { bytes: bytes[..count].to_vec(), again: met_cut || lost },
                Err(_) => {
                    gone.set(true);
                    Piece::Reset
                }
            };
            let last = !matches!(piece, Piece::Bytes { .. });
            if put.send((due, piece)).await.is_err() || last {
                return Ok(());
            }
        }
    };
    let writes = async {
        while let Ok((due, piece)) = take.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            let met_cut = is_cut();
            line.passes(way).await;
            let reset = sender.take_error().map_or(true, |it| it.is_some());
            gone.set(gone.get() || reset);
            match piece {
                Piece::Bytes { again, .. } if gone.get() && (again || met_cut) => {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                Piece::Bytes { bytes, .. } => to.write_all(&bytes).await?,
                Piece::End => return to.close().await,
                Piece::Reset => return Err(ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(())
    };
    try_zip(reads, writes).await.map(|_| ())
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_net::{block_on, executor};
    use std::future::Future;
    use test_case::test_case;

    const CUT: Condition =
        Condition { cut: true, reset: false, slow: 0.0, thin: 0.0, double: 0.0, reorder: 0.0 };
    const SHORT: Duration = Duration::from_millis(150);

    async fn within<T>(what: impl Future<Output = T>) -> Option<T> {
        or(async { Some(what.await) }, async {
            Timer::after(SHORT).await;
            None
        })
        .await
    }

    /// A server that sends back what comes, and notes what came; a relay in front; a connection through it.
    async fn scene(exec: Exec) -> (Relay, Stream, Rc<RefCell<Vec<u8>>>) {
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

    #[test_case(Way::There, false; "cut on the way there nothing arrives")]
    #[test_case(Way::Back, true; "cut on the way back it arrives and the answer does not")]
    fn one_way_is_cut(way: Way, arrives: bool) {
        let exec = executor();
        block_on(exec.run(async {
            let (relay, mut stream, came) = scene(exec).await;
            relay.set(way, CUT);
            assert_eq!(echo(&mut stream, b'b').await, None);
            assert_eq!(came.borrow().contains(&b'b'), arrives);
            let fresh = within(Stream::connect(relay.address())).await;
            assert!(fresh.is_none(), "no new connection comes about");
            relay.set(way, Condition::default());
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
            relay.set(Way::There, Condition { reset: true, ..Condition::default() });
            let mut byte = [0];
            let ended = within(stream.read_exact(&mut byte)).await.unwrap().unwrap_err();
            assert_eq!(ended.kind(), ErrorKind::ConnectionReset);
            let mut fresh = within(Stream::connect(relay.address())).await.unwrap().unwrap();
            assert_eq!(echo(&mut fresh, b'b').await, None);
            relay.set(Way::There, Condition::default());
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
            relay.set(Way::There, CUT);
            stream.write_all(b"b").await.unwrap();
            Timer::after(SHORT / 3).await;
            if resets {
                reset(stream.get_ref());
            }
            drop(stream);
            Timer::after(SHORT / 3).await;
            relay.set(Way::There, Condition::default());
            Timer::after(SHORT / 3).await;
            assert_eq!(came.borrow().contains(&b'b'), arrives);
        }));
    }

    #[test]
    fn slowness_is_felt_each_way_and_an_end_comes_through() {
        let exec = executor();
        block_on(exec.run(async {
            let (relay, mut stream, _) = scene(exec).await;
            relay.set(Way::There, Condition { slow: 30.0, ..Condition::default() });
            relay.set(Way::Back, Condition { slow: 20.0, ..Condition::default() });
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
}
