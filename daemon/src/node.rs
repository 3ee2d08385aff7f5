//! `ottersail node`: one manager on the live platform. Sockets, signals and the clock round
//! `ottersail-platform`.

mod backoff;
mod channel;
mod connection_io;
mod connection_tasks;
mod figures;
mod hub;
mod lingering;
mod output;
mod shutdown;

use crate::error::NodeError;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hub::Hub;
use lingering::Lingering;
use ottersail::time::Ms;
use ottersail_net::{block_on, executor, listen, Clock, Listener, Timer};
use ottersail_platform::config::{self, Start};
use ottersail_platform::node::Node;
use output::Sockets;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tracing::{info, warn};

/// After a failed accept, or while there is no room for one more, nothing is accepted for so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts clients while there is room for them. Where each connection has a request open, the next one waits
/// in the listener's queue rather than take the descriptors kept for servers.
async fn accept(hub: Rc<Hub>, listener: Listener) {
    loop {
        while !hub.node.borrow().may_accept() {
            Timer::after(ACCEPT_PAUSE).await;
        }
        match listener.accept().await {
            Ok((stream, from)) => {
                serve_client(&hub, stream, from);
                // What it has sent already is read before the next one is accepted: a connection with a
                // request on it must not be closed as idle to make room.
                futures_lite::future::yield_now().await;
            }
            Err(error) => {
                warn!(%error, "a connection can't be accepted; see the limit on open files (ulimit -n)");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_client(hub: &Rc<Hub>, stream: TcpStream, from: SocketAddr) {
    _ = stream.set_nodelay(true);
    let from = from.ip().to_string();
    let connection_id = hub.with(|node, now, sockets| node.client_connected(now, &from, sockets));
    connection_tasks::serve_viewer(hub.clone(), connection_id, stream);
}

/// Reads the configuration. Entries of the list of servers that cannot be read are left out and logged.
fn read(path: &Path) -> Result<Start, NodeError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|cause| NodeError::Unreadable { file: file(), cause })?;
    let start = config::read(&text);
    let start = start.map_err(|error| NodeError::Config { file: file(), cause: error.to_string() })?;
    for error in &start.known.dropped {
        warn!(file = %path.display(), error = %format_args!("known: {error}"), "left out of the list of servers");
    }
    let unlogged = start.known.dropped_count - start.known.dropped.len();
    if unlogged > 0 {
        warn!(file = %path.display(), unlogged, "more is left out of the list of servers");
    }
    Ok(start)
}

/// Runs a manager; comes back after SIGTERM or SIGINT.
///
/// # Errors
/// What keeps it from starting.
pub fn run(path: PathBuf) -> Result<(), NodeError> {
    let start = read(&path)?;
    let address: SocketAddr =
        start.listen.parse().map_err(|cause| NodeError::Address { file: path.clone(), cause })?;
    let exec = executor();
    let clock = Clock::start();
    block_on(exec.run(async {
        // Before the first test can be passed: a signal that comes early must not end the program.
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
            .map_err(|cause| NodeError::Signals { cause })?;
        let (name, connect, channel) = (start.name.clone(), start.connect, start.channel.clone());
        let (longest, seed) = (start.longest, start.seed);
        let mut sockets = Sockets::default();
        let node = Node::new(Ms(clock.now()), start, &mut sockets);
        sockets.lingering = Lingering::new(node.descriptor_limits().lingering);
        let hub = Rc::new(Hub {
            exec,
            clock,
            node: RefCell::new(node),
            sockets: RefCell::new(sockets),
            channel: RefCell::new(channel),
            moved: RefCell::default(),
            turns: hub::TurnTimes::default(),
            next_timer: Cell::new(f64::INFINITY),
            timer_waker: RefCell::default(),
        });
        let serves = Rc::downgrade(&hub);
        hub.sockets.borrow_mut().dial = Some(Box::new(move |connection_id, address, out| {
            if let Some(hub) = serves.upgrade() {
                exec.spawn(connection_tasks::serve_server(hub, connection_id, address, connect, out))
                    .detach();
            }
        }));
        let listener = listen(address).and_then(Listener::new);
        let listener = listener.map_err(|cause| NodeError::Listen { address, cause })?;
        exec.spawn(hub.clone().ring()).detach();
        exec.spawn(figures::log_regularly(hub.clone())).detach();
        exec.spawn(accept(hub.clone(), listener)).detach();
        exec.spawn(channel::follow(hub.clone(), seed)).detach();
        info!(name, %address, "running");
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&hub, &path),
                Ok(_) => break,
                Err(trouble) => warn!(%trouble, "signal"),
            }
        }
        let reload = || reload(&hub, &path);
        shutdown::shut_down(&hub, &mut signals, longest, reload).await;
        Ok(())
    }))
}

/// A file that can't be read changes nothing.
fn reload(hub: &Hub, path: &Path) {
    match read(path) {
        Ok(start) => {
            info!(channel = start.channel, "the command channel is another from now on");
            *hub.channel.borrow_mut() = start.channel;
            hub.moved.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
        Err(error) => {
            warn!(%error, "the new configuration changes nothing; correct the file and send SIGHUP again");
        }
    }
}
