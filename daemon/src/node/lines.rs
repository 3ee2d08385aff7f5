//! The connections of a manager: each has one task, which reads and writes, and a bounded buffer of what is to be said.

use super::Hub;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ottersail::time::Ms;
use ottersail_net::{Exec, Stream, Timer};
use ottersail_platform::node::{LineNo, Lost, Wires};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// What waits to be written to one peer; one that reads no more than this behind is cut off.
const MOST_UNSENT: usize = 256 * 1024;
const PIECE: usize = 16 * 1024;
/// Pieces read in a row before others have their turn.
const IN_A_ROW: usize = 4;
/// After the last word a connection is read for so long, so that the word is not lost to a reset: a viewer may still be
/// sending what was refused at its head. A server's may go on for ever, and is read for a moment only.
const LINGER: Duration = Duration::from_millis(2_500);
const LINGER_AT_SERVER: Duration = Duration::from_millis(300);
const PARTING: Duration = Duration::from_millis(1_000);
/// So many linger at once; others are closed at once, since each holds a descriptor.
const MOST_LINGERING: usize = 24;

#[derive(Default)]
struct Unsent {
    bytes: Vec<u8>,
    /// Nothing more is said once this is out.
    last: bool,
    overrun: bool,
    /// After the last word what comes still counts.
    parting: bool,
    /// Something was written, which a reset could overtake.
    spoken: bool,
    waker: Option<Waker>,
}

type Out = Rc<RefCell<Unsent>>;

/// What the node wants, carried out.
pub(crate) struct Sockets {
    exec: Exec,
    connect: Ms,
    pub hub: Weak<Hub>,
    outs: BTreeMap<LineNo, Out>,
    lingering: Rc<Cell<usize>>,
}

impl Sockets {
    pub fn new(exec: Exec, connect: Ms) -> Sockets {
        Sockets { exec, connect, hub: Weak::new(), outs: BTreeMap::new(), lingering: Rc::default() }
    }

    pub fn all_out(&self) -> bool {
        self.outs.values().all(|it| it.borrow().bytes.is_empty())
    }

    fn say(&mut self, line: LineNo, bytes: &[u8]) {
        let Some(out) = self.outs.get(&line) else {
            return;
        };
        let mut out = out.borrow_mut();
        if out.last {
            return;
        }
        if out.bytes.len() + bytes.len() > MOST_UNSENT {
            out.overrun = true;
        } else {
            out.bytes.extend_from_slice(bytes);
        }
        out.waker.take().into_iter().for_each(Waker::wake);
    }

    fn last(&mut self, line: LineNo) {
        if let Some(out) = self.outs.remove(&line) {
            let mut out = out.borrow_mut();
            out.last = true;
            out.waker.take().into_iter().for_each(Waker::wake);
        }
    }
}

impl Wires for Sockets {
    fn to_viewer(&mut self, line: LineNo, bytes: &[u8]) {
        self.say(line, bytes);
    }

    fn end_viewer(&mut self, line: LineNo) {
        self.last(line);
    }

    fn dial(&mut self, line: LineNo, address: &str) {
        let out = Out::default();
        self.outs.insert(line, out.clone());
        let Some(hub) = self.hub.upgrade() else {
            return;
        };
        let (address, connect) = (address.parse::<SocketAddr>().ok(), self.connect);
        self.exec.spawn(serve_server(hub, line, address, connect, out)).detach();
    }

    fn to_server(&mut self, line: LineNo, bytes: &[u8]) {
        self.say(line, bytes);
    }

    fn hang_up(&mut self, line: LineNo) {
        self.last(line);
    }

    fn part(&mut self, line: LineNo) {
        if let Some(out) = self.outs.get(&line) {
            out.borrow_mut().parting = true;
        }
        self.last(line);
    }
}

pub(crate) fn serve_viewer(hub: Rc<Hub>, no: LineNo, stream: TcpStream) {
    let out = Out::default();
    hub.sockets.borrow_mut().outs.insert(no, out.clone());
    hub.exec
        .spawn(async move {
            if let Ok(stream) = Stream::new(stream) {
                let said = |bytes: &[u8]| {
                    hub.with(|node, now, sockets| node.viewer_said(now, no, bytes, sockets));
                };
                let lingering = hub.sockets.borrow().lingering.clone();
                converse(stream, &out, said, LINGER, &lingering).await;
            }
            hub.sockets.borrow_mut().outs.remove(&no);
            hub.with(|node, now, sockets| node.viewer_left(now, no, sockets));
        })
        .detach();
}

async fn serve_server(hub: Rc<Hub>, no: LineNo, address: Option<SocketAddr>, connect: Ms, out: Out) {
    let how = match dialed(address, connect, &out).await {
        Ok(stream) => {
            _ = stream.get_ref().set_nodelay(true);
            hub.with(|node, now, sockets| node.server_up(now, no, sockets));
            let said = |bytes: &[u8]| {
                hub.with(|node, now, sockets| node.server_said(now, no, bytes, sockets));
            };
            let lingering = hub.sockets.borrow().lingering.clone();
            converse(stream, &out, said, LINGER_AT_SERVER, &lingering).await;
            Lost::Broken
        }
        Err(how) => how,
    };
    hub.sockets.borrow_mut().outs.remove(&no);
    hub.with(|node, now, sockets| node.server_lost(now, no, how, sockets));
}

async fn dialed(address: Option<SocketAddr>, connect: Ms, out: &Out) -> Result<Stream, Lost> {
    let address = address.ok_or(Lost::NeverUp)?;
    let up = async {
        Stream::connect(address).await.map_err(|trouble| match trouble.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Lost::Refused,
            ErrorKind::AddrNotAvailable => Lost::OwnFault,
            _ if matches!(trouble.raw_os_error(), Some(23 | 24)) => Lost::OwnFault,
            _ => Lost::NeverUp,
        })
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(connect.0.max(1.0) / 1e3)).await;
        Err(Lost::NeverUp)
    };
    // Hung up before it came up: nobody waits for it.
    let off = poll_fn(|cx| {
        let mut out = out.borrow_mut();
        if out.last {
            return Poll::Ready(Err(Lost::NeverUp));
        }
        out.waker = Some(cx.waker().clone());
        Poll::Pending
    });
    futures_lite::future::or(up, futures_lite::future::or(late, off)).await
}

/// Reads and writes until the other side closes, something breaks, or the last word is out.
async fn converse(
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
    // What is still to be said goes out, and what still comes is read and dropped: closing on unread bytes would be a
    // reset, which may overtake the last word.
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
