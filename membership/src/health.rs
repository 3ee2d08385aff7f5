//! Local health (Lifeguard): who fails to hear may be at fault himself.

use crate::machine::Members;
use crate::view::{Change, Effects};
use ottersail::time::Ms;

const WORST: u32 = 8;

impl Members {
    /// How much longer everything is waited for than when all is well.
    pub(crate) fn patience(&self) -> f64 {
        f64::from(1 + self.health)
    }

    pub(crate) fn stretched(&self) -> Ms {
        self.terms.probe_period * self.patience()
    }

    pub(crate) fn worse(&mut self, by: u32) {
        self.health = (self.health + by).min(WORST);
    }

    pub(crate) fn better(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    /// Guards against burying others for one's own pause: what they said meanwhile still lies unread, so
    /// every waiting goes on from now as if the pause had not been, and suspicions run again.
    pub(crate) fn notice_lateness(&mut self, now: Ms, out: &mut dyn Effects) {
        let late = self.lateness(now);
        if late < self.terms.probe_period * 0.25 {
            return;
        }
        for probe in self.probes.values_mut() {
            // A moment more: the answer may lie unread beside this very bell.
            probe.due = probe.due + late + self.terms.probe_period * 0.25;
            probe.sent = probe.sent + late;
        }
        for help in self.helps.values_mut() {
            help.due = help.due + late;
        }
        let again = self.shortest_suspicion();
        for suspicion in self.peers.values_mut().filter_map(|peer| peer.suspicion.as_mut()) {
            suspicion.since = suspicion.since + late;
            suspicion.ends = (suspicion.ends + late).max(now + again);
        }
        self.forgive_bell(now);
        if late > self.terms.probe_period {
            self.counters.pauses += 1;
            self.worse(1);
            self.note(Change::Paused { late }, out);
        }
    }
}
