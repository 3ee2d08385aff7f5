//! TCP sockets that are used on the thread that created them.

use crate::error::ThreadShuttingDown;
use crate::reactor::{reactor, Reactor, Side, Source};
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

pub(crate) fn current_reactor() -> io::Result<Rc<Reactor>> {
    reactor().ok_or_else(|| io::Error::other(ThreadShuttingDown::current()))
}

/// Tries the operation, and waits for the next event on this side if it would block.
pub(crate) fn poll_io<T>(
    source: &Source,
    side: Side,
    cx: &Context,
    mut operation: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        match operation() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                source.wait_for(side, cx);
                return Poll::Pending;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return Poll::Ready(result),
        }
    }
}

/// A TCP connection, read and written on one thread; the socket itself may be shared.
pub struct Stream {
    socket: Arc<TcpStream>,
    source: Source,
}

impl Stream {
    /// Watches a connected socket on the calling thread.
    ///
    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: TcpStream) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        let source = current_reactor()?.watch(&socket)?;
        Ok(Stream { socket: Arc::new(socket), source })
    }

    /// Connects to an address.
    ///
    /// # Errors
    /// Those of `connect`.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(to),
            socket2::Type::STREAM.nonblocking(),
            Some(socket2::Protocol::TCP),
        )?;
        match socket.connect(&to.into()) {
            Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        let stream = Stream::new(socket.into())?;
        poll_fn(|cx| {
            poll_io(&stream.source, Side::Write, cx, || match stream.socket.take_error()? {
                Some(error) => Err(error),
                None => match stream.socket.peer_addr() {
                    Err(error) if error.kind() == ErrorKind::NotConnected => {
                        Err(ErrorKind::WouldBlock.into())
                    }
                    done => done,
                },
            })
        })
        .await?;
        Ok(stream)
    }

    /// The socket itself.
    pub fn get_ref(&self) -> &TcpStream {
        &self.socket
    }

    /// Returns whether the peer has closed its side or the connection has ended, also while bytes that came
    /// before are unread. The task is woken when that happens later.
    pub fn is_closed_by_peer(&self, cx: &Context) -> bool {
        self.source.wait_for(Side::Read, cx);
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&*self.socket, closed)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        rustix::event::poll(&mut polled, Some(&at_once)).is_ok() && polled[0].revents().intersects(closed)
    }

    /// The socket, for another thread.
    pub fn share(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.source.deregister(&*self.socket);
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_io(&self.source, Side::Read, cx, || (&*self.socket).read(bytes))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_io(&self.source, Side::Write, cx, || (&*self.socket).write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        poll_io(&self.source, Side::Write, cx, || (&*self.socket).write_vectored(parts))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown(Shutdown::Write))
    }
}

/// Connections that the system queues until they are accepted. With it, a process that is paused for seconds
/// loses none of those that arrive meanwhile. With the usual 128, connections were broken off in a rehearsal,
/// since a connection that finds the queue full is retried only a second later.
const BACKLOG: i32 = 4_096;

/// Opens a listening socket with a long queue of connections to accept.
///
/// # Errors
/// Those of `bind` and `listen`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let protocol = Some(socket2::Protocol::TCP);
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, protocol)?;
    // Lets a restarted manager use its address at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listening socket, used on one thread.
pub struct Listener {
    socket: TcpListener,
    source: Source,
}

impl Listener {
    /// Opens a listening socket on the calling thread, as [`listen`].
    ///
    /// # Errors
    /// Those of `bind` and `listen`.
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        Listener::new(listen(address)?)
    }

    /// Accepts connections of a listening socket on the calling thread.
    ///
    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let source = current_reactor()?.watch(&socket)?;
        Ok(Listener { socket, source })
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// Those of `accept`.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|cx| poll_io(&self.source, Side::Read, cx, || self.socket.accept())).await
    }

    /// The socket itself.
    pub fn get_ref(&self) -> &TcpListener {
        &self.socket
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.source.deregister(&self.socket);
    }
}
