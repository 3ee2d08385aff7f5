//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// A body, whole or sent as it comes in.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A body that is there already.
pub fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed_unsync()
}

/// A body that is sent as it comes in; it ends when the sending side is dropped. The queue holds `room`
/// pieces.
pub fn streaming_body(room: usize) -> (async_channel::Sender<Bytes>, Body) {
    let (sender, receiver) = async_channel::bounded::<Bytes>(room);
    let frames = futures_lite::StreamExt::map(receiver, |it| Ok(Frame::data(it)));
    (sender, StreamBody::new(frames).boxed_unsync())
}
