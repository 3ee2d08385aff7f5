//! A relay for the connections of one caller to one address, on the thread that made it.

mod carry;
mod line;
#[cfg(test)]
mod tests;

use crate::error::FaultInjectionError;
use crate::impairment::{Direction, ImpairedLink, NetworkCondition};
use carry::{carry, reset};
use futures_lite::future::{or, poll_once};
use line::Line;
use ottersail_net::{Executor, Listener, TaskGroup, Timer};
use rustix::net::listen;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

const BACKLOG: i32 = 1_024;
/// Connections that fill a queue of none.
const FILLERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(20);

/// Stands in front of an address. While a direction is cut no new connection comes about, as if its first
/// packet or the answer to that were lost; what is open goes on in the direction that is whole. Where nobody
/// listens behind it, a caller finds a connection that is reset, not one that is refused.
pub struct Relay {
    address: SocketAddr,
    line: Rc<Line>,
    /// Dropping it closes everything.
    _tasks: TaskGroup,
}

impl Relay {
    /// # Errors
    /// If no address can be had on loopback.
    pub fn start(exec: Executor, to: SocketAddr, seed: u64) -> Result<Relay, FaultInjectionError> {
        let no_address = FaultInjectionError::no_address("TCP relay");
        let listener = Listener::bind((Ipv4Addr::LOCALHOST, 0).into()).map_err(no_address)?;
        let address = listener.get_ref().local_addr().map_err(no_address)?;
        let line = Rc::new(Line {
            to,
            began: Instant::now(),
            ways: [seed, seed ^ 1].map(|it| RefCell::new(ImpairedLink::new(it))),
            version: Cell::new(0),
            waiting: RefCell::default(),
        });
        let tasks = TaskGroup::new(exec);
        let carried = TaskGroup::new(exec);
        let served = line.clone();
        tasks.spawn(async move { serve(&carried, &listener, &served).await });
        Ok(Relay { address, line, _tasks: tasks })
    }

    /// Where callers find it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_condition(&self, way: Direction, condition: NetworkCondition) {
        let mut wire = self.line.ways[way as usize].borrow_mut();
        if wire.condition() == condition {
            return;
        }
        wire.set_condition(condition);
        drop(wire);
        self.line.version.set(self.line.version.get() + 1);
        self.line.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

async fn serve(carried: &TaskGroup, listener: &Listener, line: &Rc<Line>) {
    loop {
        if line.any(|it| it.cut) {
            let fillers = shut(listener);
            line.until(|it| !it.any(|it| it.cut)).await;
            drop(fillers);
            while poll_once(listener.accept()).await.is_some_and(|it| it.is_ok()) {}
            _ = listen(listener.get_ref(), BACKLOG);
        }
        let changes = async {
            line.until(|it| it.any(|it| it.cut)).await;
            None
        };
        match or(async { Some(listener.accept().await) }, changes).await {
            Some(Ok((near, _))) if line.any(|it| it.reset) => reset(&near),
            Some(Ok((near, _))) => {
                let line = line.clone();
                carried.spawn(async move { carry(near, &line).await });
            }
            Some(Err(_)) => Timer::after(PAUSE).await,
            None => {}
        }
    }
}

/// Fills the queue of those who wait to be accepted: the system drops what else would join it, and the caller
/// tries again until its time is up.
fn shut(listener: &Listener) -> Vec<socket2::Socket> {
    let socket = listener.get_ref();
    _ = listen(socket, 0);
    let Ok(address) = socket.local_addr() else {
        return Vec::new();
    };
    let filler = |_| {
        let kind = socket2::Type::STREAM.nonblocking();
        let filler = socket2::Socket::new(socket2::Domain::IPV4, kind, None).ok()?;
        _ = filler.connect(&address.into());
        Some(filler)
    };
    (0..FILLERS).filter_map(filler).collect()
}
