//! Carries out the actions of the decisions.

use super::state::FrontState;
use super::viewing::{TimerKey, PROBE_TIMEOUT};
use crate::effects::{Effects, Reply};
use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, ServerId, TimerTag, ViewingId};
use ottersail::time::Ms;
use tracing::info;

/// Carries out each action at once, during the call that delivers an input to the decisions.
pub(super) struct ActionHandler<'a> {
    pub(super) state: &'a mut FrontState,
    pub(super) effects: &'a mut dyn Effects,
}

impl PlacementActions for ActionHandler<'_> {
    fn tune_in(&mut self, id: &ViewingId, server: &ServerId, time_out: Ms) {
        self.state.send_set_up(id, server, time_out, self.effects);
    }

    fn step_to(&mut self, id: &ViewingId, rung: Rung) {
        self.state.step_to(id, rung, self.effects);
    }

    fn shed(&mut self, id: &ViewingId, stay_away: Option<Ms>) {
        self.state.counts.blocked += 1;
        info!(viewing = %id, cause = "no room or no eligible server", "blocked");
        self.state.finish(id, Reply::Blocked { stay_away: stay_away.map(|span| span.0) }, self.effects);
    }

    fn abort(&mut self, id: &ViewingId) {
        let late = self.state.viewings.get(id).is_some_and(|viewing| viewing.timed_out);
        self.state.counts.aborted += 1;
        info!(viewing = %id, cause = if late { "no answer in time" } else { "set-ups failed" }, "aborted");
        self.state.finish(id, Reply::Aborted { late }, self.effects);
    }

    fn schedule(&mut self, tag: TimerTag, at: Ms) {
        self.state.timers.set(TimerKey::Decision(tag.0, at), at);
    }

    /// Does nothing: the list is always requested.
    fn subscribe(&mut self) {}

    /// The result is never delivered from within this call: without an address the probe fails by a timer
    /// that is due at once.
    fn probe(&mut self, server: &ServerId) {
        if !self.state.probes.insert(server.clone()) {
            return;
        }
        self.state.counts.probes += 1;
        let address = self.state.addresses.get(server);
        let until = self.state.now + address.map_or(Ms(0.0), |_| PROBE_TIMEOUT);
        if let Some(address) = address {
            self.effects.probe(server, address);
        }
        self.state.timers.set(TimerKey::Probe(server.clone()), until);
    }
}
