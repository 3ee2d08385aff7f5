//! Players' requests: passes each to the placement owner and waits for the reply.

use super::Worker;
use crate::messages::{OwnerMessage, PendingRequest, TracedRequest};
use ottersail_cores::{vigil, Claim, Stage};
use ottersail_front::tape::Told;
use ottersail_front::{AskId, Reply};
use ottersail_net::{Line, Timer};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tracing::warn;

impl Worker {
    /// Passes a request to the owner and waits up to `patience_ms` for the reply. `event` makes the event from
    /// the request's id. Dropping the future means that the viewer has left. `None` if another core has
    /// answered in place of this one.
    pub async fn ask(
        self: &Rc<Worker>,
        connection: Line,
        traceparent: String,
        patience_ms: f64,
        event: impl FnOnce(AskId) -> Told,
    ) -> Option<Reply> {
        self.last_ask.set(self.last_ask.get() + 1);
        // The id's remainder by the number of cores is the index of the core that received the request.
        let ask = AskId(self.last_ask.get() * self.shared.cores.len() as u64 + self.index as u64);
        let (reply_ready, is_ready) = async_channel::bounded(1);
        let received_ms = self.now();
        let deadline_ms = vigil::last_call(received_ms, patience_ms);
        let (claim, reply) = (Claim::new(), Mutex::new(None));
        let pending =
            Arc::new(PendingRequest { claim, reply, reply_ready, connection, received_ms, deadline_ms });
        self.core
            .pending_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(ask, pending.clone());
        let guard = RequestGuard { worker: self, ask, pending: pending.clone() };
        let request = Some(TracedRequest { pending: pending.clone(), traceparent });
        let message = OwnerMessage::Event { event: event(ask), request };
        let answered = async {
            _ = self.shared.owner_queue.send(message).await;
            _ = is_ready.recv().await;
        };
        let deadline = async {
            Timer::at(self.shared.clock.instant(deadline_ms)).await;
        };
        futures_lite::future::or(answered, deadline).await;
        let claimed = pending.claim.answer();
        self.core.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).remove(&ask);
        let reply = pending.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
        drop(guard);
        let stage = claimed?;
        self.core.answered.fetch_add(1, Ordering::Relaxed);
        Some(reply.unwrap_or_else(|| {
            let stay_away = self.shared.settings.stay_away_ms;
            warn!(ask = ask.0, ?stage, "placement owner did not reply in time");
            if stage == Stage::Taken {
                // The owner has accepted the request and must stop working on it.
                let worker = self.clone();
                self.spawn(async move { worker.send_event(Told::Left { ask }).await });
            }
            match stage {
                Stage::Put => Reply::Blocked { stay_away },
                Stage::Taken => Reply::Aborted { late: true },
            }
        }))
    }

    /// Asks the owner for the metrics page.
    pub async fn metrics(&self) -> String {
        let (sender, receiver) = async_channel::bounded(1);
        _ = self.shared.owner_queue.send(OwnerMessage::Metrics(sender)).await;
        receiver.recv().await.unwrap_or_default()
    }
}

/// Withdraws a request when the future that handles it is dropped before it has an answer.
struct RequestGuard<'a> {
    worker: &'a Rc<Worker>,
    ask: AskId,
    pending: Arc<PendingRequest>,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let core = &self.worker.core;
        let mut pending_requests = core.pending_requests.lock().unwrap_or_else(PoisonError::into_inner);
        let removed = pending_requests.remove(&self.ask);
        drop(pending_requests);
        if removed.is_none() {
            return;
        }
        // The viewer closed its connection. If the owner has accepted the request, it must be told; if not,
        // the claim keeps it from ever accepting the request.
        if self.pending.claim.answer() == Some(Stage::Taken) {
            let (worker, ask) = (self.worker.clone(), self.ask);
            self.worker.spawn(async move { worker.send_event(Told::Left { ask }).await });
        }
    }
}
