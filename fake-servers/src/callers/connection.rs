//! One connection of clients to a session manager.

use super::message::Message;
use super::CallerLog;
use futures_lite::{AsyncRead, AsyncWrite};
use ottersail_invariants::platform::ClientEvent;
use ottersail_net::{Stream, Timer};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A reset comes at once over loopback.
const RESET_WITHIN: Duration = Duration::from_millis(5);
const PIECE: usize = 16 * 1024;

/// What a connection has to say and what is open on it.
#[derive(Default)]
pub struct Line {
    bytes: Vec<u8>,
    /// Events that count once all bytes are written.
    once_written: Vec<ClientEvent>,
    /// Set-ups without an answer.
    pub open: BTreeSet<String>,
    pub ended: bool,
    /// A session that began on it may still play, and be released on it.
    pub has_sessions: bool,
    /// A message is sent in pieces: nothing else goes out between them.
    pub in_pieces: bool,
    close: bool,
    waker: Option<Waker>,
}

pub type SharedLine = Rc<RefCell<Line>>;

impl Line {
    pub fn say(&mut self, bytes: &[u8], once_written: Option<ClientEvent>) {
        self.bytes.extend_from_slice(bytes);
        self.once_written.extend(once_written);
        self.wake();
    }

    /// Closes it, whatever is open on it.
    pub fn close(&mut self) {
        self.close = true;
        self.wake();
    }

    fn wake(&mut self) {
        self.waker.take().into_iter().for_each(Waker::wake);
    }
}

/// Carries what is said both ways until the connection ends.
pub async fn serve(mut stream: Stream, line: SharedLine, log: CallerLog) {
    _ = stream.get_ref().set_nodelay(true);
    let mut input = Vec::new();
    let (at, reset) = loop {
        match poll_fn(|cx| poll_turn(&mut stream, &line, &mut input, &log, cx)).await {
            Turn::Messages(messages) => messages.iter().for_each(|message| take(&line, &log, message)),
            Turn::Ended { reset } => {
                line.borrow_mut().ended = true;
                break (Instant::now(), reset || is_reset_after_close(&stream).await);
            }
        }
    };
    let mut line = line.borrow_mut();
    for session in std::mem::take(&mut line.open) {
        log.note(if line.close {
            ClientEvent::GaveUp { at, session }
        } else {
            ClientEvent::Disconnected { at, session, reset }
        });
    }
}

/// What was written as the other side closed is answered by a reset, unless it had been read.
async fn is_reset_after_close(stream: &Stream) -> bool {
    Timer::after(RESET_WITHIN).await;
    !matches!(stream.get_ref().take_error(), Ok(None))
}

fn take(line: &SharedLine, log: &CallerLog, message: &Message) {
    let (at, session) = (Instant::now(), message.session().to_string());
    if message.is_release() {
        log.note(ClientEvent::Released { at, session });
    } else if let Some(status) = message.final_status() {
        line.borrow_mut().open.remove(&session);
        line.borrow_mut().has_sessions |= status == 200;
        log.note(ClientEvent::Answer { at, session, status, body: message.body.clone() });
    }
}

/// What came in a turn.
enum Turn {
    Messages(Vec<Message>),
    Ended { reset: bool },
}

fn poll_turn(
    stream: &mut Stream,
    line: &SharedLine,
    input: &mut Vec<u8>,
    log: &CallerLog,
    cx: &mut Context,
) -> Poll<Turn> {
    let mut line = line.borrow_mut();
    line.waker = Some(cx.waker().clone());
    if line.close {
        return Poll::Ready(Turn::Ended { reset: false });
    }
    while !line.bytes.is_empty() {
        match Pin::new(&mut *stream).poll_write(cx, &line.bytes) {
            Poll::Ready(Ok(count)) if count > 0 => _ = line.bytes.drain(..count),
            Poll::Ready(_) => return Poll::Ready(Turn::Ended { reset: true }),
            Poll::Pending => break,
        }
    }
    if line.bytes.is_empty() {
        line.once_written.drain(..).for_each(|event| log.note(written_now(event)));
    }
    let mut piece = [0; PIECE];
    match Pin::new(stream).poll_read(cx, &mut piece) {
        Poll::Pending => Poll::Pending,
        Poll::Ready(Ok(0)) => Poll::Ready(Turn::Ended { reset: false }),
        Poll::Ready(Err(_)) => Poll::Ready(Turn::Ended { reset: true }),
        Poll::Ready(Ok(count)) => {
            input.extend_from_slice(&piece[..count]);
            Poll::Ready(Turn::Messages(std::iter::from_fn(|| Message::take(input)).collect()))
        }
    }
}

/// A set-up's time runs from its last byte.
fn written_now(event: ClientEvent) -> ClientEvent {
    match event {
        ClientEvent::SetUp { manager, session, class, patience, .. } => {
            ClientEvent::SetUp { at: Instant::now(), manager, session, class, patience }
        }
        other => other,
    }
}
