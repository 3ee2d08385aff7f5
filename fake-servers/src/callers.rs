//! Clients of the live platform as stand-ins: they send set-ups to session managers at a rate and write down what
//! comes back. All of them live on one thread.

mod connection;
mod load;
mod message;

use async_channel::Sender;
use ottersail_invariants::platform::ClientEvent;
use ottersail_net::{block_on, executor};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How clients behave.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// For what is drawn: gaps, classes, patience, titles.
    pub seed: u64,
    /// The classes' names, drawn evenly.
    pub classes: Vec<String>,
    /// How long clients wait for their answer.
    pub patience: Range<Duration>,
    /// Titles lie in so many cells.
    pub cells: u64,
    /// Cells that hold a title.
    pub copies: u64,
    /// The highest rung that clients ask for.
    pub top_rung: usize,
    /// Of a hundred set-ups, those given up before their time.
    pub give_up_percent: u32,
    /// Of a hundred set-ups, those sent in pieces.
    pub pieces_percent: u32,
    /// Clients' connections to one session manager.
    pub connections: usize,
}

/// What clients are told to do.
#[derive(Clone, Debug)]
pub enum CallerOrder {
    /// Set-ups go to this manager at a rate, until told otherwise.
    Load { manager: usize, address: SocketAddr, per_second: f64 },
    /// No new connections to it are made; open ones go on being used.
    OpenConnectionsOnly { manager: usize },
    /// No more set-ups to it.
    Stop { manager: usize },
}

/// All events of the clients, in their order.
#[derive(Clone, Debug, Default)]
pub struct CallerLog(Arc<Mutex<Vec<ClientEvent>>>);

impl CallerLog {
    pub(crate) fn note(&self, event: ClientEvent) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    pub fn events(&self) -> Vec<ClientEvent> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The clients of a trial. Dropping it ends them.
pub struct Callers {
    log: CallerLog,
    orders: Option<Sender<CallerOrder>>,
    thread: Option<JoinHandle<()>>,
}

impl Callers {
    pub fn start(settings: CallerSettings) -> Callers {
        let (sender, orders) = async_channel::unbounded();
        let log = CallerLog::default();
        let log_of_thread = log.clone();
        let thread = std::thread::spawn(move || {
            let exec = executor();
            block_on(exec.run(load::follow(exec, settings, log_of_thread, orders)));
        });
        Callers { log, orders: Some(sender), thread: Some(thread) }
    }

    pub fn tell(&self, order: CallerOrder) {
        if let Some(orders) = &self.orders {
            _ = orders.try_send(order);
        }
    }

    /// What the clients wrote down so far.
    pub fn log(&self) -> &CallerLog {
        &self.log
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
