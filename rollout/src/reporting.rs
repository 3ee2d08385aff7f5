//! What the coordinating councillor reports of returned and of overdue permits.

use crate::coordinator::Coordinator;
use crate::effects::Effects;
use crate::events::Event;
use crate::order::{Order, Serial};
use crate::permits::Permit;
use ottersail::time::Ms;

/// Periods after which a permit that has not returned is reported, beyond the time to use it and to settle.
const OVERDUE_AFTER: f64 = 30.0;

impl Coordinator {
    /// Reports a returned permit, and whether its member came back with another version.
    pub(crate) fn report_return(&self, serial: Serial, permit: &Permit, effects: &mut dyn Effects) {
        let member = permit.member;
        effects.report(Event::PermitReturned { serial, member });
        let entry = self.fleet.roster.get(&member);
        let life = entry.map(|entry| entry.life).filter(|life| *life != permit.life);
        let status = life.and_then(|life| self.fleet.last_status(member, life));
        if let Some(status) = status.filter(|status| status.version != permit.version) {
            let (actual, expected) = (status.version.clone(), permit.version.clone());
            effects.report(Event::OtherVersion { member, actual, expected });
        }
    }

    /// Reports each overdue permit once.
    pub(crate) fn report_overdue(&mut self, now: Ms, order: &Order, effects: &mut dyn Effects) {
        let limit = Ms(f64::from(order.use_ms) + f64::from(order.settle_ms)) + self.period * OVERDUE_AFTER;
        for (permit, since) in self.known_since.iter().filter(|(_, since)| now - **since > limit) {
            if self.reported_overdue.insert(permit.clone()) {
                let (member, held_for) = (permit.member, now - *since);
                let identity = self.identities.get(&member);
                let name = identity.map(|identity| identity.name.clone()).unwrap_or_default();
                effects.report(Event::PermitOverdue { member, name, held_for });
            }
        }
    }
}
