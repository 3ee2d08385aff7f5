//! Alternative statistical tests, computed on the same counts for comparison: Wald's ratio of two proportions, the same
//! ratio corrected for the dispersion at the members not released (quasi-binomial), and Robbins' normal mixture with
//! that correction.

use crate::evidence::Evidence;

/// The first detection by each alternative test.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detections {
    /// The step in which Wald's ratio first rejected the release.
    pub wald: Option<usize>,
    /// The step in which the quasi-binomial ratio first rejected it.
    pub quasi: Option<usize>,
    /// The step in which the normal mixture first rejected it.
    pub mixture: Option<usize>,
}

impl Detections {
    /// Evaluates each test on the totals after a window.
    pub fn update(&mut self, evidence: &Evidence, step: usize) {
        let summary = evidence.summary();
        let (released, not_released) = (summary.released, summary.not_released);
        if released.asked == 0.0
            || not_released.asked == 0.0
            || not_released.members < super::super::MIN_MEMBERS
        {
            return;
        }
        let dispersion = evidence.histories.dispersion();
        let rate = (not_released.bad / not_released.asked).clamp(0.005, 0.9);
        let (worse, good) =
            (rate + f64::from(evidence.halt_policy.points) / 100.0, released.asked - released.bad);
        let wald = released.bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
        let excess = released.bad - released.asked * rate;
        let variance =
            dispersion * released.asked * rate * (1.0 - rate) * (1.0 + released.asked / not_released.asked);
        let prior_variance = 200.0 * dispersion * rate * (1.0 - rate);
        let mixture = 0.5 * (prior_variance / (variance + prior_variance)).ln()
            + excess.powi(2) / (2.0 * (variance + prior_variance));
        let detected_at = |log_evidence: f64| (log_evidence >= 100f64.ln()).then_some(step);
        self.wald = self.wald.or(detected_at(wald));
        self.quasi = self.quasi.or(detected_at(wald / dispersion));
        self.mixture = self.mixture.or(detected_at(if excess > 0.0 { mixture + 2f64.ln() } else { 0.0 }));
    }
}
