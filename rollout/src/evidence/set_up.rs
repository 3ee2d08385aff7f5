//! How likely a member's set-up time is, relative to its own before and to the others' in the same seconds.

use super::{rank::Rank, statistics::median, sum::Sum};

/// The tested increases: 1.5, 2 and 3 times as long.
pub(super) const EFFECT_SIZES: [f64; 3] = [1.5, 2.0, 3.0];
/// Minimum number of set-ups from which a mean is taken.
const MIN_SET_UPS: f64 = 10.0;
/// Degrees of freedom of Student's distribution, which bounds the evidence of one member, since times have long tails.
const DEGREES_OF_FREEDOM: f64 = 3.0;
/// Minimum spread of the logarithms of set-up times.
const MIN_SPREAD: f64 = 0.05;
/// Number of earlier set-ups at which a member's own time gets half of the weight.
const HALF_TRUST_SET_UPS: f64 = 20.0;

/// The distribution of relative set-up times at members that are not released, as natural logarithms.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fit {
    median_slowdown: f64,
    spread: f64,
}

/// The logarithm of the set-up time relative to what is usual at this member and the others.
fn log_slowdown((before, since): &(Sum, Sum)) -> Option<f64> {
    if since.set_ups < MIN_SET_UPS || since.expected_set_up_ms <= 0.0 || since.set_up_ms <= 0.0 {
        return None;
    }
    let has_history = before.expected_set_up_ms > 0.0 && before.set_up_ms > 0.0;
    let own = if has_history { (before.set_up_ms / before.expected_set_up_ms).ln() } else { 0.0 };
    Some(
        (since.set_up_ms / since.expected_set_up_ms).ln()
            - own * before.set_ups / (before.set_ups + HALF_TRUST_SET_UPS),
    )
}

impl Fit {
    /// Fits the distribution to the sums of the unreleased members before and since the release of others.
    pub fn of(others: &[(Sum, Sum)]) -> Fit {
        let all: Vec<f64> = others.iter().filter_map(log_slowdown).collect();
        let median_slowdown = median(all.clone());
        let spread = 1.5 * median(all.iter().map(|slowdown| (slowdown - median_slowdown).abs()).collect());
        Fit { median_slowdown, spread: spread.max(MIN_SPREAD) }
    }

    /// The log-likelihood ratio of this slowdown if set-ups take `times` as long, to that if they take as long as usual.
    fn log_ratio(&self, log_slowdown: f64, times: f64) -> f64 {
        let tail = |shift: f64| {
            (1.0 + ((log_slowdown - self.median_slowdown - shift) / self.spread).powi(2) / DEGREES_OF_FREEDOM)
                .ln()
        };
        (DEGREES_OF_FREEDOM + 1.0) / 2.0 * (tail(0.0) - tail(times.ln()))
    }

    /// The sum of the log-likelihood ratios of all released members, each relative to the mean over the unreleased ones.
    pub fn evidence(&self, others: &[(Sum, Sum)], ours: &[(Sum, Sum)], times: f64) -> f64 {
        let rank = Rank::of(
            others.iter().filter_map(log_slowdown).map(|slowdown| self.log_ratio(slowdown, times)).collect(),
        );
        rank.map_or(0.0, |rank| {
            ours.iter()
                .filter_map(log_slowdown)
                .map(|slowdown| rank.log(self.log_ratio(slowdown, times)))
                .sum()
        })
    }

    /// The sum of the logarithmic slowdowns relative to the median, over the members with enough set-ups, and the number
    /// of these members.
    pub fn log_slowdowns(&self, ours: &[(Sum, Sum)]) -> (f64, f64) {
        let all = ours.iter().filter_map(log_slowdown);
        all.fold((0.0, 0.0), |(sum, members), slowdown| {
            (sum + slowdown - self.median_slowdown, members + 1.0)
        })
    }
}
