//! Viewings and set-ups of one member over some windows.

use crate::stand::ViewingCounts;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Sum {
    pub asked: f64,
    pub bad: f64,
    /// Bad ends, had it been as those not released in the same seconds.
    pub expected: f64,
    pub ups: f64,
    pub up_ms: f64,
    pub up_expected: f64,
}

impl Sum {
    pub fn plus(self, it: Sum, sign: f64) -> Sum {
        Sum {
            asked: self.asked + sign * it.asked,
            bad: self.bad + sign * it.bad,
            expected: self.expected + sign * it.expected,
            ups: self.ups + sign * it.ups,
            up_ms: self.up_ms + sign * it.up_ms,
            up_expected: self.up_expected + sign * it.up_expected,
        }
    }

    /// What was added from one to the other; `None` if a counter went back.
    pub fn of(from: &ViewingCounts, to: &ViewingCounts) -> Option<Sum> {
        let asked = to.asked.checked_sub(from.asked)?;
        let blocked = to.blocked.checked_sub(from.blocked)?;
        let aborted = to.aborted.checked_sub(from.aborted)?;
        let broken = to.broken_off.checked_sub(from.broken_off)?;
        let ups = to.set_ups.checked_sub(from.set_ups)?.min(asked);
        let up_ms = to.set_up_ms.checked_sub(from.set_up_ms)?;
        let bad = blocked.saturating_add(aborted).saturating_add(broken).min(asked);
        let up_ms = if ups == 0 { 0.0 } else { up_ms as f64 };
        let (asked, bad, ups) = (asked as f64, bad as f64, ups as f64);
        Some(Sum { asked, bad, ups, up_ms, ..Sum::default() })
    }

    /// A member's mean set-up time in this.
    pub fn mean(&self) -> Option<f64> {
        (self.ups > 0.0).then(|| self.up_ms / self.ups)
    }
}
