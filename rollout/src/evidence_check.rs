//! The coordinator's use of evidence: compares released members with the others, window by window, until there is a
//! verdict that the version is bad.

use crate::coordinator::Coordinator;
use crate::evidence::{Evidence, EvidenceSummary, Measure, MemberSample, Verdict};
use crate::order::{Order, State};
use crate::schedule::settling_time;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use std::fmt;

/// Periods of a window; members send their counts once in as many periods.
const WINDOW_PERIODS: f64 = 2.0;

/// The evidence on the current order.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceCheck {
    /// Collected since the order is in force: it learns what is usual before the first member leaves.
    evidence: Option<Evidence>,
    next_window: Option<Ms>,
    pub verdict: Option<String>,
    reported: bool,
}

impl EvidenceCheck {
    /// Returns true on the first call only.
    pub fn report_once(&mut self) -> bool {
        !std::mem::replace(&mut self.reported, true)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EvidenceSummary { windows, released, not_released, points, set_up, .. } = self.summary;
        match self.measure {
            Measure::BadEnds => write!(f, "{points:.1} percentage points more viewings end badly")?,
            Measure::SetUpTime => write!(f, "set-ups take {set_up:.2} times as long")?,
        }
        write!(
            f,
            " at {} released members ({:.0} of {:.0}) than at {} others ({:.0} of {:.0}), {windows} windows",
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
    /// Evaluates one window if it is due. Only members that are seen ready count, so that neither a start nor an end
    /// does.
    pub(crate) fn check_evidence(&mut self, now: Ms, order: &Order) {
        let early = self.evidence_check.next_window.is_some_and(|next| now < next);
        let enabled = order.state == State::Go && order.halt_policy.by_evidence;
        if early || !enabled || self.evidence_check.verdict.is_some() {
            return;
        }
        self.evidence_check.next_window = Some(now + self.period * WINDOW_PERIODS);
        let sample = |status: &crate::MemberStatus, instance| MemberSample {
            instance,
            released: status.version == order.version,
            counts: status.counts,
        };
        let ready = self.fleet.all_ready(now, settling_time(order));
        let samples: BTreeMap<_, _> =
            ready.map(|(id, entry, record)| (id, sample(&record.status, entry.life))).collect();
        let evidence = self.evidence_check.evidence.get_or_insert_with(|| Evidence::new(order.halt_policy));
        if let Some(verdict) = evidence.add_window(&samples) {
            self.on_verdict(now, &verdict.to_string());
        }
    }

    /// The comparison of released members with the others so far.
    pub fn evidence(&self) -> Option<EvidenceSummary> {
        self.evidence_check.evidence.as_ref().map(Evidence::summary)
    }
}
