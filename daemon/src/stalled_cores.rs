//! Answers the requests of a stalled core from another core, each at most once.

use crate::messages::OwnerMessage;
use crate::service::raw_response;
use crate::worker::Shared;
use ottersail_cores::{stall, Stage};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::Timer;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tracing::warn;

/// Watches all cores but `own_index` until the process ends, and answers requests that a stalled core cannot
/// answer in time.
pub async fn watch(shared: Arc<Shared>, own_index: usize) {
    loop {
        Timer::after(Duration::from_secs_f64(stall::CHECK_INTERVAL_MS / 1e3)).await;
        let now = shared.clock.now();
        for (index, core) in shared.cores.iter().enumerate() {
            if index == own_index || !core.is_stalled(now) {
                continue;
            }
            let pending_requests: Vec<_> = {
                let all = core.pending_requests.lock().unwrap_or_else(PoisonError::into_inner);
                all.iter().map(|(request_id, pending)| (*request_id, pending.clone())).collect()
            };
            for (request_id, pending) in pending_requests {
                let has_reply = pending.reply.lock().unwrap_or_else(PoisonError::into_inner).is_some();
                if !stall::should_answer_for(now, pending.deadline_ms, has_reply) {
                    continue;
                }
                let Some(stage) = pending.claim.answer() else {
                    continue;
                };
                let reply = pending.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
                warn!(
                    core = index,
                    request = request_id.0,
                    "core is stalled; answering its request from another core"
                );
                let reply = reply.unwrap_or_else(|| reply_without_owner(&shared, request_id, stage));
                // The write fails if the client has closed its connection; it needs no answer then.
                _ = pending.connection.answer_and_close(&raw_response(reply));
            }
        }
    }
}

/// The reply to a request that the owner has not answered.
fn reply_without_owner(shared: &Shared, request_id: RequestId, stage: Stage) -> Reply {
    match stage {
        Stage::Pending => Reply::Blocked { stay_away: shared.settings.stay_away_ms },
        Stage::Taken => {
            // If the queue is full, the owner finds out later because the player stops asking.
            let event = FrontInput::RequestClosed { request: request_id };
            _ = shared.owner_queue.try_send(OwnerMessage::Event { event, request: None });
            Reply::Aborted { late: true }
        }
    }
}
