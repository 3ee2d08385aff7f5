//! An HTTP server with a limit on its connections.

use crate::body::Body;
use crate::socket::{Listener, Stream};
use crate::task_group::TaskGroup;
use crate::timer::{HyperTimers, Timer};
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

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that are open at the same time; further ones are answered 503 and closed.
    pub connections: usize,
    /// The head of a request must arrive within this time from the start of the connection or the last
    /// response.
    pub head_timeout: Duration,
}

/// Counts of the connections of a listener, shared by all threads that serve them.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: AtomicUsize,
    turned_away: AtomicU64,
}

/// An accepted connection. It counts as open until it is dropped.
pub struct Accepted {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    open: OpenConnection,
}

/// The response to a connection above the limit.
const UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A connection above the limit gets its response within this time, or none.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts and serves connections for ever. The handler's future is dropped when the client closes the
/// connection.
pub async fn serve<H, F>(
    tasks: TaskGroup,
    listener: Listener,
    limits: Limits,
    counts: Arc<ConnectionCounts>,
    handler: H,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let group = tasks.clone();
    accept(tasks, listener, limits, counts, move |accepted| {
        serve_connection(&group, accepted, limits, handler.clone(), || ());
        Ok(())
    })
    .await;
}

/// Accepts connections for ever and passes each to `hand_on`; one that it returns is answered 503.
pub async fn accept(
    tasks: TaskGroup,
    listener: Listener,
    limits: Limits,
    counts: Arc<ConnectionCounts>,
    mut hand_on: impl FnMut(Accepted) -> Result<(), Accepted>,
) {
    // When file descriptors run out, the spare one is closed for as long as it takes to answer the next
    // client 503.
    let open_spare = || File::open("/dev/null").ok();
    let mut spare = open_spare();
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(%error, "accept failed");
                if spare.take().is_some() {
                    if let Some(Ok((stream, _))) = within_a_millisecond(listener.accept()).await {
                        counts.turned_away.fetch_add(1, Ordering::Relaxed);
                        // A plain write that does not wait, since the descriptor must be free again at once.
                        _ = std::io::Write::write(&mut &stream, UNAVAILABLE);
                    }
                }
                spare = open_spare();
                if spare.is_none() {
                    warn!(%error, "no file descriptor is free");
                }
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if spare.is_none() {
            spare = open_spare();
        }
        if counts.open() >= limits.connections {
            counts.turned_away.fetch_add(1, Ordering::Relaxed);
            turn_away(&tasks, stream);
            continue;
        }
        _ = stream.set_nodelay(true);
        let accepted = Accepted { stream, peer, open: OpenConnection::new(&counts) };
        if let Err(Accepted { stream, .. }) = hand_on(accepted) {
            counts.turned_away.fetch_add(1, Ordering::Relaxed);
            turn_away(&tasks, stream);
        }
    }
}

/// Serves a connection until it closes, and then calls `closed`.
pub fn serve_connection<H, F>(
    tasks: &TaskGroup,
    accepted: Accepted,
    limits: Limits,
    handler: H,
    closed: impl FnOnce() + 'static,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let Accepted { stream, peer, open } = accepted;
    let Ok(stream) = Stream::new(stream) else {
        return;
    };
    let handle = ConnectionHandle { socket: stream.share(), peer };
    let service = service_fn(move |request| {
        let response = handler(request, handle.clone());
        async move { Ok::<_, Infallible>(response.await) }
    });
    tasks.spawn(async move {
        let _open = open;
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(HyperTimers).header_read_timeout(limits.head_timeout).max_buf_size(64 * 1024);
        if let Err(error) = builder.serve_connection(FuturesIo::new(stream), service).await {
            debug!(%peer, %error, "connection failed");
        }
        closed();
    });
}

/// A connection as its handler sees it. With a clone, another thread can answer in the handler's place.
#[derive(Clone)]
pub struct ConnectionHandle {
    socket: Arc<TcpStream>,
    pub peer: SocketAddr,
}

impl ConnectionHandle {
    /// Writes a response directly to the socket, bypassing the thread that serves the connection, and closes
    /// it. To be called only by the thread that has won the right to answer; the serving thread writes
    /// nothing more.
    ///
    /// # Errors
    /// Those of the write and of the shutdown.
    pub fn answer_and_close(&self, bytes: &[u8]) -> std::io::Result<()> {
        let mut socket = &*self.socket;
        // The write does not wait: a response fits the socket's buffer, unless the client reads nothing.
        let written = std::io::Write::write_all(&mut socket, bytes);
        written.and(socket.shutdown(Shutdown::Both))
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<ConnectionCounts>);

impl OpenConnection {
    fn new(counts: &Arc<ConnectionCounts>) -> OpenConnection {
        counts.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(counts.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionCounts {
    /// Counts that start at zero.
    pub fn new() -> Arc<ConnectionCounts> {
        Arc::default()
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// The number of connections that were answered 503 because of the limit.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }
}

fn turn_away(tasks: &TaskGroup, stream: TcpStream) {
    let Ok(mut stream) = Stream::new(stream) else {
        return;
    };
    tasks.spawn(async move {
        let respond = async {
            _ = stream.write_all(UNAVAILABLE).await;
            _ = stream.close().await;
        };
        futures_lite::future::or(respond, async {
            Timer::after(TURN_AWAY_TIMEOUT).await;
        })
        .await;
    });
}

/// The output of the future if it completes within a millisecond.
async fn within_a_millisecond<T>(future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(Duration::from_millis(1)).await;
        None
    })
    .await
}
