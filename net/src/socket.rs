//! Sockets that wait on the thread that made them.

use crate::reactor::{reactor, Reactor, Side, Source};
use crate::trouble::ThreadShuttingDown;
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

fn here() -> io::Result<Rc<Reactor>> {
    reactor().ok_or_else(|| io::Error::other(ThreadShuttingDown::here()))
}

/// Does it now, or waits for the next event on that side.
fn poll_io<T>(
    source: &Source,
    side: Side,
    cx: &Context,
    mut what: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        match what() {
            Err(it) if it.kind() == ErrorKind::WouldBlock => {
                source.wait_for(side, cx);
                return Poll::Pending;
            }
            Err(it) if it.kind() == ErrorKind::Interrupted => {}
            done => return Poll::Ready(done),
        }
    }
}

/// A TCP connection, read and written on one thread; the socket itself may be shared.
pub struct Stream {
    socket: Arc<TcpStream>,
    source: Source,
}

impl Stream {
    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: TcpStream) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        let source = here()?.watch(&socket)?;
        Ok(Stream { socket: Arc::new(socket), source })
    }

    /// # Errors
    /// The system's, as of `connect`.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(to),
            socket2::Type::STREAM.nonblocking(),
            Some(socket2::Protocol::TCP),
        )?;
        match socket.connect(&to.into()) {
            Err(it) if it.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(it);
            }
            _ => {}
        }
        let stream = Stream::new(socket.into())?;
        poll_fn(|cx| {
            poll_io(&stream.source, Side::Write, cx, || match stream.socket.take_error()? {
                Some(trouble) => Err(trouble),
                None => match stream.socket.peer_addr() {
                    Err(it) if it.kind() == ErrorKind::NotConnected => Err(ErrorKind::WouldBlock.into()),
                    done => done,
                },
            })
        })
        .await?;
        Ok(stream)
    }

    pub fn get_ref(&self) -> &TcpStream {
        &self.socket
    }

    /// The socket, for another thread.
    pub fn share(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.source.end(&*self.socket);
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

/// Connections that the system holds until they are accepted. A process that stands still for seconds loses
/// none of those who come meanwhile: with 128, as is usual, a rehearsed day broke some off, since a
/// connection that finds no room is tried again a second later only.
const BACKLOG: i32 = 4_096;

/// Listens, with room for those who wait to be accepted.
///
/// # Errors
/// The system's, as of `bind` and `listen`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let protocol = Some(socket2::Protocol::TCP);
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, protocol)?;
    // A manager that is started again has its address at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A socket that is listened to on one thread.
pub struct Listener {
    socket: TcpListener,
    source: Source,
}

impl Listener {
    /// # Errors
    /// The system's, as of `bind` and `listen`.
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        Listener::new(listen(address)?)
    }

    /// Listens on the calling thread.
    ///
    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let source = here()?.watch(&socket)?;
        Ok(Listener { socket, source })
    }

    /// # Errors
    /// The system's, as of `accept`.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|cx| poll_io(&self.source, Side::Read, cx, || self.socket.accept())).await
    }

    pub fn get_ref(&self) -> &TcpListener {
        &self.socket
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.source.end(&self.socket);
    }
}

/// A socket for datagrams, on one thread.
pub struct Datagrams {
    socket: UdpSocket,
    source: Source,
}

impl Datagrams {
    /// # Errors
    /// The system's, as of `bind`.
    pub fn bind(address: SocketAddr) -> io::Result<Datagrams> {
        Datagrams::new(UdpSocket::bind(address)?)
    }

    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: UdpSocket) -> io::Result<Datagrams> {
        socket.set_nonblocking(true)?;
        let source = here()?.watch(&socket)?;
        Ok(Datagrams { socket, source })
    }

    /// The next datagram: how long it is, and who sent it.
    ///
    /// # Errors
    /// The system's, as of `recvfrom`.
    pub async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| poll_io(&self.source, Side::Read, cx, || self.socket.recv_from(bytes))).await
    }

    /// Sends it or loses it, as the network might.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        _ = self.socket.send_to(bytes, to);
    }

    pub fn get_ref(&self) -> &UdpSocket {
        &self.socket
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.source.end(&self.socket);
    }
}
