//! Bodies of requests and responses.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// A body that is either complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A body that is complete from the start.
pub fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed_unsync()
}

/// A body that is sent as its pieces arrive; it ends when the sender is dropped. The queue holds `capacity`
/// pieces.
pub fn streaming_body(capacity: usize) -> (async_channel::Sender<Bytes>, Body) {
    let (sender, receiver) = async_channel::bounded::<Bytes>(capacity);
    let frames = futures_lite::StreamExt::map(receiver, |bytes| Ok(Frame::data(bytes)));
    (sender, StreamBody::new(frames).boxed_unsync())
}
