//! Local health (Lifeguard): a member that receives no answers may itself be the cause, so it waits longer
//! before it suspects others.

use crate::members::Members;
use crate::view::{Change, Effects};
use ottersail::time::Ms;

/// The worst health score; 0 is healthy.
const WORST_HEALTH: u32 = 8;

impl Members {
    /// The factor by which timeouts are longer than those of a healthy member.
    pub(crate) fn health_multiplier(&self) -> f64 {
        f64::from(1 + self.health)
    }

    /// The probe period, scaled by the local health.
    pub(crate) fn scaled_period(&self) -> Ms {
        self.config.probe_period * self.health_multiplier()
    }

    pub(crate) fn degrade_health(&mut self, by: u32) {
        self.health = (self.health + by).min(WORST_HEALTH);
    }

    pub(crate) fn improve_health(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    /// Keeps this member from declaring others dead because its own process was paused: what they sent
    /// meanwhile is still unread. Every timeout is extended by the length of the pause, and every suspicion
    /// runs for at least its shortest time from now on.
    pub(crate) fn handle_late_timer(&mut self, now: Ms, effects: &mut dyn Effects) {
        let late = self.timer_delay(now);
        if late < self.config.probe_period * 0.25 {
            return;
        }
        for probe in self.probes.values_mut() {
            // A quarter of a period more: the answer may be in the receive queue and be read after this
            // timer.
            probe.due = probe.due + late + self.config.probe_period * 0.25;
            probe.sent = probe.sent + late;
        }
        for pending in self.indirect_probes.values_mut() {
            pending.due = pending.due + late;
        }
        let shortest = self.shortest_suspicion();
        for suspicion in self.peers.values_mut().filter_map(|peer| peer.suspicion.as_mut()) {
            suspicion.since = suspicion.since + late;
            suspicion.ends = (suspicion.ends + late).max(now + shortest);
        }
        self.reset_deadline(now);
        if late > self.config.probe_period {
            self.counters.pauses += 1;
            self.degrade_health(1);
            self.report(Change::Paused { late }, effects);
        }
    }
}
