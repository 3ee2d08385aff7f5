use crate::{whole, Body, Exec, Stream, Timer};
use async_executor::Task;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How an exchange failed, and what that proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent: no connection within the time allowed.
    NoConnection,
    /// Nothing was sent, for a reason on this side.
    NotSent,
    /// It was sent, or may have been; then the connection ended or spoke no HTTP.
    Lost,
    /// The answer is larger than allowed.
    TooLarge,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

struct Kept {
    sender: SendRequest<Body>,
    /// Dropping it closes the connection.
    _connection: Task<()>,
    socket: Arc<TcpStream>,
    since: Instant,
}

/// A connection whose exchange is under way.
struct Out {
    kept: Option<Kept>,
    resets: bool,
}

impl Out {
    fn done(mut self) -> Option<Kept> {
        self.kept.take()
    }
}

impl Drop for Out {
    /// Guards against what was called off and gets there later all the same: closed in the usual way, the
    /// system goes on sending what the peer has not got, for minutes over a wire that loses it or is cut.
    fn drop(&mut self) {
        if let Some(kept) = self.kept.as_ref().filter(|_| self.resets) {
            _ = socket2::SockRef::from(&*kept.socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Connections are kept for the next exchange with the same address; dropping an exchange closes its own.
pub struct Client {
    exec: Exec,
    connect: Duration,
    /// Idle connections kept to one address, and for how long.
    keep: usize,
    keep_for: Duration,
    resets: bool,
    idle: RefCell<HashMap<String, Vec<Kept>>>,
}

impl Client {
    pub fn new(exec: Exec, connect: Duration, keep: usize, keep_for: Duration) -> Client {
        Client { exec, connect, keep, keep_for, resets: false, idle: RefCell::new(HashMap::new()) }
    }

    /// An exchange that is dropped resets its connection: what has not reached the peer by then never will,
    /// but for what is on its way.
    #[must_use]
    pub fn resetting(mut self) -> Client {
        self.resets = true;
        self
    }

    /// Sends a request and reads the whole answer, up to `most` bytes. `may_send` is asked when all is ready,
    /// just before the first byte goes out.
    ///
    /// # Errors
    /// See [`Failure`]. The caller bounds the time by dropping the future.
    pub async fn exchange(
        &self,
        address: &str,
        request: Request<Body>,
        most: usize,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, Failure> {
        let (response, out) = self.start(address, request, may_send).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|trouble| {
            let limit = trouble.downcast_ref::<http_body_util::LengthLimitError>().is_some();
            if limit {
                Failure::TooLarge
            } else {
                Failure::Lost
            }
        })?;
        if let Some(kept) = out.done() {
            self.give_back(address, kept);
        }
        Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    /// Sends a request whose answer is a stream without an end.
    ///
    /// # Errors
    /// As [`Client::exchange`].
    pub async fn events(&self, address: &str, request: Request<Body>) -> Result<Events, Failure> {
        let (response, out) = self.start(address, request, || true).await?;
        match out.done() {
            Some(kept) if response.status() == StatusCode::OK => {
                Ok(Events { body: response.into_body(), _kept: kept })
            }
            _ => Err(Failure::Lost),
        }
    }

    async fn start(
        &self,
        address: &str,
        request: Request<Body>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Out), Failure> {
        let mut kept = match self.ready(address).await {
            Some(kept) => kept,
            None => self.connected(address).await?,
        };
        if !may_send() {
            self.give_back(address, kept);
            return Err(Failure::NotSent);
        }
        let answered = kept.sender.send_request(request);
        let out = Out { kept: Some(kept), resets: self.resets };
        match answered.await {
            Ok(response) => Ok((response, out)),
            Err(trouble) if trouble.is_canceled() => Err(Failure::NotSent),
            Err(_) => Err(Failure::Lost),
        }
    }

    /// A kept connection that the peer has not closed since.
    async fn ready(&self, address: &str) -> Option<Kept> {
        loop {
            let mut kept = self.idle.borrow_mut().get_mut(address)?.pop()?;
            if kept.since.elapsed() < self.keep_for
                && kept.sender.ready().await.is_ok()
                && kept.sender.is_ready()
            {
                return Some(kept);
            }
        }
    }

    async fn connected(&self, address: &str) -> Result<Kept, Failure> {
        let to: SocketAddr = address.parse().map_err(|_| Failure::NoConnection)?;
        let connect = async { Some(Stream::connect(to).await) };
        let late = async {
            Timer::after(self.connect).await;
            None
        };
        let stream = match futures_lite::future::or(connect, late).await {
            Some(Ok(stream)) => stream,
            // No descriptor, no port: that tells nothing of the peer.
            Some(Err(trouble)) if own_fault(&trouble) => return Err(Failure::NotSent),
            _ => return Err(Failure::NoConnection),
        };
        _ = stream.get_ref().set_nodelay(true);
        let socket = stream.share();
        let (sender, connection) =
            handshake(FuturesIo::new(stream)).await.map_err(|_| Failure::NoConnection)?;
        let connection = self.exec.spawn(async move {
            _ = connection.await;
        });
        Ok(Kept { sender, _connection: connection, socket, since: Instant::now() })
    }

    fn give_back(&self, address: &str, mut kept: Kept) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() > 4096 {
            // Addresses that are gone for good hold nothing for ever.
            idle.retain(|_, it| it.iter().any(|it| it.since.elapsed() < self.keep_for));
        }
        let there = idle.entry(address.to_string()).or_default();
        there.retain(|it| it.since.elapsed() < self.keep_for);
        if there.len() < self.keep {
            kept.since = Instant::now();
            there.push(kept);
        }
    }
}

fn own_fault(trouble: &std::io::Error) -> bool {
    const NO_FILES: [i32; 2] = [23, 24];
    trouble.raw_os_error().is_some_and(|it| NO_FILES.contains(&it))
        || trouble.kind() == ErrorKind::AddrNotAvailable
}

/// A stream of events that is read as it comes.
pub struct Events {
    body: Incoming,
    _kept: Kept,
}

impl Events {
    /// What has come; `None` at its end, however it ended.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                return Some(data);
            }
        }
    }
}

/// A request without a body.
pub(crate) fn bare(method: Method, address: &str, path: &str) -> Request<Body> {
    let mut request = Request::new(whole(Bytes::new()));
    *request.method_mut() = method;
    // A path that is no path becomes the root, which nobody serves.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}

impl Client {
    /// A request without a body, for that address.
    pub fn request(method: Method, address: &str, path: &str) -> Request<Body> {
        bare(method, address, path)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{block_on, executor};
    use futures_lite::AsyncReadExt;
    use std::io::ErrorKind;
    use test_case::test_case;

    #[test_case(true => Some(ErrorKind::ConnectionReset); "reset, where that is asked for")]
    #[test_case(false => None; "closed otherwise")]
    fn an_exchange_that_is_dropped(resets: bool) -> Option<ErrorKind> {
        let exec = executor();
        block_on(exec.run(async {
            let listener = crate::Listener::bind(([127, 0, 0, 1], 0).into()).unwrap();
            let address = listener.get_ref().local_addr().unwrap().to_string();
            let client = Client::new(exec, Duration::from_secs(1), 4, Duration::from_secs(1));
            let client = if resets { client.resetting() } else { client };
            let request = Client::request(Method::PUT, &address, "/x");
            let asks = async {
                let late = Timer::after(Duration::from_millis(50));
                _ = futures_lite::future::or(
                    async { _ = client.exchange(&address, request, 100, || true).await },
                    late,
                )
                .await;
            };
            let accepts = async { Stream::new(listener.accept().await.unwrap().0).unwrap() };
            let (_, mut stream) = futures_lite::future::zip(asks, accepts).await;
            let mut bytes = [0; 512];
            loop {
                match stream.read(&mut bytes).await {
                    Ok(0) => return None,
                    Ok(_) => {}
                    Err(trouble) => return Some(trouble.kind()),
                }
            }
        }))
    }
}
