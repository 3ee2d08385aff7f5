//! What the front wants, sent as errands to the cores.

use super::PlacementOwner;
use crate::post::Errand;
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{Effects, Reply, RequestId, SetUp};
use std::sync::PoisonError;

/// Sends each wish to the core that sees to it.
pub(super) struct Hands<'a>(pub(super) &'a PlacementOwner);

impl Effects for Hands<'_> {
    fn set_up(&mut self, it: &SetUp) {
        let slots = self.0.slots.borrow();
        let trace = it.request.and_then(|ask| slots.get(&ask)).map_or(String::new(), |it| it.1.clone());
        self.0.settle_at(&it.viewing, it.request);
        let vw = it.viewing.to_string();
        let path = format!(
            "/viewings/{vw}/{}?title={}&package={}&rung={}",
            it.tune_in, it.title, it.package, it.rung.0
        );
        let (no, address, send_by) = (it.tune_in, it.address.clone(), it.send_by.0);
        self.0.send(self.0.home(&it.viewing), Errand::SetUp { vw, no, address, path, trace, send_by });
    }

    fn cancel_set_up(&mut self, vw: &ViewingId, no: usize, _: &ServerId, address: &str) {
        let (name, address) = (vw.to_string(), address.to_string());
        self.0.send(self.0.home(vw), Errand::CallOff { vw: name, no, address });
    }

    fn change_rung(&mut self, vw: &ViewingId, _: &ServerId, address: &str, rung: Rung) {
        let (name, address, rung) = (vw.to_string(), address.to_string(), rung.0);
        self.0.send(self.0.home(vw), Errand::ChangeRung { vw: name, address, rung });
    }

    fn end_viewing(&mut self, vw: &ViewingId, _: &ServerId, address: &str) {
        let (name, address) = (vw.to_string(), address.to_string());
        self.0.send(self.0.home(vw), Errand::LetGo { vw: name, address });
    }

    fn reply(&mut self, ask: RequestId, reply: Reply) {
        if let Some((slot, _)) = self.0.slots.borrow_mut().remove(&ask) {
            self.0.times.answered(&reply, self.0.clock.now() - slot.began);
            *slot.reply.lock().unwrap_or_else(PoisonError::into_inner) = Some(reply);
            _ = slot.ready.try_send(());
        }
    }

    fn open_notes(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_of(&server), Errand::Listen { server, address });
    }

    fn close_notes(&mut self, server: &ServerId) {
        let server = server.to_string();
        self.0.send(self.0.core_of(&server), Errand::HangUp { server });
    }

    /// One that a core can't take is left to its time-out.
    fn probe(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_of(&server), Errand::Probe { server, address });
    }
}
