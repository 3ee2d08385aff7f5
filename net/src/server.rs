use crate::{Body, Nursery};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::fs::File;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; one more is answered 503 at once and closed.
    pub connections: usize,
    /// A request's head must come within this time, from the connection's start or the last answer on.
    pub head: Duration,
}

/// What all who serve on a listener share.
pub struct Server {
    pub open: Cell<usize>,
    /// Connections answered 503 because no more could be held.
    pub turned_away: Cell<u64>,
}

const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// After a failed accept nothing is accepted for so long.
const PAUSE: Duration = Duration::from_millis(20);
/// What is turned away gets its answer within this time, or none.
const PARTING: Duration = Duration::from_millis(500);

/// Accepts connections for ever. A handler's future is dropped when its client closes the connection.
pub async fn serve<H, F>(
    nursery: Nursery,
    listener: Async<TcpListener>,
    limits: Limits,
    server: Rc<Server>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // When file descriptors run out, this one is given up for as long as it takes to say so to the next client.
    let spare = || File::open("/dev/null").ok();
    let mut reserve = spare();
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(trouble) => {
                debug!(%trouble, "accept");
                if reserve.take().is_some() {
                    if let Some(Ok((stream, _))) = ready(listener.accept()).await {
                        server.turned_away.set(server.turned_away.get() + 1);
                        // Not awaited: the descriptor must be free again at once.
                        _ = std::io::Write::write(&mut stream.get_ref(), NO_ROOM);
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
        if server.open.get() >= limits.connections {
            server.turned_away.set(server.turned_away.get() + 1);
            turn_away(&nursery, stream);
            continue;
        }
        _ = stream.get_ref().set_nodelay(true);
        let held = Held::new(&server);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request, peer);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        nursery.spawn(async move {
            let _held = held;
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(SmolTimer::new()).header_read_timeout(limits.head).max_buf_size(64 * 1024);
            if let Err(trouble) = builder.serve_connection(FuturesIo::new(stream), service).await {
                debug!(%peer, %trouble, "connection");
            }
        });
    }
}

struct Held(Rc<Server>);

impl Held {
    fn new(server: &Rc<Server>) -> Held {
        server.open.set(server.open.get() + 1);
        Held(server.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Server {
    pub fn new() -> Rc<Server> {
        Rc::new(Server { open: Cell::new(0), turned_away: Cell::new(0) })
    }
}

fn turn_away(nursery: &Nursery, mut stream: Async<TcpStream>) {
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
