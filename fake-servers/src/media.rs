//! Video servers of the live platform as stand-ins: thousands of them on one thread, each at a loopback address
//! of its own. They speak JSON lines, can vanish, come back, crash and start anew, and write down when a
//! session began and ended with them.

mod connection;
mod listening;
mod network;
mod reach;
mod record;
mod server;
mod sessions;

use async_channel::Sender;
pub use network::LoopbackNetwork;
use ottersail_net::{block_on, executor, Timer};
pub use record::MediaLog;
use serde_json::{json, Value};
use server::Server;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What is due at a server is looked for so often.
const TICK: Duration = Duration::from_millis(10);

/// How the servers of a fleet behave.
#[derive(Clone, Debug)]
pub struct MediaSettings {
    pub servers: usize,
    /// For the lengths of sessions; equal seeds give equal lengths to equal sessions.
    pub seed: u64,
    /// How long a session plays before its server ends it.
    pub life: Range<Duration>,
    /// A session's server sends a note so often; never, if it is zero.
    pub note_every: Duration,
}

/// What servers are told to do, by their numbers.
#[derive(Clone, Debug)]
pub enum MediaOrder {
    /// Cut off: open connections stay open and quiet, new ones never come up.
    Vanish(Vec<usize>),
    /// Reachable again, as it was.
    Reappear(Vec<usize>),
    /// Its machine dies without a word: as `Vanish`, and its sessions are over.
    Die(Vec<usize>),
    /// A new process answers where a machine died.
    ReturnRestarted(Vec<usize>),
    /// The process dies: its connections are reset, its sessions cut, new connections refused.
    Crash(Vec<usize>),
    /// A new process listens where one crashed.
    Restart(Vec<usize>),
}

/// A fleet of servers. Dropping it ends them.
pub struct MediaFleet {
    settings: MediaSettings,
    network: LoopbackNetwork,
    log: MediaLog,
    orders: Option<Sender<MediaOrder>>,
    thread: Option<JoinHandle<()>>,
}

impl MediaFleet {
    /// Starts the servers, and comes back once all of them listen.
    ///
    /// # Errors
    /// The system's, if an address can't be listened at.
    pub fn start(settings: MediaSettings) -> std::io::Result<MediaFleet> {
        let network = LoopbackNetwork::claim()?;
        let addresses: Vec<SocketAddr> = (0..settings.servers).map(|server| network.server(server)).collect();
        let (sender, orders) = async_channel::unbounded();
        let (ready, started) = std::sync::mpsc::channel();
        let log = MediaLog::default();
        let (of_thread, log_of_thread) = (settings.clone(), log.clone());
        let thread = std::thread::spawn(move || {
            let exec = executor();
            block_on(exec.run(async {
                let servers: std::io::Result<Vec<Rc<RefCell<Server>>>> = addresses
                    .iter()
                    .enumerate()
                    .map(|(at, address)| Server::start(exec, at, *address, &of_thread, &log_of_thread))
                    .collect();
                let servers = match servers {
                    Ok(servers) => servers,
                    Err(error) => {
                        _ = ready.send(Err(error));
                        return;
                    }
                };
                _ = ready.send(Ok(()));
                exec.spawn(tick(servers.clone())).detach();
                while let Ok(order) = orders.recv().await {
                    carry_out(&servers, order);
                }
                // Their addresses are free for the next fleet of this process.
                servers.iter().for_each(|server| server.borrow_mut().stop_listening());
            }));
        });
        started.recv().unwrap_or_else(|_| Err(std::io::Error::other("the servers' thread ended")))?;
        Ok(MediaFleet { settings, network, log, orders: Some(sender), thread: Some(thread) })
    }

    /// The name of a server in the list.
    pub fn name(&self, server: usize) -> String {
        format!("s-{server:08x}")
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.network.server(server)
    }

    /// Where the session manager listens that these servers serve.
    pub fn manager_address(&self) -> SocketAddr {
        self.network.manager()
    }

    /// A server's entry in the list, of a start at `born_ms` (Unix milliseconds, 0 for one from before).
    pub fn listed(&self, server: usize, health: &str, born_ms: u64) -> Value {
        json!({ "host": self.name(server), "dial": self.address(server).to_string(), "site": "z", "class": "k",
            "block": server, "share": 1, "health": health, "born_ms": born_ms })
    }

    /// The whole list, all ready.
    pub fn list(&self) -> Vec<Value> {
        (0..self.settings.servers).map(|server| self.listed(server, "ready", 0)).collect()
    }

    pub fn tell(&self, order: MediaOrder) {
        if let Some(orders) = &self.orders {
            _ = orders.try_send(order);
        }
    }

    /// What the servers wrote down so far.
    pub fn log(&self) -> &MediaLog {
        &self.log
    }
}

impl Drop for MediaFleet {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

async fn tick(servers: Vec<Rc<RefCell<Server>>>) {
    loop {
        Timer::after(TICK).await;
        for server in &servers {
            server.borrow_mut().run_timers();
        }
    }
}

type Act = fn(&Rc<RefCell<Server>>);

fn carry_out(servers: &[Rc<RefCell<Server>>], order: MediaOrder) {
    let (which, act): (Vec<usize>, Act) = match order {
        MediaOrder::Vanish(which) => (which, Server::vanish),
        MediaOrder::Die(which) => (which, Server::die),
        MediaOrder::Reappear(which) => (which, Server::reappear),
        MediaOrder::ReturnRestarted(which) => (which, Server::return_restarted),
        MediaOrder::Crash(which) => (which, Server::crash),
        MediaOrder::Restart(which) => (which, Server::restart),
    };
    which.iter().filter_map(|at| servers.get(*at)).for_each(act);
}

#[cfg(test)]
mod tests;
