//! One connection's talk: reads and writes, then the last word and what still comes after it.

use super::sockets::{Out, Unsent};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail_net::{Stream, Timer};
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const PIECE: usize = 16 * 1024;
/// Pieces read in a row before others have their turn.
const IN_A_ROW: usize = 4;
const PARTING: Duration = Duration::from_millis(1_000);
/// So many linger at once; others are closed at once, since each holds a descriptor.
const MOST_LINGERING: usize = 24;

/// Reads and writes until the other side closes, something breaks, or the last word is out.
pub(crate) async fn converse(
    mut stream: Stream,
    out: &Out,
    mut said: impl FnMut(&[u8]),
    linger: Duration,
    lingering: &Cell<usize>,
) {
    let mut piece = vec![0u8; PIECE];
    poll_fn(|cx| {
        for _ in 0..IN_A_ROW {
            let wrote = write_out(&mut stream, out, cx);
            match wrote {
                Written::Broken => return Poll::Ready(()),
                Written::Last => return Poll::Ready(()),
                Written::So => {}
            }
            match Pin::new(&mut stream).poll_read(cx, &mut piece) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(count)) => said(&piece[..count]),
                Poll::Pending => {
                    // What was just read may have left something to say.
                    return match write_out(&mut stream, out, cx) {
                        Written::So => Poll::Pending,
                        _ => Poll::Ready(()),
                    };
                }
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
    if out.borrow().parting && !out.borrow().overrun {
        _ = Pin::new(&mut stream).close().await;
        let rest = async {
            while let Ok(count) = stream.read(&mut piece).await {
                if count == 0 {
                    break;
                }
                said(&piece[..count]);
            }
        };
        futures_lite::future::or(rest, async {
            Timer::after(PARTING).await;
        })
        .await;
        return;
    }
    // What is still to be said goes out, and what still comes is read and dropped: closing on unread bytes
    // would be a reset, which may overtake the last word.
    let worth = |it: &Unsent| it.last && !it.overrun && (it.spoken || !it.bytes.is_empty());
    if worth(&out.borrow()) && lingering.get() < MOST_LINGERING {
        lingering.set(lingering.get() + 1);
        let mut ended = false;
        let drain = poll_fn(|cx| {
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
                match Pin::new(&mut stream).poll_read(cx, &mut piece) {
                    Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                    Poll::Ready(Ok(_)) => {}
                    Poll::Pending => return Poll::Pending,
                }
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        });
        futures_lite::future::or(drain, async {
            Timer::after(linger).await;
        })
        .await;
        lingering.set(lingering.get() - 1);
    }
}

enum Written {
    So,
    /// All is out, and nothing follows.
    Last,
    Broken,
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
