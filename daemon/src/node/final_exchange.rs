//! The final exchange of a connection that this side closes: what is left to write, and what still comes.

use super::connection_io::{write_out, Ending, Handled, Received, WriteResult, CHUNKS_PER_TURN};
use super::output::SharedOutput;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};
use ottersail_net::{wake_after_events, Stream};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// Closes this side, and reports further input until the other side closes or the connection is abandoned.
pub(super) async fn read_until_closed(
    mut stream: Stream,
    output: &SharedOutput,
    buffer: &mut [u8],
    on_received: &mut impl FnMut(Received) -> Handled,
) -> Ending {
    _ = Pin::new(&mut stream).close().await;
    poll_fn(|context| {
        if output.borrow().abandoned {
            return Poll::Ready(Ending::ClosedHere);
        }
        output.borrow_mut().waker = Some(context.waker().clone());
        match Pin::new(&mut stream).poll_read(context, buffer) {
            Poll::Ready(Ok(0)) => return Poll::Ready(Ending::Closed),
            Poll::Ready(Ok(count)) => {
                on_received(Received::More(&buffer[..count]));
            }
            Poll::Ready(Err(_)) => return Poll::Ready(Ending::Broken),
            Poll::Pending => return Poll::Pending,
        }
        wake_after_events(context.waker());
        Poll::Pending
    })
    .await
}

/// Writes the remaining output, closes this side, and drops further input until the other side closes.
pub(super) async fn drain(mut stream: Stream, output: &SharedOutput, buffer: &mut [u8]) {
    let mut closed = false;
    poll_fn(|context| {
        if !closed {
            match write_out(&mut stream, output, context) {
                WriteResult::Broken => return Poll::Ready(()),
                WriteResult::Open => {}
                WriteResult::Finished => {
                    closed = true;
                    _ = Pin::new(&mut stream).poll_close(context);
                }
            }
        }
        for _ in 0..CHUNKS_PER_TURN {
            match Pin::new(&mut stream).poll_read(context, buffer) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
        wake_after_events(context.waker());
        Poll::Pending
    })
    .await;
}
