//! `ottersail node`: runs one manager on the live platform. Provides sockets, signals and the clock for
//! `ottersail-platform`.

mod backoff;
mod channel;
mod connection_io;
mod connection_tasks;
mod figures;
mod final_exchange;
mod hub;
mod late_requests;
mod lingering;
mod output;
mod shutdown;

use crate::error::NodeError;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hub::Hub;
use lingering::Lingering;
use ottersail::time::Ms;
use ottersail_net::{block_on, listen, Clock, Listener, Timer};
use ottersail_platform::config::{self, ManagerConfig};
use ottersail_platform::node::Node;
use output::Sockets;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tracing::{info, warn};

/// Pause after a failed accept, or while there is no room for one more connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts clients while there is room for them. If each connection has an open request, the next one waits
/// in the listener's queue, so that it does not take the descriptors kept for servers.
async fn accept(hub: Rc<Hub>, listener: Listener) {
    loop {
        while !hub.node.borrow().can_accept() {
            Timer::after(ACCEPT_PAUSE).await;
        }
        match listener.accept().await {
            Ok((stream, client_address)) => {
                serve_client(&hub, stream, client_address);
                // What the client has sent already is read before the next connection is accepted: a
                // connection with a request on it must not be closed as idle to make room.
                futures_lite::future::yield_now().await;
            }
            Err(error) => {
                warn!(%error, "cannot accept a connection; check the limit on open files (ulimit -n)");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_client(hub: &Rc<Hub>, stream: TcpStream, client_address: SocketAddr) {
    _ = stream.set_nodelay(true);
    let client_ip = client_address.ip().to_string();
    let connection_id = hub.with_node(|node, now, sockets| node.client_connected(now, &client_ip, sockets));
    connection_tasks::serve_client(hub.clone(), connection_id, stream);
}

/// Reads the configuration. Entries of the server list that cannot be read are dropped and logged.
fn read_config(path: &Path) -> Result<ManagerConfig, NodeError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|cause| NodeError::Unreadable { file: file(), cause })?;
    let config = config::read(&text);
    let config = config.map_err(|error| NodeError::Config { file: file(), cause: error.to_string() })?;
    for error in &config.initial_events.dropped {
        warn!(file = %path.display(), error = %format_args!("known: {error}"), "an entry of the initial server list is dropped");
    }
    let unlogged = config.initial_events.dropped_count - config.initial_events.dropped.len();
    if unlogged > 0 {
        warn!(file = %path.display(), unlogged, "further entries of the initial server list are dropped");
    }
    Ok(config)
}

/// Runs a manager until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the manager cannot start.
pub fn run(path: PathBuf) -> Result<(), NodeError> {
    let config = read_config(&path)?;
    let address: SocketAddr =
        config.listen_address.parse().map_err(|cause| NodeError::Address { file: path.clone(), cause })?;
    let executor = ottersail_net::executor();
    let clock = Clock::start();
    block_on(executor.run(async {
        // Signals are registered before the first `OPTIONS` request can be answered: an early signal must not
        // end the program.
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
            .map_err(|cause| NodeError::Signals { cause })?;
        let (name, connect_timeout, channel) =
            (config.name.clone(), config.connect_timeout, config.channel_address.clone());
        let (longest_patience, seed) = (config.longest_patience, config.seed);
        let mut sockets = Sockets::default();
        let node = Node::new(Ms(clock.now()), config, &mut sockets);
        sockets.lingering = Lingering::new(node.descriptor_limits().lingering);
        let hub = Rc::new(Hub {
            executor,
            clock,
            node: RefCell::new(node),
            sockets: RefCell::new(sockets),
            channel: RefCell::new(channel),
            channel_changed: RefCell::default(),
            turn_times: hub::TurnTimes::default(),
            next_timer: Cell::new(f64::INFINITY),
            timer_waker: RefCell::default(),
        });
        let weak_hub = Rc::downgrade(&hub);
        hub.sockets.borrow_mut().open_connection = Some(Box::new(move |connection_id, address, output| {
            if let Some(hub) = weak_hub.upgrade() {
                executor
                    .spawn(connection_tasks::serve_server(
                        hub,
                        connection_id,
                        address,
                        connect_timeout,
                        output,
                    ))
                    .detach();
            }
        }));
        let listener = listen(address).and_then(Listener::new);
        let listener = listener.map_err(|cause| NodeError::Listen { address, cause })?;
        executor.spawn(hub.clone().run_timers()).detach();
        executor.spawn(figures::log_regularly(hub.clone())).detach();
        executor.spawn(accept(hub.clone(), listener)).detach();
        executor.spawn(channel::follow(hub.clone(), seed)).detach();
        info!(name, %address, "running");
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&hub, &path),
                Ok(_) => break,
                Err(error) => warn!(%error, "cannot receive signals"),
            }
        }
        let reload = || reload(&hub, &path);
        shutdown::shut_down(&hub, &mut signals, longest_patience, reload).await;
        Ok(())
    }))
}

/// Reads the configuration again and applies its channel address. An invalid file changes nothing.
fn reload(hub: &Hub, path: &Path) {
    match read_config(path) {
        Ok(config) => {
            info!(channel = config.channel_address, "the command channel is another from now on");
            *hub.channel.borrow_mut() = config.channel_address;
            hub.channel_changed.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
        Err(error) => {
            warn!(%error, "the new configuration changes nothing; correct the file and send SIGHUP again");
        }
    }
}
