//! A TCP relay between the clients of one address and that address. It runs on the thread that started it.

mod connection_path;
mod forward;
#[cfg(test)]
mod tests;

use crate::error::FaultInjectionError;
use crate::impairment::{Direction, ImpairedLink, NetworkCondition};
use connection_path::ConnectionPath;
use forward::{forward_connection, reset_on_close};
use futures_lite::future::{or, poll_once};
use ottersail_net::{Executor, Listener, TaskGroup, Timer};
use rustix::net::listen;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// Length of the listener's accept queue while neither direction is cut.
const BACKLOG: i32 = 1_024;
/// How many connections fill an accept queue whose backlog is 0.
const FILLER_CONNECTIONS: usize = 2;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Relays TCP connections to a target address, with a network condition for each direction.
///
/// While a direction is cut no new connection is established, as if the SYN or the SYN-ACK were lost; open
/// connections continue in the direction that is not cut. If nothing listens on the target address, a client's
/// connection is accepted and then reset, not refused.
pub struct Relay {
    address: SocketAddr,
    path: Rc<ConnectionPath>,
    /// The accept loop and the connections; dropping the group closes them.
    _tasks: TaskGroup,
}

impl Relay {
    /// Starts a relay to `target` on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// If no socket can be bound on loopback.
    pub fn start(exec: Executor, target: SocketAddr, seed: u64) -> Result<Relay, FaultInjectionError> {
        let no_address = FaultInjectionError::no_address("TCP relay");
        let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into()).map_err(no_address)?;
        let address = listener.get_ref().local_addr().map_err(no_address)?;
        let path = Rc::new(ConnectionPath {
            target,
            started: Instant::now(),
            links: [seed, seed ^ 1].map(|link_seed| RefCell::new(ImpairedLink::new(link_seed))),
            version: Cell::new(0),
            waiting: RefCell::default(),
        });
        let tasks = TaskGroup::new(exec);
        let connections = TaskGroup::new(exec);
        let accept_path = path.clone();
        tasks.spawn(async move { accept_connections(&connections, &listener, &accept_path).await });
        Ok(Relay { address, path, _tasks: tasks })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the condition of one direction, for open and new connections.
    pub fn set_condition(&self, direction: Direction, condition: NetworkCondition) {
        let mut link = self.path.links[direction as usize].borrow_mut();
        if link.condition() == condition {
            return;
        }
        link.set_condition(condition);
        drop(link);
        self.path.version.set(self.path.version.get() + 1);
        self.path.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

/// Accepts connections while neither direction is cut, and forwards or resets them.
async fn accept_connections(connections: &TaskGroup, listener: &Listener, path: &Rc<ConnectionPath>) {
    loop {
        if path.any_direction(|condition| condition.cut) {
            let fillers = fill_accept_queue(listener);
            path.wait_until(|path| !path.any_direction(|condition| condition.cut)).await;
            drop(fillers);
            // Empties the accept queue of the fillers and of whatever else was queued.
            while poll_once(listener.accept()).await.is_some_and(|accepted| accepted.is_ok()) {}
            _ = listen(listener.get_ref(), BACKLOG);
        }
        let cut_begins = async {
            path.wait_until(|path| path.any_direction(|condition| condition.cut)).await;
            None
        };
        match or(async { Some(listener.accept().await) }, cut_begins).await {
            Some(Ok((client, _))) if path.any_direction(|condition| condition.reset) => {
                reset_on_close(&client);
            }
            Some(Ok((client, _))) => {
                let path = path.clone();
                connections.spawn(async move { forward_connection(client, &path).await });
            }
            Some(Err(_)) => Timer::after(ACCEPT_RETRY_DELAY).await,
            None => {}
        }
    }
}

/// Fills the accept queue. The kernel drops the SYN of any further connection, and the client retransmits it
/// until it times out. Returns the sockets that occupy the queue.
fn fill_accept_queue(listener: &Listener) -> Vec<socket2::Socket> {
    let socket = listener.get_ref();
    _ = listen(socket, 0);
    let Ok(address) = socket.local_addr() else {
        return Vec::new();
    };
    let connect_filler = |_| {
        let socket_type = socket2::Type::STREAM.nonblocking();
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket_type, None).ok()?;
        _ = filler.connect(&address.into());
        Some(filler)
    };
    (0..FILLER_CONNECTIONS).filter_map(connect_filler).collect()
}
