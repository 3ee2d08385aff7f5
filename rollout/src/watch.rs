//! Where evidence of a bad version meets the conductor: those released against the others, window by window, until
//! there is a verdict.

use crate::conductor::Coordinator;
use crate::evidence::{Evidence, Figures, Told, Verdict, What};
use crate::order::{Order, State};
use crate::turn::settle;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use std::fmt;

/// Periods of a window: members tell what they counted once in as many.
const WINDOW: f64 = 2.0;

#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    /// Since the order stands: before the first goes out it learns what is usual.
    evidence: Option<Evidence>,
    weigh_at: Option<Ms>,
    pub verdict: Option<String>,
    told: bool,
}

impl Watch {
    /// True once.
    pub fn tells(&mut self) -> bool {
        !std::mem::replace(&mut self.told, true)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures { windows, released, not_released, points, set_up, .. } = self.figures;
        match self.what {
            What::BadEnds => write!(f, "{points:.1} points more viewings end badly")?,
            What::SetUpTime => write!(f, "set-ups take {set_up:.2} times as long")?,
        }
        write!(
            f,
            " at {} released ({:.0} of {:.0}) than at {} others ({:.0} of {:.0}), {windows} windows",
            released.members,
            released.bad,
            released.asked,
            not_released.members,
            not_released.bad,
            not_released.asked
        )
    }
}

impl Coordinator {
    /// One window, if it is time for one: all that are seen whole, so that neither a start nor an end counts.
    pub(crate) fn weigh(&mut self, now: Ms, order: &Order) {
        let early = self.watch.weigh_at.is_some_and(|it| now < it);
        let goes = order.state == State::Go && order.halt_policy.by_evidence;
        if early || !goes || self.watch.verdict.is_some() {
            return;
        }
        self.watch.weigh_at = Some(now + self.period * WINDOW);
        let told = |stand: &crate::MemberStatus, life| Told {
            life,
            released: stand.version == order.version,
            counts: stand.counts,
        };
        let whole = self.sights.all_whole(now, settle(order));
        let members: BTreeMap<_, _> =
            whole.map(|(id, seen, sight)| (id, told(&sight.stand, seen.life))).collect();
        let evidence = self.watch.evidence.get_or_insert_with(|| Evidence::new(order.halt_policy));
        if let Some(verdict) = evidence.window(&members) {
            self.verdict(now, &verdict.to_string());
        }
    }

    /// What has been seen so far of those released against the others.
    pub fn evidence(&self) -> Option<Figures> {
        self.watch.evidence.as_ref().map(Evidence::told)
    }
}
