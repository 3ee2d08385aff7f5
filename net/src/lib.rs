//! HTTP/1.1 on smol, for one thread: a bounded server and a client with kept connections.

mod client;
mod clock;
mod nursery;
mod reactor;
#[cfg(test)]
mod reactor_tests;
mod server;
mod socket;
mod timer;

pub use client::{Answer, Client, Events, Failure};
pub use clock::Clock;
pub use nursery::Nursery;
pub use reactor::{block_on, slept};
pub use server::{accept, serve, serve_one, Accepted, Limits, Line, Server};
pub use socket::{listen, Datagrams, Listener, Stream};
pub use timer::Timer;

use async_executor::LocalExecutor;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// The executor of a thread; it lives as long as the process.
pub type Exec = &'static LocalExecutor<'static>;

pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An executor for the calling thread.
pub fn executor() -> Exec {
    Box::leak(Box::new(LocalExecutor::new()))
}

pub fn whole(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed_unsync()
}

/// A body that is sent as it comes in; it ends when the sending side is dropped. The queue holds `room`
/// pieces.
pub fn flowing(room: usize) -> (async_channel::Sender<Bytes>, Body) {
    let (sender, receiver) = async_channel::bounded::<Bytes>(room);
    let frames = futures_lite::StreamExt::map(receiver, |it| Ok(Frame::data(it)));
    (sender, StreamBody::new(frames).boxed_unsync())
}
