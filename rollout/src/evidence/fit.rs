//! How likely the bad ends of an unchanged member are, fitted to the members not released over the same windows.

use super::{rank::Rank, sum::Sum};

/// Weight of the prior `SPREAD`, in members.
const PRIOR_WEIGHT: f64 = 5.0;
/// Prior of the squared relative deviation of a member's rate from its history.
const SPREAD: f64 = 0.05;
const MIN_SPREAD: f64 = 0.01;
/// Minimum rate of bad ends, relative to which an increase is measured.
const MIN_RATE: f64 = 0.005;

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
    pub fn of(others: &[(Sum, Sum)], dispersion: f64) -> Fit {
        let between_members = shape(others.iter().map(|it| (it.0.bad, it.0.expected)), dispersion);
        let mut fit = Fit { dispersion, between_members, within_member: 0.0, rate: 0.0 };
        fit.within_member =
            shape(others.iter().map(|it| (it.1.bad, it.1.expected * fit.relative_rate(&it.0))), dispersion);
        let (bad, asked) = others.iter().fold((0.0, 0.0), |it, of| (it.0 + of.1.bad, it.1 + of.1.asked));
        fit.rate = (bad / asked).max(MIN_RATE);
        fit
    }

    /// A member's usual rate relative to that of all.
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
        let Some(rank) = Rank::of(others.iter().map(|it| self.log_ratio(it, times)).collect()) else {
            return (0.0, 0.0);
        };
        let logs = ours.iter().map(|it| self.log_ratio(it, times));
        logs.fold((0.0, 0.0), |sum, it| (sum.0 + rank.log(it), sum.1 + it))
    }
}

/// The Gamma shape by the method of moments, from pairs of actual and expected bad ends.
fn shape(pairs: impl Iterator<Item = (f64, f64)> + Clone, dispersion: f64) -> f64 {
    let count = pairs.clone().count() as f64;
    let excess: f64 =
        pairs.clone().map(|(actual, expected)| (actual - expected).powi(2) - dispersion * expected).sum();
    let squares: f64 = pairs.map(|it| it.1.powi(2)).sum();
    let prior = PRIOR_WEIGHT * squares / count.max(1.0);
    let spread = (excess + SPREAD * prior) / (squares + prior).max(1e-9);
    1.0 / spread.max(MIN_SPREAD)
}
