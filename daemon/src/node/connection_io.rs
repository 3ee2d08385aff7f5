//! One connection's talk: reads and writes, then the last word and what still comes after it.

use super::lingering::Lingering;
use super::output::{Out, Unsent};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Stream, Timer};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const PIECE: usize = 16 * 1024;
/// Pieces read in a row before others have their turn.
const IN_A_ROW: usize = 4;
const PARTING: Duration = Duration::from_millis(1_000);

/// How a conversation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The other side closed in good order.
    Closed,
    /// It broke.
    Broken,
    /// This side closed it, and the other did not in time, or was not waited for.
    Ours,
}

/// What one turn has read.
pub(crate) enum Heard<'a> {
    /// The other side may say more.
    More(&'a [u8]),
    /// The other side has closed, or the connection broke, after these bytes.
    Closed(&'a [u8]),
}

/// Reads and writes until the other side closes, something breaks, or the last word is out. What a turn reads
/// is told at once, so that a close is known before what came with it is acted on.
pub(crate) async fn converse(
    mut stream: Stream,
    out: &Out,
    mut heard: impl FnMut(Heard),
    linger: Duration,
    lingering: &Lingering,
) -> Ending {
    let mut buffer = vec![0u8; PIECE];
    let ending = poll_fn(|cx| poll_turn(&mut stream, out, &mut buffer, &mut heard, cx)).await;
    let (half_closed, overrun) = (out.borrow().half_closed, out.borrow().overrun);
    if half_closed && !overrun {
        return hear_out(stream, &mut buffer, &mut heard).await;
    }
    // What is still to be said goes out, and what still comes is read and dropped: closing on unread bytes
    // would be a reset, which may overtake the last word.
    let worth =
        |unsent: &Unsent| unsent.last && !unsent.overrun && (unsent.spoken || !unsent.bytes.is_empty());
    if !worth(&out.borrow()) {
        return ending;
    }
    if let Some(_slot) = lingering.enter() {
        let late = Timer::after(linger);
        futures_lite::future::or(drain(stream, out, &mut buffer), late).await;
    }
    ending
}

/// One turn: writes what waits, reads what has come, and tells it.
fn poll_turn(
    stream: &mut Stream,
    out: &Out,
    buffer: &mut Vec<u8>,
    heard: &mut impl FnMut(Heard),
    cx: &mut Context,
) -> Poll<Ending> {
    if let Some(ending) = write_out(stream, out, cx).ending() {
        return Poll::Ready(ending);
    }
    let (read, state) = read_turn(stream, buffer, cx);
    let bytes = &buffer[..read];
    match state {
        TurnEnd::Closed(ending) => {
            heard(Heard::Closed(bytes));
            return Poll::Ready(ending);
        }
        _ if read > 0 => heard(Heard::More(bytes)),
        _ => {}
    }
    // What was just read may have left something to say.
    if let Some(ending) = write_out(stream, out, cx).ending() {
        return Poll::Ready(ending);
    }
    if matches!(state, TurnEnd::Full) {
        cx.waker().wake_by_ref();
    }
    // Hundreds of connections must not each keep what one burst took.
    buffer.truncate(PIECE);
    buffer.shrink_to(PIECE);
    Poll::Pending
}

/// How the reading of one turn ended.
#[derive(Clone, Copy)]
enum TurnEnd {
    /// Nothing more has come yet.
    Empty,
    /// More may be there; others have their turn first.
    Full,
    Closed(Ending),
}

/// Reads until nothing more is there, for a few pieces at most; the count of bytes now in the buffer.
fn read_turn(stream: &mut Stream, buffer: &mut Vec<u8>, cx: &mut Context) -> (usize, TurnEnd) {
    let mut filled = 0;
    loop {
        if filled == buffer.len() {
            if filled >= IN_A_ROW * PIECE {
                return (filled, TurnEnd::Full);
            }
            buffer.resize(filled + PIECE, 0);
        }
        match Pin::new(&mut *stream).poll_read(cx, &mut buffer[filled..]) {
            Poll::Ready(Ok(0)) => return (filled, TurnEnd::Closed(Ending::Closed)),
            Poll::Ready(Err(_)) => return (filled, TurnEnd::Closed(Ending::Broken)),
            Poll::Ready(Ok(count)) => filled += count,
            Poll::Pending => return (filled, TurnEnd::Empty),
        }
    }
}

/// Closes this side, and hears what still comes until the other side closes, for a while.
async fn hear_out(mut stream: Stream, buffer: &mut [u8], heard: &mut impl FnMut(Heard)) -> Ending {
    _ = Pin::new(&mut stream).close().await;
    let rest = async {
        loop {
            match stream.read(buffer).await {
                Ok(0) => return Ending::Closed,
                Ok(count) => heard(Heard::More(&buffer[..count])),
                Err(_) => return Ending::Broken,
            }
        }
    };
    futures_lite::future::or(rest, async {
        Timer::after(PARTING).await;
        Ending::Ours
    })
    .await
}

/// Writes the rest, closes this side, and drops what still comes until the other side closes.
async fn drain(mut stream: Stream, out: &Out, buffer: &mut [u8]) {
    let mut ended = false;
    poll_fn(|cx| {
        if !ended {
            match write_out(&mut stream, out, cx) {
                Written::Broken => return Poll::Ready(()),
                Written::So => {}
                Written::Last => {
                    ended = true;
                    _ = Pin::new(&mut stream).poll_close(cx);
                }
            }
        }
        for _ in 0..IN_A_ROW {
            match Pin::new(&mut stream).poll_read(cx, buffer) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

enum Written {
    So,
    /// All is out, and nothing follows.
    Last,
    Broken,
}

impl Written {
    fn ending(&self) -> Option<Ending> {
        match self {
            Written::So => None,
            Written::Last => Some(Ending::Ours),
            Written::Broken => Some(Ending::Broken),
        }
    }
}

fn write_out(stream: &mut Stream, out: &Out, cx: &mut Context) -> Written {
    let mut out = out.borrow_mut();
    if out.overrun {
        return Written::Broken;
    }
    let mut sent = 0;
    while sent < out.bytes.len() {
        match Pin::new(&mut *stream).poll_write(cx, &out.bytes[sent..]) {
            Poll::Ready(Ok(count)) if count > 0 => {
                sent += count;
                out.spoken = true;
            }
            Poll::Ready(_) => return Written::Broken,
            Poll::Pending => break,
        }
    }
    out.bytes.drain(..sent);
    if out.bytes.is_empty() && out.last {
        return Written::Last;
    }
    if out.bytes.is_empty() && out.bytes.capacity() > PIECE {
        out.bytes.shrink_to(PIECE);
    }
    match &mut out.waker {
        Some(waker) => waker.clone_from(cx.waker()),
        None => out.waker = Some(cx.waker().clone()),
    }
    Written::So
}
