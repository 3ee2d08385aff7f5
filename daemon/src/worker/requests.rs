//! Players' requests: passes each to the placement owner and waits for the reply.

use super::Worker;
use crate::messages::{OwnerMessage, PendingRequest, TracedRequest};
use ottersail_cores::{stall, Claim, Stage};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::{ConnectionHandle, Timer};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tracing::warn;

impl Worker {
    /// Passes a request to the owner and waits up to `patience_ms` for the reply. `event` makes the event from
    /// the request's id. Dropping the future means that the viewer has left. `None` if another core has
    /// answered in place of this one.
    pub async fn submit(
        self: &Rc<Worker>,
        connection: ConnectionHandle,
        traceparent: String,
        patience_ms: f64,
        event: impl FnOnce(RequestId) -> FrontInput,
    ) -> Option<Reply> {
        self.last_request.set(self.last_request.get() + 1);
        // The id's remainder by the number of cores is the index of the core that received the request.
        let request_id =
            RequestId(self.last_request.get() * self.shared.cores.len() as u64 + self.index as u64);
        let (reply_ready, is_ready) = async_channel::bounded(1);
        let received_ms = self.now();
        let deadline_ms = stall::fallback_deadline(received_ms, patience_ms);
        let (claim, reply) = (Claim::new(), Mutex::new(None));
        let pending =
            Arc::new(PendingRequest { claim, reply, reply_ready, connection, received_ms, deadline_ms });
        self.core
            .pending_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(request_id, pending.clone());
        let guard = RequestGuard { worker: self, request_id, pending: pending.clone() };
        let request = Some(TracedRequest { pending: pending.clone(), traceparent });
        let message = OwnerMessage::Event { event: event(request_id), request };
        let answered = async {
            _ = self.shared.owner_queue.send(message).await;
            _ = is_ready.recv().await;
        };
        let deadline = async {
            Timer::at(self.shared.clock.instant(deadline_ms)).await;
        };
        futures_lite::future::or(answered, deadline).await;
        let claimed = pending.claim.answer();
        self.core.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).remove(&request_id);
        let reply = pending.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
        drop(guard);
        let stage = claimed?;
        self.core.answered.fetch_add(1, Ordering::Relaxed);
        Some(reply.unwrap_or_else(|| {
            let stay_away = self.shared.settings.stay_away_ms;
            warn!(request = request_id.0, ?stage, "placement owner did not reply in time");
            if stage == Stage::Taken {
                // The owner has accepted the request and must stop working on it.
                let worker = self.clone();
                self.spawn(async move {
                    worker.send_event(FrontInput::RequestClosed { request: request_id }).await
                });
            }
            match stage {
                Stage::Pending => Reply::Blocked { stay_away },
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
    request_id: RequestId,
    pending: Arc<PendingRequest>,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let core = &self.worker.core;
        let mut pending_requests = core.pending_requests.lock().unwrap_or_else(PoisonError::into_inner);
        let removed = pending_requests.remove(&self.request_id);
        drop(pending_requests);
        if removed.is_none() {
            return;
        }
        // The viewer closed its connection. If the owner has accepted the request, it must be told; if not,
        // the claim keeps it from ever accepting the request.
        if self.pending.claim.answer() == Some(Stage::Taken) {
            let (worker, request_id) = (self.worker.clone(), self.request_id);
            self.worker.spawn(async move {
                worker.send_event(FrontInput::RequestClosed { request: request_id }).await
            });
        }
    }
}
