//! A client that keeps its connections.

mod failure;
mod kept;
#[cfg(test)]
mod tests;

pub use failure::Failure;
pub use kept::Events;

use crate::body::{full_body, Body};
use crate::exec::Executor;
use crate::socket::Stream;
use crate::timer::Timer;
use bytes::Bytes;
use failure::own_fault;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use kept::{Kept, Out};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Connections are kept for the next exchange with the same address; dropping an exchange closes its own.
pub struct Client {
    exec: Executor,
    connect: Duration,
    /// Idle connections kept to one address, and for how long.
    keep: usize,
    keep_for: Duration,
    resets: bool,
    idle: RefCell<HashMap<String, Vec<Kept>>>,
}

impl Client {
    pub fn new(exec: Executor, connect: Duration, keep: usize, keep_for: Duration) -> Client {
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
                Failure::TooLarge { address: address.into(), most }
            } else {
                Failure::lost(address)
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
            _ => Err(Failure::lost(address)),
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
            return Err(Failure::not_sent(address));
        }
        let answered = kept.sender.send_request(request);
        let out = Out { kept: Some(kept), resets: self.resets };
        match answered.await {
            Ok(response) => Ok((response, out)),
            Err(trouble) if trouble.is_canceled() => Err(Failure::not_sent(address)),
            Err(_) => Err(Failure::lost(address)),
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
        let to: SocketAddr = address.parse().map_err(|_| Failure::no_connection(address))?;
        let connect = async { Some(Stream::connect(to).await) };
        let late = async {
            Timer::after(self.connect).await;
            None
        };
        let stream = match futures_lite::future::or(connect, late).await {
            Some(Ok(stream)) => stream,
            Some(Err(trouble)) if own_fault(&trouble) => return Err(Failure::not_sent(address)),
            _ => return Err(Failure::no_connection(address)),
        };
        _ = stream.get_ref().set_nodelay(true);
        let socket = stream.share();
        let (sender, connection) =
            handshake(FuturesIo::new(stream)).await.map_err(|_| Failure::no_connection(address))?;
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

    /// A request without a body, for that address.
    pub fn request(method: Method, address: &str, path: &str) -> Request<Body> {
        bare(method, address, path)
    }
}

/// A request without a body.
pub(crate) fn bare(method: Method, address: &str, path: &str) -> Request<Body> {
    let mut request = Request::new(full_body(Bytes::new()));
    *request.method_mut() = method;
    // A path that is no path becomes the root, which nobody serves.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = address.parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}
