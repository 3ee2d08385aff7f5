//! How likely the bad ends of an unchanged member are, fitted to the members not released over the same windows.

use super::{rank::Rank, sum::Sum};

/// Weight of the prior `SPREAD`, in members.
const PRIOR_WEIGHT: f64 = 5.0;
/// Prior of the squared relative deviation of a member's rate from its history.
const SPREAD: f64 = 0.05;
/// Minimum of that deviation, which limits the evidence of one member.
const MIN_SPREAD: f64 = 0.01;
/// Minimum rate of bad ends, relative to which an increase is measured.
const MIN_RATE: f64 = 0.005;

/// The distribution of bad ends at members that are not released.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fit {
    /// The mean number of viewings that end badly together.
    dispersion: f64,
    /// Shape of the Gamma distribution of members' rates; a greater shape means less variation.
    between_members: f64,
    /// Shape of the Gamma distribution of one member's rate around its history.
    within_member: f64,
    /// Bad ends per viewing.
    rate: f64,
}

impl Fit {
    /// Fits the distribution to the sums of the unreleased members before and since the release of others.
    pub fn of(others: &[(Sum, Sum)], dispersion: f64) -> Fit {
        let between_members =
            shape(others.iter().map(|(before, _)| (before.bad, before.expected)), dispersion);
        let mut fit = Fit { dispersion, between_members, within_member: 0.0, rate: 0.0 };
        let since_release =
            others.iter().map(|(before, since)| (since.bad, since.expected * fit.relative_rate(before)));
        fit.within_member = shape(since_release, dispersion);
        let (bad, asked) =
            others.iter().fold((0.0, 0.0), |(bad, asked), (_, since)| (bad + since.bad, asked + since.asked));
        fit.rate = (bad / asked).max(MIN_RATE);
        fit
    }

    /// A member's usual rate relative to the mean rate of all members.
    fn relative_rate(&self, before: &Sum) -> f64 {
        (self.between_members + before.bad / self.dispersion)
            / (self.between_members + before.expected / self.dispersion)
    }

    /// The log-likelihood ratio of these bad ends at `times` the usual rate to that at the usual rate.
    fn log_ratio(&self, (before, since): &(Sum, Sum), times: f64) -> f64 {
        let bad = since.bad / self.dispersion;
        let expected = since.expected * self.relative_rate(before) / self.dispersion;
        let shape = self.within_member;
        bad * times.ln() + (shape + bad) * ((shape + expected) / (shape + times * expected)).ln()
    }

    /// The sum of the log-likelihood ratios of all released members, each relative to the mean over the unreleased ones,
    /// which keeps the mean at 1 despite noise that the shapes do not model. Also the plain sum, which shows what is
    /// ruled out.
    pub fn evidence(&self, others: &[(Sum, Sum)], ours: &[(Sum, Sum)], increase: f64) -> (f64, f64) {
        let times = 1.0 + increase / self.rate;
        let Some(rank) = Rank::of(others.iter().map(|sums| self.log_ratio(sums, times)).collect()) else {
            return (0.0, 0.0);
        };
        let logs = ours.iter().map(|sums| self.log_ratio(sums, times));
        logs.fold((0.0, 0.0), |(ranked, plain), log| (ranked + rank.log(log), plain + log))
    }
}

/// The Gamma shape by the method of moments, from pairs of actual and expected bad ends.
fn shape(pairs: impl Iterator<Item = (f64, f64)> + Clone, dispersion: f64) -> f64 {
    let count = pairs.clone().count() as f64;
    let excess: f64 =
        pairs.clone().map(|(actual, expected)| (actual - expected).powi(2) - dispersion * expected).sum();
    let squares: f64 = pairs.map(|(_, expected)| expected.powi(2)).sum();
    let prior = PRIOR_WEIGHT * squares / count.max(1.0);
    let spread = (excess + SPREAD * prior) / (squares + prior).max(1e-9);
    1.0 / spread.max(MIN_SPREAD)
}
