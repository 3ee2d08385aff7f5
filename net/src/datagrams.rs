//! UDP sockets that are used on the thread that created them.

use crate::reactor::{Side, Source};
use crate::socket::{current_reactor, poll_io};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A UDP socket, used on one thread.
pub struct Datagrams {
    socket: UdpSocket,
    source: Source,
}

impl Datagrams {
    /// Opens a socket at this address.
    ///
    /// # Errors
    /// Those of `bind`.
    pub fn bind(address: SocketAddr) -> io::Result<Datagrams> {
        Datagrams::new(UdpSocket::bind(address)?)
    }

    /// Watches a socket on the calling thread.
    ///
    /// # Errors
    /// If the system can't watch it.
    pub fn new(socket: UdpSocket) -> io::Result<Datagrams> {
        socket.set_nonblocking(true)?;
        let source = current_reactor()?.watch(&socket)?;
        Ok(Datagrams { socket, source })
    }

    /// Receives the next datagram; returns its length and its sender.
    ///
    /// # Errors
    /// Those of `recvfrom`.
    pub async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| poll_io(&self.source, Side::Read, cx, || self.socket.recv_from(bytes))).await
    }

    /// Sends a datagram. Errors are ignored, as a loss on the network would be.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        _ = self.socket.send_to(bytes, to);
    }

    /// The socket itself.
    pub fn get_ref(&self) -> &UdpSocket {
        &self.socket
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.source.deregister(&self.socket);
    }
}
