//! Where evidence of a bad version meets the conductor: what members counted since the last look, and a
//! verdict.

use crate::conductor::Conductor;
use crate::order::State;
use crate::stand::Counts;
use crate::turn::settle;
use ottersail::time::Ms;
use ottersail_members::{Life, MemberId};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    last: BTreeMap<MemberId, (Life, Counts)>,
    pub verdict: Option<String>,
    told: bool,
}

impl Watch {
    /// True once.
    pub fn tells(&mut self) -> bool {
        !std::mem::replace(&mut self.told, true)
    }
}

impl Counts {
    /// What came since then; `None` if less was counted, which no life does.
    fn since(&self, then: &Counts) -> Option<Counts> {
        Some(Counts {
            asked: self.asked.checked_sub(then.asked)?,
            blocked: self.blocked.checked_sub(then.blocked)?,
            aborted: self.aborted.checked_sub(then.aborted)?,
            broken_off: self.broken_off.checked_sub(then.broken_off)?,
            set_ups: self.set_ups.checked_sub(then.set_ups)?,
            set_up_ms: self.set_up_ms.checked_sub(then.set_up_ms)?,
        })
    }
}

impl Conductor {
    /// What each whole member counted since the last call, those released and those not: same seconds for
    /// all, give or take two periods. Empty while no order goes. For whatever weighs evidence; it answers
    /// with [`Conductor::verdict`].
    pub fn window(&mut self, now: Ms) -> Vec<(bool, Counts)> {
        let Some((_, order)) = self.order.clone().filter(|it| it.1.state == State::Go) else { return vec![] };
        let mut last = BTreeMap::new();
        let mut window = Vec::new();
        for (id, seen, sight) in self.sights.all_whole(now, settle(&order)) {
            let counts = sight.stand.counts;
            last.insert(id, (seen.life, counts));
            let before = self.watch.last.get(&id).filter(|it| it.0 == seen.life);
            if let Some(difference) = before.and_then(|it| counts.since(&it.1)) {
                window.push((sight.stand.version == order.version, difference));
            }
        }
        self.watch.last = last;
        window
    }
}
