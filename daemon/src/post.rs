//! What goes between the owner of placement and the cores that hold connections.

use async_channel::{Receiver, Sender};
use ottersail_cores::{stall, Claim};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::ConnectionHandle;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// News that wait for the owner, of all cores together; a core that finds the queue full waits.
pub const MOST_NEWS: usize = 8_192;
/// Errands that wait for a core. Each set-up, call-off, step and end belongs to a viewing that is held, so
/// that a core which stands still can't be sent more than that; past this, ends are left to the servers'
/// leases.
pub const MOST_ERRANDS: usize = 262_144;

/// A request that waits for its answer.
pub struct Slot {
    pub claim: Claim,
    /// The owner's answer, for whoever gives it.
    pub reply: Mutex<Option<Reply>>,
    pub ready: Sender<()>,
    pub line: ConnectionHandle,
    /// When it came, and when it must be answered at the latest, in milliseconds since 1970.
    pub began: f64,
    pub due: f64,
}

/// To the owner.
pub enum News {
    /// Something happened; with the request that it is about, if it is one that waits.
    Happened { told: FrontInput, slot: Option<(Arc<Slot>, String)> },
    /// The page of figures is asked for.
    Page(Sender<String>),
}

/// To a core: what the front wants done at a server.
#[derive(Clone, Debug)]
pub enum Errand {
    SetUp {
        vw: String,
        no: usize,
        address: String,
        path: String,
        trace: String,
        send_by: f64,
    },
    CallOff {
        vw: String,
        no: usize,
        address: String,
    },
    ChangeRung {
        vw: String,
        address: String,
        rung: usize,
    },
    LetGo {
        vw: String,
        address: String,
    },
    Listen {
        server: String,
        address: String,
    },
    HangUp {
        server: String,
    },
    Probe {
        server: String,
        address: String,
    },
    /// For tests: the core does nothing for so long.
    StandStill {
        ms: u64,
    },
}

/// Errands that wait for a core. The owner never waits for it.
pub struct Outbox {
    queue: Mutex<VecDeque<Errand>>,
    bell: (Sender<()>, Receiver<()>),
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox { queue: Mutex::default(), bell: async_channel::bounded(1) }
    }
}

impl Outbox {
    /// False if it is full and the errand can be left undone.
    pub fn put(&self, errand: Errand) -> bool {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let can_be_left =
            matches!(errand, Errand::CallOff { .. } | Errand::LetGo { .. } | Errand::Probe { .. });
        if can_be_left && queue.len() >= MOST_ERRANDS {
            return false;
        }
        queue.push_back(errand);
        drop(queue);
        _ = self.bell.0.try_send(());
        true
    }

    /// All that wait, once there are any.
    pub async fn take(&self) -> VecDeque<Errand> {
        loop {
            let errands = std::mem::take(&mut *self.queue.lock().unwrap_or_else(PoisonError::into_inner));
            if !errands.is_empty() {
                return errands;
            }
            _ = self.bell.1.recv().await;
        }
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// What is seen of a core from the others.
#[derive(Default)]
pub struct Core {
    pub errands: Outbox,
    /// Requests that wait there.
    pub waiting: Mutex<std::collections::BTreeMap<RequestId, Arc<Slot>>>,
    pub open: std::sync::atomic::AtomicUsize,
    pub answered: AtomicU64,
    /// When it last moved, in whole milliseconds since 1970.
    moved: AtomicU64,
}

impl Core {
    pub fn moves(&self, now: f64) {
        self.moved.store(now as u64, Ordering::Release);
    }

    pub fn is_still(&self, now: f64) -> bool {
        stall::is_stalled(now, self.moved.load(Ordering::Acquire) as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn let_go(ix: usize) -> Errand {
        Errand::LetGo { vw: ix.to_string(), address: String::new() }
    }

    #[test]
    fn a_full_queue_leaves_ends_to_the_servers_and_nothing_else() {
        let outbox = Outbox::default();
        assert!((0..MOST_ERRANDS).all(|ix| outbox.put(let_go(ix))));
        assert!(!outbox.put(let_go(0)));
        let errand = Errand::ChangeRung { vw: String::new(), address: String::new(), rung: 1 };
        assert!(outbox.put(errand), "what is not an end is kept");
        assert_eq!(outbox.waiting(), MOST_ERRANDS + 1);
        let taken = ottersail_net::block_on(outbox.take());
        assert_eq!((taken.len(), outbox.waiting()), (MOST_ERRANDS + 1, 0));
        assert!(outbox.put(let_go(0)));
    }
}
