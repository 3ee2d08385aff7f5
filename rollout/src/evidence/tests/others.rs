//! The tests that were weighed beside ours, on the same figures: Wald's ratio of two proportions, the same with the
//! dispersion of those not released taken in (quasi-binomial), and Robbins' normal mixture with it.

use crate::evidence::Evidence;

#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// The step of the first call of each.
    pub wald: Option<usize>,
    pub quasi: Option<usize>,
    pub mixture: Option<usize>,
}

impl Calls {
    pub fn look(&mut self, evidence: &Evidence, step: usize) {
        let told = evidence.summary();
        let (ours, usual) = (told.released, told.not_released);
        if ours.asked == 0.0 || usual.asked == 0.0 || usual.members < super::super::MIN_MEMBERS {
            return;
        }
        let together = evidence.histories.dispersion();
        let rate = (usual.bad / usual.asked).clamp(0.005, 0.9);
        let (worse, good) = (rate + f64::from(evidence.halt_policy.points) / 100.0, ours.asked - ours.bad);
        let wald = ours.bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
        let more = ours.bad - ours.asked * rate;
        let varies = together * ours.asked * rate * (1.0 - rate) * (1.0 + ours.asked / usual.asked);
        let mix = 200.0 * together * rate * (1.0 - rate);
        let mixture = 0.5 * (mix / (varies + mix)).ln() + more.powi(2) / (2.0 * (varies + mix));
        let called = |it: f64| (it >= 100f64.ln()).then_some(step);
        self.wald = self.wald.or(called(wald));
        self.quasi = self.quasi.or(called(wald / together));
        self.mixture = self.mixture.or(called(if more > 0.0 { mixture + 2f64.ln() } else { 0.0 }));
    }
}
