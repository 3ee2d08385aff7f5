//! Where a server listens: open, full so that new connections never come up, or closed.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

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
    _listener: TcpListener,
    _filler: TcpStream,
}

impl Unreachable {
    pub fn at(address: SocketAddr) -> io::Result<Unreachable> {
        let listener = listen_with(address, 0)?;
        // A queue of length 0 is full with one.
        let filler = TcpStream::connect(address)?;
        Ok(Unreachable { _listener: listener, _filler: filler })
    }
}
