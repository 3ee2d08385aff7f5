//! A core that stands still: its requests are answered by another, once each, as far as that can be done.

use crate::post::News;
use crate::service::raw;
use crate::worker::Shared;
use ottersail_cores::{stall, Stage};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::Timer;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tracing::warn;

/// Watches all other cores for ever.
pub async fn watch(shared: Arc<Shared>, me: usize) {
    loop {
        Timer::after(Duration::from_secs_f64(stall::CHECK_INTERVAL_MS / 1e3)).await;
        let now = shared.clock.now();
        for (index, core) in shared.cores.iter().enumerate() {
            if index == me || !core.is_still(now) {
                continue;
            }
            let waiting: Vec<_> = {
                let all = core.waiting.lock().unwrap_or_else(PoisonError::into_inner);
                all.iter().map(|(ask, slot)| (*ask, slot.clone())).collect()
            };
            for (ask, slot) in waiting {
                let has_reply = slot.reply.lock().unwrap_or_else(PoisonError::into_inner).is_some();
                if !stall::should_answer_for(now, slot.due, has_reply) {
                    continue;
                }
                let Some(stage) = slot.claim.answer() else {
                    continue;
                };
                let reply = slot.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
                warn!(core = index, ask = ask.0, "a core stands still; answered in its place");
                let reply = reply.unwrap_or_else(|| in_place(&shared, ask, stage));
                // A client that has gone needs no answer.
                _ = slot.line.answer_and_close(&raw(reply));
            }
        }
    }
}

/// The owner has said nothing: what can be said without it.
fn in_place(shared: &Shared, ask: RequestId, stage: Stage) -> Reply {
    match stage {
        Stage::Pending => Reply::Blocked { stay_away: shared.reach.stay_away },
        Stage::Taken => {
            // Should the queue be full, the viewer's silence tells the owner later.
            _ = shared
                .news
                .try_send(News::Happened { told: FrontInput::RequestClosed { request: ask }, slot: None });
            Reply::Aborted { late: true }
        }
    }
}
