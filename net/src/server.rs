use crate::body::Body;
use crate::nursery::TaskGroup;
use crate::socket::{Listener, Stream};
use crate::timer::{Timer, Timers};
use futures_lite::AsyncWriteExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::fs::File;
use std::future::Future;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; one more is answered 503 at once and closed.
    pub connections: usize,
    /// A request's head must come within this time, from the connection's start or the last answer on.
    pub head_timeout: Duration,
}

/// What all who serve the connections of a listener share, on one thread or several.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: AtomicUsize,
    turned_away: AtomicU64,
}

/// A connection that was accepted, and counts as open until it is dropped.
pub struct Accepted {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    held: Held,
}

const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// After a failed accept nothing is accepted for so long.
const PAUSE: Duration = Duration::from_millis(20);
/// What is turned away gets its answer within this time, or none.
const PARTING: Duration = Duration::from_millis(500);

/// Accepts connections for ever and serves them. A handler's future is dropped when its client closes the
/// connection.
pub async fn serve<H, F>(
    nursery: TaskGroup,
    listener: Listener,
    limits: Limits,
    server: Arc<ConnectionCounts>,
    handler: H,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let on = nursery.clone();
    accept(nursery, listener, limits, server, move |accepted| {
        serve_connection(&on, accepted, limits, handler.clone(), || ());
        Ok(())
    })
    .await;
}

/// Accepts connections for ever and hands each on; one that is handed back is answered 503.
pub async fn accept(
    nursery: TaskGroup,
    listener: Listener,
    limits: Limits,
    server: Arc<ConnectionCounts>,
    mut hand_on: impl FnMut(Accepted) -> Result<(), Accepted>,
) {
    // When file descriptors run out, this one is given up for as long as it takes to say so to the next
    // client.
    let spare = || File::open("/dev/null").ok();
    let mut reserve = spare();
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(trouble) => {
                debug!(%trouble, "accept");
                if reserve.take().is_some() {
                    if let Some(Ok((stream, _))) = ready(listener.accept()).await {
                        server.turned_away.fetch_add(1, Ordering::Relaxed);
                        // Not awaited: the descriptor must be free again at once.
                        _ = std::io::Write::write(&mut &stream, NO_ROOM);
                    }
                }
                reserve = spare();
                if reserve.is_none() {
                    warn!(%trouble, "no file descriptor is free");
                }
                Timer::after(PAUSE).await;
                continue;
            }
        };
        if reserve.is_none() {
            reserve = spare();
        }
        if server.open() >= limits.connections {
            server.turned_away.fetch_add(1, Ordering::Relaxed);
            turn_away(&nursery, stream);
            continue;
        }
        _ = stream.set_nodelay(true);
        let accepted = Accepted { stream, peer, held: Held::new(&server) };
        if let Err(Accepted { stream, .. }) = hand_on(accepted) {
            server.turned_away.fetch_add(1, Ordering::Relaxed);
            turn_away(&nursery, stream);
        }
    }
}

/// Serves a connection until it closes, and then calls `closed`.
pub fn serve_connection<H, F>(
    nursery: &TaskGroup,
    accepted: Accepted,
    limits: Limits,
    handler: H,
    closed: impl FnOnce() + 'static,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let Accepted { stream, peer, held } = accepted;
    let Ok(stream) = Stream::new(stream) else {
        return;
    };
    let line = ConnectionHandle { socket: stream.share(), peer };
    let service = service_fn(move |request| {
        let answer = handler(request, line.clone());
        async move { Ok::<_, Infallible>(answer.await) }
    });
    nursery.spawn(async move {
        let _held = held;
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(Timers).header_read_timeout(limits.head_timeout).max_buf_size(64 * 1024);
        if let Err(trouble) = builder.serve_connection(FuturesIo::new(stream), service).await {
            debug!(%peer, %trouble, "connection");
        }
        closed();
    });
}

/// A connection, as its handler sees it: by a clone another thread may end it in the handler's place.
#[derive(Clone)]
pub struct ConnectionHandle {
    socket: Arc<TcpStream>,
    pub peer: SocketAddr,
}

impl ConnectionHandle {
    /// Writes an answer past the one who serves the connection, and closes it. To be done only by who has won
    /// the right to answer; whoever serves it writes nothing more.
    pub fn answer_and_close(&self, bytes: &[u8]) -> std::io::Result<()> {
        let mut socket = &*self.socket;
        // It does not wait: an answer fits what a socket holds, unless its client reads nothing.
        let written = std::io::Write::write_all(&mut socket, bytes);
        written.and(socket.shutdown(Shutdown::Both))
    }
}

struct Held(Arc<ConnectionCounts>);

impl Held {
    fn new(server: &Arc<ConnectionCounts>) -> Held {
        server.open.fetch_add(1, Ordering::Relaxed);
        Held(server.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionCounts {
    pub fn new() -> Arc<ConnectionCounts> {
        Arc::default()
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections answered 503 because no more could be held.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }
}

fn turn_away(nursery: &TaskGroup, stream: TcpStream) {
    let Ok(mut stream) = Stream::new(stream) else {
        return;
    };
    nursery.spawn(async move {
        let say = async {
            _ = stream.write_all(NO_ROOM).await;
            _ = stream.close().await;
        };
        futures_lite::future::or(say, async {
            Timer::after(PARTING).await;
        })
        .await;
    });
}

/// The outcome if it is there within a moment.
async fn ready<T>(future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(Duration::from_millis(1)).await;
        None
    })
    .await
}
