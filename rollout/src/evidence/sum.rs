//! The sums of viewings and set-ups of one member over some windows.

use crate::status::ViewingCounts;

/// Sums over some windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Sum {
    /// Requested viewings.
    pub asked: f64,
    /// Viewings that were blocked, aborted or broken off.
    pub bad: f64,
    /// Bad ends to expect at the rate of the unreleased members in the same seconds.
    pub expected: f64,
    /// Completed set-ups of viewings.
    pub set_ups: f64,
    /// Total time of these set-ups in milliseconds.
    pub set_up_ms: f64,
    /// Total set-up time to expect at the median of the unreleased members in the same seconds.
    pub expected_set_up_ms: f64,
}

impl Sum {
    /// Adds another sum, or subtracts it with a `sign` of -1.
    pub fn plus(self, other: Sum, sign: f64) -> Sum {
        Sum {
            asked: self.asked + sign * other.asked,
            bad: self.bad + sign * other.bad,
            expected: self.expected + sign * other.expected,
            set_ups: self.set_ups + sign * other.set_ups,
            set_up_ms: self.set_up_ms + sign * other.set_up_ms,
            expected_set_up_ms: self.expected_set_up_ms + sign * other.expected_set_up_ms,
        }
    }

    /// The difference from one sample to the next; `None` if a counter decreased.
    pub fn of(from: &ViewingCounts, to: &ViewingCounts) -> Option<Sum> {
        let asked = to.asked.checked_sub(from.asked)?;
        let blocked = to.blocked.checked_sub(from.blocked)?;
        let aborted = to.aborted.checked_sub(from.aborted)?;
        let broken = to.broken_off.checked_sub(from.broken_off)?;
        let set_ups = to.set_ups.checked_sub(from.set_ups)?.min(asked);
        let set_up_ms = to.set_up_ms.checked_sub(from.set_up_ms)?;
        let bad = blocked.saturating_add(aborted).saturating_add(broken).min(asked);
        let set_up_ms = if set_ups == 0 { 0.0 } else { set_up_ms as f64 };
        let (asked, bad, set_ups) = (asked as f64, bad as f64, set_ups as f64);
        Some(Sum { asked, bad, set_ups, set_up_ms, ..Sum::default() })
    }

    /// The mean set-up time in milliseconds.
    pub fn mean(&self) -> Option<f64> {
        (self.set_ups > 0.0).then(|| self.set_up_ms / self.set_ups)
    }
}
