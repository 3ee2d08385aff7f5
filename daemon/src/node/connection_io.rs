//! Input and output of one connection while it is open.

use super::final_exchange::{drain, read_until_closed};
use super::lingering::Lingering;
use super::output::{OutputBuffer, SharedOutput};
use futures_lite::{AsyncRead, AsyncWrite};
use ottersail_net::{wake_after_events, Stream, Timer};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Size of one read in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of reads in a row before other tasks have their turn.
pub(super) const CHUNKS_PER_TURN: usize = 4;

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
    /// The other side has closed; more that it sent before may be unread.
    Closing(&'a [u8]),
    /// The other side has closed or the connection broke after these bytes.
    Closed(&'a [u8]),
}

/// What the handling of received bytes leaves to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Handled {
    /// All of them are handled.
    All,
    /// Some wait for another turn, without any more bytes.
    Part,
}

/// How a connection is read and closed.
pub(crate) struct ConnectionLimits {
    /// Number of unsent bytes above which nothing more is read: the peer asks and does not read its answers.
    pub max_unsent_to_read: usize,
    /// Time for which the connection is read after the final bytes were written.
    pub linger: Duration,
}

/// Reads and writes until the other side closes, the connection breaks, or the final bytes are written. The
/// bytes of one turn are reported at once, so that a close is known before the bytes that came with it are
/// handled. No more is read before all of them are handled.
pub(crate) async fn run_connection(
    mut stream: Stream,
    output: &SharedOutput,
    mut on_received: impl FnMut(Received) -> Handled,
    limits: &ConnectionLimits,
    lingering: &Lingering,
) -> Ending {
    let mut buffer = vec![0u8; CHUNK_BYTES];
    let mut handled = Handled::All;
    let ending = poll_fn(|context| {
        poll_turn(&mut stream, output, limits, &mut buffer, &mut handled, &mut on_received, context)
    })
    .await;
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
        let timeout = Timer::after(limits.linger);
        futures_lite::future::or(drain(stream, output, &mut buffer), timeout).await;
    }
    ending
}

/// Runs one turn: writes pending output, reads available input, and reports it.
fn poll_turn(
    stream: &mut Stream,
    output: &SharedOutput,
    limits: &ConnectionLimits,
    buffer: &mut Vec<u8>,
    handled: &mut Handled,
    on_received: &mut impl FnMut(Received) -> Handled,
    context: &mut Context,
) -> Poll<Ending> {
    if let Some(ending) = write_out(stream, output, context).ending() {
        return Poll::Ready(ending);
    }
    // What the input makes this connection write is written in this turn; it needs no turn of its own.
    output.borrow_mut().waker = None;
    let is_read_slowly = || output.borrow().bytes.len() > limits.max_unsent_to_read;
    let pauses = is_read_slowly();
    let (read, state) = match handled {
        Handled::All if !pauses => read_turn(stream, buffer, context),
        _ => (0, ReadEnd::Full),
    };
    let bytes = &buffer[..read];
    *handled = match state {
        ReadEnd::Closed(ending) => {
            on_received(Received::Closed(bytes));
            return Poll::Ready(ending);
        }
        _ if pauses && stream.is_closed_by_peer(context) => {
            on_received(Received::Closed(bytes));
            return Poll::Ready(Ending::Closed);
        }
        _ if stream.is_closed_by_peer(context) => on_received(Received::Closing(bytes)),
        _ if pauses => *handled,
        _ if read > 0 || *handled == Handled::Part => on_received(Received::More(bytes)),
        _ => Handled::All,
    };
    // Handling the input may have produced output.
    if let Some(ending) = write_out(stream, output, context).ending() {
        return Poll::Ready(ending);
    }
    let has_more = matches!(state, ReadEnd::Full) || *handled == Handled::Part;
    if has_more && !is_read_slowly() {
        wake_after_events(context.waker());
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

/// Result of writing the pending output.
pub(super) enum WriteResult {
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
pub(super) fn write_out(stream: &mut Stream, output: &SharedOutput, context: &mut Context) -> WriteResult {
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
