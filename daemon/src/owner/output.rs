//! Carries out what the front asks for, as commands to the cores and replies to requests.

use super::PlacementOwner;
use crate::messages::CoreCommand;
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{Effects, Reply, RequestId, SetUp};
use std::sync::PoisonError;

/// Sends each command to the core that is responsible for its viewing or server.
pub(super) struct CommandOutput<'a>(pub(super) &'a PlacementOwner);

impl Effects for CommandOutput<'_> {
    fn set_up(&mut self, set_up: &SetUp) {
        let requests = self.0.requests.borrow();
        let request = set_up.request.and_then(|request_id| requests.get(&request_id));
        let traceparent = request.map_or(String::new(), |request| request.traceparent.clone());
        self.0.assign_core(&set_up.viewing, set_up.request);
        let viewing = set_up.viewing.to_string();
        let path = format!(
            "/viewings/{vw}/{}?title={}&package={}&rung={}",
            set_up.tune_in,
            set_up.title,
            set_up.package,
            set_up.rung.0,
            vw = viewing
        );
        let (tune_in, address, send_by_ms) = (set_up.tune_in, set_up.address.clone(), set_up.send_by.0);
        let command = CoreCommand::SetUp { viewing, tune_in, address, path, traceparent, send_by_ms };
        self.0.send(self.0.core_of_viewing(&set_up.viewing), command);
    }

    fn cancel_set_up(&mut self, viewing: &ViewingId, tune_in: usize, _: &ServerId, address: &str) {
        let core = self.0.core_of_viewing(viewing);
        let (viewing, address) = (viewing.to_string(), address.to_string());
        self.0.send(core, CoreCommand::CancelSetUp { viewing, tune_in, address });
    }

    fn change_rung(&mut self, viewing: &ViewingId, _: &ServerId, address: &str, rung: Rung) {
        let core = self.0.core_of_viewing(viewing);
        let (viewing, address, rung) = (viewing.to_string(), address.to_string(), rung.0);
        self.0.send(core, CoreCommand::ChangeRung { viewing, address, rung });
    }

    fn end_viewing(&mut self, viewing: &ViewingId, _: &ServerId, address: &str) {
        let core = self.0.core_of_viewing(viewing);
        let (viewing, address) = (viewing.to_string(), address.to_string());
        self.0.send(core, CoreCommand::EndViewing { viewing, address });
    }

    fn reply(&mut self, request_id: RequestId, reply: Reply) {
        if let Some(request) = self.0.requests.borrow_mut().remove(&request_id) {
            let pending = request.pending;
            self.0.latencies.record_answer(&reply, self.0.clock.now() - pending.received_ms);
            *pending.reply.lock().unwrap_or_else(PoisonError::into_inner) = Some(reply);
            _ = pending.reply_ready.try_send(());
        }
    }

    fn open_notes(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_by_hash(&server), CoreCommand::OpenNoteStream { server, address });
    }

    fn close_notes(&mut self, server: &ServerId) {
        let server = server.to_string();
        self.0.send(self.0.core_by_hash(&server), CoreCommand::CloseNoteStream { server });
    }

    /// A probe that does not fit into the core's queue is dropped and counts as timed out later.
    fn probe(&mut self, server: &ServerId, address: &str) {
        let (server, address) = (server.to_string(), address.to_string());
        self.0.send(self.0.core_by_hash(&server), CoreCommand::Probe { server, address });
    }
}
