//! Where a server listens: open, full so that new connections never come up, or closed.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

const BACKLOG: i32 = 128;

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with(address, BACKLOG)
}

fn listen_with(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// An address at which new connections never come up: the queue of those to be accepted is full, and the
/// system drops what else comes.
pub struct Unreachable {
    pub(super) listener: TcpListener,
    _filler: TcpStream,
}

impl Drop for Unreachable {
    /// Closing the listener alone would leave the address in use while another process is being started, since that
    /// holds a copy of each descriptor until it runs its own program.
    fn drop(&mut self) {
        _ = SockRef::from(&self.listener).shutdown(Shutdown::Read);
    }
}

impl Unreachable {
    pub fn at(address: SocketAddr) -> io::Result<Unreachable> {
        let listener = listen_with(address, 0)?;
        // A queue of length 0 is full with one.
        let filler = TcpStream::connect(address)?;
        Ok(Unreachable { listener, _filler: filler })
    }
}
