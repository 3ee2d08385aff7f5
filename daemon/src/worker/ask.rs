//! Players' requests: each is put to the owner, and waits for its answer.

use super::Worker;
use crate::post::{News, Slot};
use ottersail_cores::{stall, Claim, Stage};
use ottersail_front::recording::FrontInput;
use ottersail_front::{Reply, RequestId};
use ottersail_net::{ConnectionHandle, Timer};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tracing::warn;

impl Worker {
    /// Puts a request to the owner and waits for its answer; if the waiting is given up, the viewer has left.
    /// `None` if another core has answered in this one's place.
    pub async fn ask(
        self: &Rc<Worker>,
        line: ConnectionHandle,
        trace: String,
        patience: f64,
        told: impl FnOnce(RequestId) -> FrontInput,
    ) -> Option<Reply> {
        self.asks.set(self.asks.get() + 1);
        let ask = RequestId(self.asks.get() * self.shared.cores.len() as u64 + self.index as u64);
        let (ready, is_ready) = async_channel::bounded(1);
        let began = self.now();
        let due = stall::fallback_deadline(began, patience);
        let (claim, reply) = (Claim::new(), Mutex::new(None));
        let slot = Arc::new(Slot { claim, reply, ready, line, began, due });
        self.core.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(ask, slot.clone());
        let guard = Waiting { worker: self, ask, slot: slot.clone() };
        let news = News::Happened { told: told(ask), slot: Some((slot.clone(), trace)) };
        let answered = async {
            _ = self.shared.news.send(news).await;
            _ = is_ready.recv().await;
        };
        let last_call = async {
            Timer::at(self.shared.clock.instant(due)).await;
        };
        futures_lite::future::or(answered, last_call).await;
        let won = slot.claim.answer();
        self.core.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&ask);
        let reply = slot.reply.lock().unwrap_or_else(PoisonError::into_inner).take();
        drop(guard);
        let stage = won?;
        self.core.answered.fetch_add(1, Ordering::Relaxed);
        Some(reply.unwrap_or_else(|| {
            let stay_away = self.shared.reach.stay_away;
            warn!(ask = ask.0, ?stage, "the owner of placement said nothing in time");
            if stage == Stage::Taken {
                // It owes nothing for it any more.
                let worker = self.clone();
                self.spawn(async move { worker.tell(FrontInput::RequestClosed { request: ask }).await });
            }
            match stage {
                Stage::Pending => Reply::Blocked { stay_away },
                Stage::Taken => Reply::Aborted { late: true },
            }
        }))
    }

    pub async fn page(&self) -> String {
        let (sender, receiver) = async_channel::bounded(1);
        _ = self.shared.news.send(News::Page(sender)).await;
        receiver.recv().await.unwrap_or_default()
    }
}

struct Waiting<'a> {
    worker: &'a Rc<Worker>,
    ask: RequestId,
    slot: Arc<Slot>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let core = &self.worker.core;
        if core.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.ask).is_none() {
            return;
        }
        // The viewer closed its connection. If the owner has taken the request, it must know; if not, it
        // never will.
        if self.slot.claim.answer() == Some(Stage::Taken) {
            let (worker, ask) = (self.worker.clone(), self.ask);
            self.worker.spawn(async move { worker.tell(FrontInput::RequestClosed { request: ask }).await });
        }
    }
}
