//! A released member's evidence relative to the mean of it and of the evidence at the members not released.

/// One in that many of the unreleased members, at least one, may be an outlier without hiding a bad version.
const OUTLIER_SHARE: usize = 40;
/// The weight of evidence beyond the bound that the outliers set. One member alone is never conclusive, since one in
/// sixty is the worst of sixty whatever the noise is; evidence far beyond all others should still halt.
const EXCESS_WEIGHT: f64 = 0.25;

/// The logarithms of the evidence at the members not released, computed as if they had been.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    /// In descending order.
    logs: Vec<f64>,
    /// The sum of the values from each index on, relative to the greatest that is not an outlier.
    rest: Vec<f64>,
    outliers: usize,
}

impl Rank {
    /// Ranks the logarithms of the evidence at the unreleased members; `None` if there are too few of them.
    pub fn of(mut logs: Vec<f64>) -> Option<Rank> {
        let outliers = 1 + logs.len() / OUTLIER_SHARE;
        if logs.len() < outliers + 2 {
            return None;
        }
        logs.sort_unstable_by(|left, right| right.total_cmp(left));
        let mut rest = vec![0.0; logs.len() + 1];
        for index in (outliers..logs.len()).rev() {
            rest[index] = (logs[index] - logs[outliers]).exp() + rest[index + 1];
        }
        Some(Rank { logs, rest, outliers })
    }

    /// The logarithm of `own` relative to the mean. Among the unreleased members and this one, the outliers count as the
    /// next greatest; the result then has the mean 1 if this member could as well be any of them. A mean under 1 counts
    /// as 1: with few members it arises by chance, and would add evidence for each released member.
    pub fn log(&self, own: f64) -> f64 {
        let (above, next) = (self.logs[self.outliers - 1], self.logs[self.outliers]);
        let outlier_count = (self.outliers + 1) as f64;
        let sum = match own < next {
            true => outlier_count + self.rest[self.outliers + 1] + (own - next).exp(),
            false => outlier_count * (own.min(above) - next).min(600.0).exp() + self.rest[self.outliers],
        };
        let all = (self.logs.len() + 1) as f64;
        let log = own - ((sum / all).ln() + next).max(0.0);
        let bound = (all / outlier_count).ln();
        log.min(bound) + EXCESS_WEIGHT * (log - bound).max(0.0)
    }
}
