//! What a conductor says of permits that are given back, and of those that are not.

use crate::book::Permit;
use crate::conductor::Coordinator;
use crate::notes::Event;
use crate::order::{Order, Serial};
use crate::wishes::Effects;
use ottersail::time::Ms;

/// Periods, besides use and settling time, after which a permit that is not given back is told of.
const WAITED: f64 = 30.0;

impl Coordinator {
    pub(crate) fn tell_return(&self, serial: Serial, permit: &Permit, out: &mut dyn Effects) {
        let member = permit.member;
        out.note(Event::Returns { serial, member });
        let life = self.sights.roster.get(&member).map(|it| it.life).filter(|it| *it != permit.life);
        let stand = life.and_then(|it| self.sights.told(member, it));
        if let Some(stand) = stand.filter(|it| it.version != permit.version) {
            let (has, wanted) = (stand.version.clone(), permit.version.clone());
            out.note(Event::OtherVersion { member, has, wanted });
        }
    }

    pub(crate) fn tell_waits(&mut self, now: Ms, order: &Order, out: &mut dyn Effects) {
        let told = Ms(f64::from(order.use_ms) + f64::from(order.settle_ms)) + self.period * WAITED;
        for (permit, since) in self.known.iter().filter(|it| now - *it.1 > told) {
            if self.waited.insert(permit.clone()) {
                let (member, for_long) = (permit.member, now - *since);
                let name = self.names.get(&member).map(|it| it.name.clone()).unwrap_or_default();
                out.note(Event::Waits { member, name, for_long });
            }
        }
    }
}
