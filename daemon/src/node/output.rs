//! Implements the node's transport on sockets, with a bounded output buffer per connection.

use super::lingering::Lingering;
use ottersail_platform::node::{ConnectionId, Transport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::Waker;

/// Maximum number of unsent bytes per connection; a peer that reads too slowly is cut off.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// Output of one connection that is not written yet.
#[derive(Default)]
pub(crate) struct OutputBuffer {
    pub bytes: Vec<u8>,
    /// The connection is closed once `bytes` is written.
    pub closing: bool,
    /// The buffer was full: the connection is cut off.
    pub overrun: bool,
    /// Input is still handled after this side has closed.
    pub half_closed: bool,
    /// The connection was closed for good after it had been half closed: it ends at once.
    pub abandoned: bool,
    /// Bytes were written, which a reset could overtake.
    pub has_written: bool,
    /// Wakes the connection's task when there is output.
    pub waker: Option<Waker>,
}

/// Output buffer shared by the node's transport and the connection's task.
pub(crate) type SharedOutput = Rc<RefCell<OutputBuffer>>;

/// Opens a connection to a server, with its id, its address if it could be parsed, and its output buffer.
pub(crate) type OpenConnection = Box<dyn Fn(ConnectionId, Option<SocketAddr>, SharedOutput)>;

/// The output buffers of all connections.
#[derive(Default)]
pub(crate) struct Sockets {
    /// Opens a connection to a server; until it is set, no connection is opened.
    pub open_connection: Option<OpenConnection>,
    /// Buffers of the connections that are not closing.
    pub outputs: BTreeMap<ConnectionId, SharedOutput>,
    /// Buffers of closing connections with bytes that are not written yet.
    closing: Vec<Weak<RefCell<OutputBuffer>>>,
    pub lingering: Lingering,
}

impl Sockets {
    /// Returns whether all output is written, including that of closing connections.
    pub fn all_written(&self) -> bool {
        let is_written = |output: &SharedOutput| output.borrow().bytes.is_empty();
        self.outputs.values().all(is_written)
            && self.closing.iter().filter_map(Weak::upgrade).all(|output| is_written(&output))
    }

    /// Appends bytes to a connection's output, unless it is closing.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(output) = self.outputs.get(&connection) else {
            return;
        };
        let mut output = output.borrow_mut();
        if output.closing {
            return;
        }
        if output.bytes.len() + bytes.len() > MAX_UNSENT_BYTES {
            output.overrun = true;
        } else {
            output.bytes.extend_from_slice(bytes);
        }
        output.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Closes a connection once its output is written.
    fn close(&mut self, connection: ConnectionId) {
        let Some(output) = self.outputs.remove(&connection) else {
            return;
        };
        let is_unsent = |output: &Weak<RefCell<OutputBuffer>>| {
            output.upgrade().is_some_and(|output| !output.borrow().bytes.is_empty())
        };
        self.closing.retain(is_unsent);
        let half_closed = output.borrow().half_closed;
        output.borrow_mut().abandoned = half_closed;
        if !output.borrow().bytes.is_empty() {
            self.closing.push(Rc::downgrade(&output));
        }
        let mut buffer = output.borrow_mut();
        buffer.closing = true;
        buffer.waker.take().into_iter().for_each(Waker::wake);
    }
}

impl Transport for Sockets {
    fn write_client(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.write(connection, bytes);
    }

    fn close_client(&mut self, connection: ConnectionId) {
        self.close(connection);
    }

    fn connect(&mut self, connection: ConnectionId, address: &str) {
        let output = SharedOutput::default();
        self.outputs.insert(connection, output.clone());
        if let Some(open_connection) = &self.open_connection {
            open_connection(connection, address.parse::<SocketAddr>().ok(), output);
        }
    }

    fn write_server(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.write(connection, bytes);
    }

    fn close_server(&mut self, connection: ConnectionId) {
        self.close(connection);
    }

    fn half_close(&mut self, connection: ConnectionId) {
        if let Some(output) = self.outputs.get(&connection) {
            let mut buffer = output.borrow_mut();
            (buffer.half_closed, buffer.closing) = (true, true);
            buffer.waker.take().into_iter().for_each(Waker::wake);
        }
    }
}
