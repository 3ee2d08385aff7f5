//! What the front wants, sent as errands to the cores.

use super::PlacementOwner;
use crate::post::Errand;
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{AskId, Orders, Reply, SetUp};
use std::sync::PoisonError;

/// Sends each wish to the core that sees to it.
pub(super) struct Hands<'a>(pub(super) &'a PlacementOwner);

impl Orders for Hands<'_> {
    fn set_up(&mut self, it: &SetUp) {
        let slots = self.0.slots.borrow();
        let trace = it.ask.and_then(|ask| slots.get(&ask)).map_or(String::new(), |it| it.1.clone());
        self.0.settle_at(&it.vw, it.ask);
        let vw = it.vw.to_string();
        let path =
            format!("/viewings/{vw}/{}?title={}&package={}&rung={}", it.no, it.title, it.package, it.rung.0);
        let (no, address, send_by) = (it.no, it.address.clone(), it.send_by.0);
        self.0.send(self.0.home(&it.vw), Errand::SetUp { vw, no, address, path, trace, send_by });
    }

    fn call_off(&mut self, vw: &ViewingId, no: usize, _: &ServerId, address: &str) {
        let (name, address) = (vw.to_string(), address.to_string());
        self.0.send(self.0.home(vw), Errand::CallOff { vw: name, no, address });
    }

    fn change_rung(&mut self, vw: &ViewingId, _: &ServerId, address: &str, rung: Rung) {
        let (name, address, rung) = (vw.to_string(), address.to_string(), rung.0);
        self.0.send(self.0.home(vw), Errand::ChangeRung { vw: name, address, rung });
    }

    fn let_go(&mut self, vw: &ViewingId, _: &ServerId, address: &str) {
        let (name, address) = (vw.to_string(), address.to_string());
        self.0.send(self.0.home(vw), Errand::LetGo { vw: name, address });
    }

    fn reply(&mut self, ask: AskId, reply: Reply) {
        if let Some((slot, _)) = self.0.slots.borrow_mut().remove(&ask) {
            self.0.times.answered(&reply, self.0.clock.now() - slot.began);
            *slot.reply.lock().unwrap_or_else(PoisonError::into_inner) = Some(reply);
            _ = slot.ready.try_send(());
        }
    }

    fn listen(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_of(&server), Errand::Listen { server, address });
    }

    fn hang_up(&mut self, server: &ServerId) {
        let server = server.to_string();
        self.0.send(self.0.core_of(&server), Errand::HangUp { server });
    }

    /// One that a core can't take is left to its time-out.
    fn probe(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_of(&server), Errand::Probe { server, address });
    }
}
