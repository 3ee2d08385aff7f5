//! Connections as the client holds them: kept for the next exchange, or out on one.

use crate::body::Body;
use async_executor::Task;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection on which nothing is under way.
pub(super) struct Kept {
    pub(super) sender: SendRequest<Body>,
    /// Dropping it closes the connection.
    pub(super) _connection: Task<()>,
    pub(super) socket: Arc<TcpStream>,
    pub(super) since: Instant,
}

/// A connection whose exchange is under way.
pub(super) struct Out {
    pub(super) kept: Option<Kept>,
    pub(super) resets: bool,
}

impl Out {
    pub(super) fn done(mut self) -> Option<Kept> {
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

/// A stream of events that is read as it comes.
pub struct Events {
    pub(super) body: Incoming,
    pub(super) _kept: Kept,
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
