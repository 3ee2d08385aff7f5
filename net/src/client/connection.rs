//! Connections of the client, idle or in an exchange.

use crate::body::Body;
use async_executor::Task;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection without an exchange under way.
pub(super) struct IdleConnection {
    pub(super) sender: SendRequest<Body>,
    /// Dropping it closes the connection.
    pub(super) _connection: Task<()>,
    pub(super) socket: Arc<TcpStream>,
    pub(super) idle_since: Instant,
}

/// A connection with an exchange under way.
pub(super) struct BusyConnection {
    pub(super) connection: Option<IdleConnection>,
    /// Whether to reset the connection if the exchange is dropped.
    pub(super) resets: bool,
}

impl BusyConnection {
    pub(super) fn done(mut self) -> Option<IdleConnection> {
        self.connection.take()
    }
}

impl Drop for BusyConnection {
    /// Keeps a cancelled request from arriving later. If the connection were closed in the usual way, the
    /// system would go on sending unacknowledged data, for minutes over a link that loses packets or is cut.
    fn drop(&mut self) {
        if let Some(connection) = self.connection.as_ref().filter(|_| self.resets) {
            _ = socket2::SockRef::from(&*connection.socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// A response body that is read as it arrives.
pub struct Events {
    pub(super) body: Incoming,
    pub(super) _connection: IdleConnection,
}

impl Events {
    /// The next data; `None` once the body has ended, for whatever reason.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                return Some(data);
            }
        }
    }
}
