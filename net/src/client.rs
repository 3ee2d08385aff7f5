//! An HTTP client that reuses connections.

mod connection;
mod failure;
#[cfg(test)]
mod tests;

pub use connection::Events;
pub use failure::Failure;

use crate::body::{full_body, Body};
use crate::executor::Executor;
use crate::socket::Stream;
use crate::timer::Timer;
use bytes::Bytes;
use connection::{BusyConnection, IdleConnection};
use failure::is_local;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Addresses with idle connections above which expired ones are removed.
const MAX_IDLE_ADDRESSES: usize = 4096;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An HTTP client. Connections are kept for the next exchange with the same address; dropping an exchange
/// closes its connection.
pub struct Client {
    executor: Executor,
    connect_timeout: Duration,
    /// Idle connections that are kept to one address.
    max_idle: usize,
    /// How long an idle connection is kept.
    idle_timeout: Duration,
    resets: bool,
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl Client {
    /// A client without connections. It keeps up to `max_idle` connections to each address, for
    /// `idle_timeout`.
    pub fn new(
        executor: Executor,
        connect_timeout: Duration,
        max_idle: usize,
        idle_timeout: Duration,
    ) -> Client {
        let idle = RefCell::new(HashMap::new());
        Client { executor, connect_timeout, max_idle, idle_timeout, resets: false, idle }
    }

    /// Lets the client reset the connection of an exchange that is dropped: data that has not been sent to
    /// the server by then is never sent.
    #[must_use]
    pub fn resetting(mut self) -> Client {
        self.resets = true;
        self
    }

    /// Sends a request and reads the complete response, with a body of up to `most` bytes. `may_send` is
    /// asked once the connection is ready, just before the first byte is sent.
    ///
    /// # Errors
    /// See [`Failure`]. The caller limits the time by dropping the future.
    pub async fn exchange(
        &self,
        address: &str,
        request: Request<Body>,
        most: usize,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, Failure> {
        let (response, busy) = self.start(address, request, may_send).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|error| {
            let too_large = error.downcast_ref::<http_body_util::LengthLimitError>().is_some();
            if too_large {
                Failure::TooLarge { address: address.into(), most }
            } else {
                Failure::lost(address)
            }
        })?;
        if let Some(connection) = busy.done() {
            self.keep(address, connection);
        }
        Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    /// Sends a request whose response body is an endless stream.
    ///
    /// # Errors
    /// As [`Client::exchange`].
    pub async fn events(&self, address: &str, request: Request<Body>) -> Result<Events, Failure> {
        let (response, busy) = self.start(address, request, || true).await?;
        match busy.done() {
            Some(connection) if response.status() == StatusCode::OK => {
                Ok(Events { body: response.into_body(), _connection: connection })
            }
            _ => Err(Failure::lost(address)),
        }
    }

    async fn start(
        &self,
        address: &str,
        request: Request<Body>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, BusyConnection), Failure> {
        let mut connection = match self.idle_connection(address).await {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        if !may_send() {
            self.keep(address, connection);
            return Err(Failure::not_sent(address));
        }
        let response = connection.sender.send_request(request);
        let busy = BusyConnection { connection: Some(connection), resets: self.resets };
        match response.await {
            Ok(response) => Ok((response, busy)),
            Err(error) if error.is_canceled() => Err(Failure::not_sent(address)),
            Err(_) => Err(Failure::lost(address)),
        }
    }

    /// An idle connection that the server has not closed.
    async fn idle_connection(&self, address: &str) -> Option<IdleConnection> {
        loop {
            let mut connection = self.idle.borrow_mut().get_mut(address)?.pop()?;
            if connection.idle_since.elapsed() < self.idle_timeout
                && connection.sender.ready().await.is_ok()
                && connection.sender.is_ready()
            {
                return Some(connection);
            }
        }
    }

    async fn connect(&self, address: &str) -> Result<IdleConnection, Failure> {
        let to: SocketAddr = address.parse().map_err(|_| Failure::no_connection(address))?;
        let connect = async { Some(Stream::connect(to).await) };
        let timeout = async {
            Timer::after(self.connect_timeout).await;
            None
        };
        let stream = match futures_lite::future::or(connect, timeout).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if is_local(&error) => return Err(Failure::not_sent(address)),
            _ => return Err(Failure::no_connection(address)),
        };
        _ = stream.get_ref().set_nodelay(true);
        let socket = stream.share();
        let (sender, connection) =
            handshake(FuturesIo::new(stream)).await.map_err(|_| Failure::no_connection(address))?;
        let connection = self.executor.spawn(async move {
            _ = connection.await;
        });
        Ok(IdleConnection { sender, _connection: connection, socket, idle_since: Instant::now() })
    }

    fn keep(&self, address: &str, mut connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        let fresh = |connection: &IdleConnection| connection.idle_since.elapsed() < self.idle_timeout;
        if idle.len() > MAX_IDLE_ADDRESSES {
            // Addresses that are no longer used would otherwise keep their entries for ever.
            idle.retain(|_, connections| connections.iter().any(fresh));
        }
        let same_address = idle.entry(address.to_string()).or_default();
        same_address.retain(fresh);
        if same_address.len() < self.max_idle {
            connection.idle_since = Instant::now();
            same_address.push(connection);
        }
    }

    /// A request without a body to this address.
    pub fn request(method: Method, address: &str, path: &str) -> Request<Body> {
        let mut request = Request::new(full_body(Bytes::new()));
        *request.method_mut() = method;
        // An invalid path becomes the root, which no server serves.
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = address.parse() {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        request
    }
}
