//! Input and output of one connection: reading and writing, and the final exchange when it is closed.

use super::lingering::Lingering;
use super::output::{OutputBuffer, SharedOutput};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Stream, Timer};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Size of one read in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of reads in a row before other tasks have their turn.
const CHUNKS_PER_TURN: usize = 4;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The other side closed it in good order.
    Closed,
    /// The connection broke.
    Broken,
    /// This side closed it, and the other side was not waited for.
    ClosedHere,
}

/// Bytes that one turn has read.
pub(crate) enum Received<'a> {
    /// The other side may send more.
    More(&'a [u8]),
    /// The other side has closed or the connection broke after these bytes.
    Closed(&'a [u8]),
}

/// Reads and writes until the other side closes, the connection breaks, or the final bytes are written. The
/// bytes of one turn are reported at once, so that a close is known before the bytes that came with it are
/// handled.
pub(crate) async fn run_connection(
    mut stream: Stream,
    output: &SharedOutput,
    mut on_received: impl FnMut(Received),
    linger: Duration,
    lingering: &Lingering,
) -> Ending {
    let mut buffer = vec![0u8; CHUNK_BYTES];
    let ending =
        poll_fn(|context| poll_turn(&mut stream, output, &mut buffer, &mut on_received, context)).await;
    let half_closed = output.borrow().half_closed;
    if half_closed && ending == Ending::ClosedHere {
        return read_until_closed(stream, output, &mut buffer, &mut on_received).await;
    }
    // The remaining output is written, and further input is read and dropped: a close with unread input would
    // send a reset, which may overtake the final bytes.
    let should_linger = |output: &OutputBuffer| {
        output.closing && !output.overrun && (output.has_written || !output.bytes.is_empty())
    };
    if !should_linger(&output.borrow()) {
        return ending;
    }
    if let Some(_slot) = lingering.enter() {
        let timeout = Timer::after(linger);
        futures_lite::future::or(drain(stream, output, &mut buffer), timeout).await;
    }
    ending
}

/// Runs one turn: writes pending output, reads available input, and reports it.
fn poll_turn(
    stream: &mut Stream,
    output: &SharedOutput,
    buffer: &mut Vec<u8>,
    on_received: &mut impl FnMut(Received),
    context: &mut Context,
) -> Poll<Ending> {
    if let Some(ending) = write_out(stream, output, context).ending() {
        return Poll::Ready(ending);
    }
    let (read, state) = read_turn(stream, buffer, context);
    let bytes = &buffer[..read];
    match state {
        ReadEnd::Closed(ending) => {
            on_received(Received::Closed(bytes));
            return Poll::Ready(ending);
        }
        _ if read > 0 => on_received(Received::More(bytes)),
        _ => {}
    }
    // Handling the input may have produced output.
    if let Some(ending) = write_out(stream, output, context).ending() {
        return Poll::Ready(ending);
    }
    if matches!(state, ReadEnd::Full) {
        context.waker().wake_by_ref();
    }
    // Hundreds of connections must not each keep the memory of one burst.
    buffer.truncate(CHUNK_BYTES);
    buffer.shrink_to(CHUNK_BYTES);
    Poll::Pending
}

/// How the reading of one turn ended.
#[derive(Clone, Copy)]
enum ReadEnd {
    /// No more input is available yet.
    Empty,
    /// More input may be available; other tasks have their turn first.
    Full,
    /// The connection has ended.
    Closed(Ending),
}

/// Reads the available input, up to a few chunks; returns the number of bytes in the buffer.
fn read_turn(stream: &mut Stream, buffer: &mut Vec<u8>, context: &mut Context) -> (usize, ReadEnd) {
    let mut filled = 0;
    loop {
        if filled == buffer.len() {
            if filled >= CHUNKS_PER_TURN * CHUNK_BYTES {
                return (filled, ReadEnd::Full);
            }
            buffer.resize(filled + CHUNK_BYTES, 0);
        }
        match Pin::new(&mut *stream).poll_read(context, &mut buffer[filled..]) {
            Poll::Ready(Ok(0)) => return (filled, ReadEnd::Closed(Ending::Closed)),
            Poll::Ready(Err(_)) => return (filled, ReadEnd::Closed(Ending::Broken)),
            Poll::Ready(Ok(count)) => filled += count,
            Poll::Pending => return (filled, ReadEnd::Empty),
        }
    }
}

/// Closes this side, and reports further input until the other side closes or the connection is abandoned.
async fn read_until_closed(
    mut stream: Stream,
    output: &SharedOutput,
    buffer: &mut [u8],
    on_received: &mut impl FnMut(Received),
) -> Ending {
    _ = Pin::new(&mut stream).close().await;
    let read_all = async {
        loop {
            match stream.read(buffer).await {
                Ok(0) => return Ending::Closed,
                Ok(count) => on_received(Received::More(&buffer[..count])),
                Err(_) => return Ending::Broken,
            }
        }
    };
    let abandoned = poll_fn(|context| {
        let mut output = output.borrow_mut();
        if output.abandoned {
            return Poll::Ready(Ending::ClosedHere);
        }
        output.waker = Some(context.waker().clone());
        Poll::Pending
    });
    futures_lite::future::or(read_all, abandoned).await
}

/// Writes the remaining output, closes this side, and drops further input until the other side closes.
async fn drain(mut stream: Stream, output: &SharedOutput, buffer: &mut [u8]) {
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
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Result of writing the pending output.
enum WriteResult {
    /// The connection stays open; output may be left.
    Open,
    /// All output is written, and nothing follows.
    Finished,
    /// The connection broke, or its peer was too slow.
    Broken,
}

impl WriteResult {
    /// Returns how the connection ended, if it did.
    fn ending(&self) -> Option<Ending> {
        match self {
            WriteResult::Open => None,
            WriteResult::Finished => Some(Ending::ClosedHere),
            WriteResult::Broken => Some(Ending::Broken),
        }
    }
}

/// Writes as much of the pending output as the socket takes.
fn write_out(stream: &mut Stream, output: &SharedOutput, context: &mut Context) -> WriteResult {
    let mut output = output.borrow_mut();
    if output.overrun {
        return WriteResult::Broken;
    }
    let mut sent = 0;
    while sent < output.bytes.len() {
        match Pin::new(&mut *stream).poll_write(context, &output.bytes[sent..]) {
            Poll::Ready(Ok(count)) if count > 0 => {
                sent += count;
                output.has_written = true;
            }
            Poll::Ready(_) => return WriteResult::Broken,
            Poll::Pending => break,
        }
    }
    output.bytes.drain(..sent);
    if output.abandoned && !output.bytes.is_empty() {
        return WriteResult::Broken;
    }
    if output.bytes.is_empty() && output.closing {
        return WriteResult::Finished;
    }
    if output.bytes.is_empty() && output.bytes.capacity() > CHUNK_BYTES {
        output.bytes.shrink_to(CHUNK_BYTES);
    }
    match &mut output.waker {
        Some(waker) => waker.clone_from(context.waker()),
        None => output.waker = Some(context.waker().clone()),
    }
    WriteResult::Open
}
