//! The messages between the placement owner and the cores that hold connections, and the state of a core
//! that the other threads read.

use async_channel::{Receiver, Sender};
use ottersail_cores::{stall, Claim};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::ConnectionHandle;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Capacity of the queue of messages from all cores to the placement owner. A core that finds it full waits.
pub const OWNER_QUEUE_CAPACITY: usize = 8_192;
/// Commands that may wait for one core before those that can be skipped are dropped. Each set-up,
/// cancellation, rung change and end belongs to a viewing that is held, so a stalled core cannot be sent more
/// than this. Ends that are dropped are left to the servers' leases.
pub const CORE_QUEUE_LIMIT: usize = 262_144;

/// A player's request that waits for its answer.
pub struct PendingRequest {
    /// Decides which thread may answer the request.
    pub claim: Claim,
    /// The owner's reply, for the thread that answers.
    pub reply: Mutex<Option<Reply>>,
    /// Notifies the task that handles the request once `reply` is set.
    pub reply_ready: Sender<()>,
    /// The player's connection.
    pub connection: ConnectionHandle,
    /// When the request arrived, in milliseconds since 1970.
    pub received_ms: f64,
    /// When the request must be answered at the latest, in milliseconds since 1970.
    pub deadline_ms: f64,
}

/// A pending request together with its `traceparent` header, which is empty if it had none.
pub struct TracedRequest {
    pub pending: Arc<PendingRequest>,
    pub traceparent: String,
}

/// A message to the placement owner.
pub enum OwnerMessage {
    /// An event for the front, with the pending request that it belongs to, if any.
    Event { event: FrontInput, request: Option<TracedRequest> },
    /// Asks for the metrics page.
    Metrics(Sender<String>),
}

/// A command to a core: a request of the front to a server.
#[derive(Clone, Debug)]
pub enum CoreCommand {
    /// Sends a set-up to a server.
    SetUp {
        viewing: String,
        /// Number of the tune-in within its viewing.
        tune_in: usize,
        address: String,
        path: String,
        traceparent: String,
        /// The set-up is not sent after this time, in milliseconds since 1970.
        send_by_ms: f64,
    },
    /// Stops a set-up and tells the server that its viewing is not wanted.
    CancelSetUp {
        viewing: String,
        /// Number of the tune-in within its viewing.
        tune_in: usize,
        address: String,
    },
    /// Changes the rung of a viewing that plays.
    ChangeRung { viewing: String, address: String, rung: usize },
    /// Ends a viewing at its server.
    EndViewing { viewing: String, address: String },
    /// Opens a server's stream of notes.
    OpenNoteStream { server: String, address: String },
    /// Closes a server's stream of notes.
    CloseNoteStream { server: String },
    /// Asks a server for its load.
    Probe { server: String, address: String },
    /// For tests: blocks the core's thread for so many milliseconds.
    Stall { ms: u64 },
}

/// The commands that wait for one core. Pushing never blocks the owner.
pub struct CommandQueue {
    queue: Mutex<VecDeque<CoreCommand>>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Default for CommandQueue {
    fn default() -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        CommandQueue { queue: Mutex::default(), wake_sender, wake_receiver }
    }
}

impl CommandQueue {
    /// Adds a command. Returns false, and drops the command, if the queue is full and the command can be
    /// skipped.
    pub fn push(&self, command: CoreCommand) -> bool {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let can_be_skipped = matches!(
            command,
            CoreCommand::CancelSetUp { .. } | CoreCommand::EndViewing { .. } | CoreCommand::Probe { .. }
        );
        if can_be_skipped && queue.len() >= CORE_QUEUE_LIMIT {
            return false;
        }
        queue.push_back(command);
        drop(queue);
        _ = self.wake_sender.try_send(());
        true
    }

    /// Waits until there is a command, then takes all.
    pub async fn take_all(&self) -> VecDeque<CoreCommand> {
        loop {
            let commands = std::mem::take(&mut *self.queue.lock().unwrap_or_else(PoisonError::into_inner));
            if !commands.is_empty() {
                return commands;
            }
            _ = self.wake_receiver.recv().await;
        }
    }

    /// The number of commands that wait.
    pub fn count(&self) -> usize {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// The state of a core that other threads read and write.
#[derive(Default)]
pub struct CoreState {
    pub commands: CommandQueue,
    /// Requests that were received by this core and are not answered yet.
    pub pending_requests: Mutex<BTreeMap<RequestId, Arc<PendingRequest>>>,
    /// Connections to players that this core holds.
    pub open_connections: AtomicUsize,
    /// Requests that this core has answered.
    pub answered: AtomicU64,
    /// The core's last heartbeat, in whole milliseconds since 1970.
    last_heartbeat_ms: AtomicU64,
}

impl CoreState {
    /// Records that the core runs; `now` in milliseconds since 1970.
    pub fn record_heartbeat(&self, now: f64) {
        self.last_heartbeat_ms.store(now as u64, Ordering::Release);
    }

    /// Whether the core's last heartbeat is too old; `now` in milliseconds since 1970.
    pub fn is_stalled(&self, now: f64) -> bool {
        stall::is_stalled(now, self.last_heartbeat_ms.load(Ordering::Acquire) as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn end_viewing(index: usize) -> CoreCommand {
        CoreCommand::EndViewing { viewing: index.to_string(), address: String::new() }
    }

    #[test]
    fn a_full_queue_drops_ends_and_keeps_rung_changes() {
        let commands = CommandQueue::default();
        assert!((0..CORE_QUEUE_LIMIT).all(|index| commands.push(end_viewing(index))));
        assert!(!commands.push(end_viewing(0)));
        let rung_change = CoreCommand::ChangeRung { viewing: String::new(), address: String::new(), rung: 1 };
        assert!(commands.push(rung_change), "a rung change is never dropped");
        assert_eq!(commands.count(), CORE_QUEUE_LIMIT + 1);
        let taken = ottersail_net::block_on(commands.take_all());
        assert_eq!((taken.len(), commands.count()), (CORE_QUEUE_LIMIT + 1, 0));
        assert!(commands.push(end_viewing(0)));
    }
}
