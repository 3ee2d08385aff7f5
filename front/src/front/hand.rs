//! What the decisions say is carried out here, while they are being told something.

use super::desk::Desk;
use super::owed::{Alarm, PROBE_TIMEOUT};
use crate::effects::{Effects, Reply};
use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, ServerId, TimerTag, ViewingId};
use ottersail::time::Ms;
use tracing::info;

/// Through this the module speaks, while it is being told something.
pub(super) struct Hand<'a> {
    pub(super) desk: &'a mut Desk,
    pub(super) out: &'a mut dyn Effects,
}

impl PlacementActions for Hand<'_> {
    fn tune_in(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms) {
        self.desk.relay(vw, server, time_out, self.out);
    }

    fn step_to(&mut self, vw: &ViewingId, rung: Rung) {
        self.desk.step_to(vw, rung, self.out);
    }

    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>) {
        self.desk.counts.blocked += 1;
        info!(viewing = %vw, cause = "no room or no server that may take it", "blocked");
        self.desk.finish(vw, Reply::Blocked { stay_away: stay_away.map(|it| it.0) }, self.out);
    }

    fn abort(&mut self, vw: &ViewingId) {
        let late = self.desk.seats.get(vw).is_some_and(|it| it.late);
        self.desk.counts.aborted += 1;
        info!(viewing = %vw, cause = if late { "no answer in time" } else { "set-ups failed" }, "aborted");
        self.desk.finish(vw, Reply::Aborted { late }, self.out);
    }

    fn schedule(&mut self, tag: TimerTag, at: Ms) {
        self.desk.timers.set(Alarm::Bell(tag.0, at), at);
    }

    /// The list is always asked for.
    fn subscribe(&mut self) {}

    /// Its end is told in any case, and never from in here: without an address at the next moment.
    fn probe(&mut self, server: &ServerId) {
        if !self.desk.probes.insert(server.clone()) {
            return;
        }
        self.desk.counts.probes += 1;
        let address = self.desk.addresses.get(server);
        let until = self.desk.now + address.map_or(Ms(0.0), |_| PROBE_TIMEOUT);
        if let Some(address) = address {
            self.out.probe(server, address);
        }
        self.desk.timers.set(Alarm::Probe(server.clone()), until);
    }
}
