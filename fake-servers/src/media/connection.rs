//! One connection of a server: its task reads lines and writes what the server has to say.

use super::server::Server;
use futures_lite::{AsyncRead, AsyncWrite};
use ottersail_net::Stream;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::poll_fn;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

const PIECE: usize = 16 * 1024;

/// Whether the server's side of a connection works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Works,
    /// Its machine is cut off: nothing is read and nothing said.
    Quiet,
    /// Its process is no more, and nobody has told the other side: whatever comes is answered by a reset.
    Forgotten,
    /// Reset at once.
    Reset,
}

/// What is to be said on a connection, and its condition.
#[derive(Default)]
pub struct Output {
    pub bytes: Vec<u8>,
    pub condition: Condition,
    waker: Option<Waker>,
}

pub type SharedOutput = Rc<RefCell<Output>>;

pub fn say(output: &SharedOutput, line: &str) {
    let mut output = output.borrow_mut();
    output.bytes.extend_from_slice(line.as_bytes());
    output.waker.take().into_iter().for_each(Waker::wake);
}

pub fn set_condition(output: &SharedOutput, condition: Condition) {
    let mut output = output.borrow_mut();
    output.condition = condition;
    output.waker.take().into_iter().for_each(Waker::wake);
}

/// How a turn of the connection ended.
enum Turn {
    Lines(Vec<String>),
    Closed,
    Reset,
}

pub async fn serve(server: Weak<RefCell<Server>>, number: u64, stream: TcpStream, output: SharedOutput) {
    _ = stream.set_nodelay(true);
    let Ok(mut stream) = Stream::new(stream) else {
        return;
    };
    let mut input = Vec::new();
    loop {
        let turn = poll_fn(|cx| poll_turn(&mut stream, &output, &mut input, cx)).await;
        let Some(server) = server.upgrade() else {
            return;
        };
        match turn {
            Turn::Lines(lines) => server.borrow_mut().take_lines(number, &lines),
            Turn::Closed => return server.borrow_mut().connection_closed(number),
            Turn::Reset => {
                _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                return server.borrow_mut().connection_closed(number);
            }
        }
    }
}

fn poll_turn(
    stream: &mut Stream,
    output: &SharedOutput,
    input: &mut Vec<u8>,
    cx: &mut Context,
) -> Poll<Turn> {
    let mut output = output.borrow_mut();
    output.waker = Some(cx.waker().clone());
    match output.condition {
        Condition::Quiet => return Poll::Pending,
        Condition::Reset => return Poll::Ready(Turn::Reset),
        Condition::Works | Condition::Forgotten => {}
    }
    while output.condition == Condition::Works && !output.bytes.is_empty() {
        match Pin::new(&mut *stream).poll_write(cx, &output.bytes) {
            Poll::Ready(Ok(count)) if count > 0 => _ = output.bytes.drain(..count),
            Poll::Ready(_) => return Poll::Ready(Turn::Closed),
            Poll::Pending => break,
        }
    }
    let before = input.len();
    let mut piece = [0; PIECE];
    // All that has come is read in one turn.
    let end = loop {
        match Pin::new(&mut *stream).poll_read(cx, &mut piece) {
            Poll::Pending => break None,
            Poll::Ready(_) if output.condition == Condition::Forgotten => break Some(Turn::Reset),
            Poll::Ready(Ok(0) | Err(_)) => break Some(Turn::Closed),
            Poll::Ready(Ok(count)) => input.extend_from_slice(&piece[..count]),
        }
    };
    match end {
        Some(Turn::Reset) => Poll::Ready(Turn::Reset),
        // An end is read again in the next turn.
        _ if input.len() > before => Poll::Ready(Turn::Lines(take_lines(input))),
        Some(end) => Poll::Ready(end),
        None => Poll::Pending,
    }
}

fn take_lines(input: &mut Vec<u8>) -> Vec<String> {
    let mut lines = Vec::new();
    while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
        let line: Vec<u8> = input.drain(..=end).collect();
        lines.push(String::from_utf8_lossy(&line).trim_end().to_string());
    }
    lines
}
