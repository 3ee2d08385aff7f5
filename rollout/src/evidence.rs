//! Evidence that halts a release automatically: released members are compared with those not yet released in the same
//! seconds. The unit is the member and not the viewing, since bad ends of viewings are correlated and members differ
//! permanently. Each released member is compared with what its own history and the others' same seconds make likely
//! (a Gamma-Poisson mixture after Robbins 1970). That likelihood ratio is then divided by the mean of the same ratio
//! at the members not released, computed as if they had been (a soft rank: for exchangeable members its mean is 1
//! however well the model fits). Alternatives and measurements: `docs/releases-evidence.md`.

mod fit;
mod history;
mod rank;
mod set_up;
mod statistics;
mod sum;
#[cfg(test)]
mod tests;

use crate::order::HaltPolicy;
use crate::status::ViewingCounts;
use crate::{InstanceId, MemberId};
use fit::Fit;
use history::MemberHistories;
use statistics::log_mixture;
use std::collections::BTreeMap;
use sum::Sum;

/// Minimum number of members not released from which the usual rate can be estimated.
const MIN_MEMBERS: usize = 3;
/// Maximum number of cohorts of release time; members released later belong to the last one.
const MAX_COHORTS: usize = 4;
/// Minimum number of windows between two cohorts.
const COHORT_SPACING: u64 = 5;
/// Probability that an increase by `points` is reported as ruled out although it exists.
const MISS_RATE: f64 = 0.05;
/// The tested increases as multiples of `points`, each with its share of the accepted false alarms.
const EFFECT_SIZES: [(f64, f64); 3] = [(1.0, 0.5), (2.0, 0.25), (4.0, 0.25)];

/// The latest report of a ready member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSample {
    /// The instance (one run of the process) that reported the counts.
    pub instance: InstanceId,
    /// Whether the member runs the ordered version.
    pub released: bool,
    /// Cumulative counts since the instance started, not since the last window.
    pub counts: ViewingCounts,
}

/// The quantity in which released and unreleased members are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// The share of viewings that are blocked, aborted or broken off.
    BadEnds,
    /// The mean time that the set-up of a viewing takes.
    SetUpTime,
}

/// Evidence strong enough to halt the release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The measure in which the released members are worse.
    pub measure: Measure,
    /// The comparison that led to the verdict.
    pub summary: EvidenceSummary,
}

/// The comparison as shown to an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSummary {
    /// Windows in which both released and unreleased members were seen.
    pub windows: u64,
    /// Totals of the released members since their release.
    pub released: GroupTotals,
    /// Totals of the members not released, since the first release.
    pub not_released: GroupTotals,
    /// By how many percentage points more viewings end badly at released members, over all these windows.
    pub points: f64,
    /// Ratio of the set-up time at released members to that at the others, each relative to its own before; 1 if
    /// equal.
    pub set_up: f64,
    /// Natural logarithm of the evidence in bad ends.
    pub bad_ends: f64,
    /// Natural logarithm of the evidence in set-up times.
    pub set_ups: f64,
    /// Natural logarithm of the evidence at which the release halts.
    pub halts_at: f64,
    /// An increase by `points` is ruled out, with an error rate of 5 in 100; a step that waits for this cannot have
    /// hidden it.
    pub cleared: bool,
}

/// Totals of the released or of the unreleased members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupTotals {
    /// Number of members.
    pub members: usize,
    /// Number of requested viewings, weighted: a member with far more than the median counts less.
    pub asked: f64,
    /// Number of viewings that ended badly, with the same weights.
    pub bad: f64,
}

/// Members released at about the same time, with the sums that the unreleased members had by then.
#[derive(Clone, Debug)]
struct Cohort {
    /// Number of the window of the release.
    window: u64,
    at_release: BTreeMap<MemberId, Sum>,
}

/// The evidence on one release. Equal inputs give equal outputs.
#[derive(Clone, Debug)]
pub struct Evidence {
    halt_policy: HaltPolicy,
    histories: MemberHistories,
    cohorts: Vec<Cohort>,
    /// The cohort of each released member.
    cohort_of: BTreeMap<MemberId, usize>,
    window: u64,
    summary: EvidenceSummary,
}

impl Evidence {
    /// Creates an empty comparison that halts as `halt_policy` says.
    pub fn new(halt_policy: HaltPolicy) -> Evidence {
        let alarms = f64::from(halt_policy.alarms.clamp(1, 10_000)) / 10_000.0;
        // Bad ends and set-up times each get half of the accepted false alarms.
        let summary =
            EvidenceSummary { halts_at: (2.0 / alarms).ln(), set_up: 1.0, ..EvidenceSummary::default() };
        let histories = MemberHistories::default();
        Evidence {
            halt_policy,
            histories,
            cohorts: Vec::new(),
            cohort_of: BTreeMap::new(),
            window: 0,
            summary,
        }
    }

    /// Adds a window with the samples of all members that are ready (settled, neither out nor suspected). Windows should
    /// begin before the first release. A member that is missing and returns counts from then on. The verdict is returned
    /// as long as it holds.
    pub fn add_window(&mut self, members: &BTreeMap<MemberId, MemberSample>) -> Option<Verdict> {
        self.window += 1;
        let released = self.histories.update_members(members);
        for id in released {
            self.release(id);
        }
        let window_sums = self.histories.window_sums(members);
        if window_sums.usual.is_some() {
            self.histories.add(&window_sums);
        }
        // Without new samples of both groups the evidence does not change.
        if !self.cohorts.is_empty() && window_sums.usual.is_some() && window_sums.both {
            self.evaluate();
        }
        let exceeds =
            |log_evidence: f64| self.halt_policy.by_evidence && log_evidence >= self.summary.halts_at;
        let measure = match (exceeds(self.summary.bad_ends), exceeds(self.summary.set_ups)) {
            (true, _) => Measure::BadEnds,
            (_, true) => Measure::SetUpTime,
            _ => return None,
        };
        Some(Verdict { measure, summary: self.summary })
    }

    /// The comparison as of the last window.
    pub fn summary(&self) -> EvidenceSummary {
        self.summary
    }

    fn release(&mut self, id: MemberId) {
        let spaced = self.cohorts.last().is_none_or(|cohort| self.window >= cohort.window + COHORT_SPACING);
        if spaced && self.cohorts.len() < MAX_COHORTS {
            self.cohorts
                .push(Cohort { window: self.window, at_release: self.histories.sums_of_unreleased() });
        }
        self.cohort_of.insert(id, self.cohorts.len() - 1);
    }

    fn evaluate(&mut self) {
        let (mut bad_ends, mut set_ups) = ([0.0; EFFECT_SIZES.len()], [0.0; set_up::EFFECT_SIZES.len()]);
        let (mut fewest_others, mut released_count) = (usize::MAX, 0);
        let (mut slowdown_sum, mut slowdown_count, mut ruled_out) = (0.0, 0.0, 0.0);
        for (index, cohort) in self.cohorts.iter().enumerate() {
            let others = self.histories.unreleased_since(&cohort.at_release);
            let ours: Vec<(Sum, Sum)> = self.samples_of_cohort(index).collect();
            if others.len() < MIN_MEMBERS || ours.is_empty() {
                continue;
            }
            (fewest_others, released_count) = (fewest_others.min(others.len()), released_count + ours.len());
            let fit = Fit::of(&others, self.histories.dispersion());
            let points = f64::from(self.halt_policy.points.clamp(1, 100)) / 100.0;
            for (sum, (multiple, _)) in bad_ends.iter_mut().zip(EFFECT_SIZES) {
                let (log, plain_log) = fit.evidence(&others, &ours, points * multiple);
                *sum += log;
                ruled_out += if multiple == 1.0 { plain_log } else { 0.0 };
            }
            let set_up_fit = set_up::Fit::of(&others);
            for (sum, factor) in set_ups.iter_mut().zip(set_up::EFFECT_SIZES) {
                *sum += set_up_fit.evidence(&others, &ours, factor);
            }
            let (sum, members) = set_up_fit.log_slowdowns(&ours);
            (slowdown_sum, slowdown_count) = (slowdown_sum + sum, slowdown_count + members);
        }
        if released_count == 0 {
            return;
        }
        // The usual rate is known only from the unreleased members, and its error affects each released one. The discount
        // is twice that for two equal groups, since the few members that matter most vary more than all.
        let confidence = fewest_others as f64 / (fewest_others + 2 * released_count) as f64;
        let weights = EFFECT_SIZES.map(|(_, weight)| weight);
        self.summary.bad_ends = log_mixture(&bad_ends, &weights, confidence);
        let weights = [1.0 / set_ups.len() as f64; set_up::EFFECT_SIZES.len()];
        self.summary.set_ups = log_mixture(&set_ups, &weights, confidence);
        self.summary.cleared = ruled_out * confidence <= MISS_RATE.ln();
        self.summary.set_up = if slowdown_count > 0.0 { (slowdown_sum / slowdown_count).exp() } else { 1.0 };
        self.summary.windows += 1;
        self.update_totals();
    }

    /// The sums before and since the release, for each released member of the cohort.
    fn samples_of_cohort(&self, cohort: usize) -> impl Iterator<Item = (Sum, Sum)> + '_ {
        let ours = self.cohort_of.iter().filter(move |(_, index)| **index == cohort);
        ours.filter_map(|(id, _)| self.histories.released(*id))
    }

    fn update_totals(&mut self) {
        let totals_of = |sums: &mut dyn Iterator<Item = Sum>| {
            sums.fold(GroupTotals::default(), |totals, sum| GroupTotals {
                members: totals.members + 1,
                asked: totals.asked + sum.asked,
                bad: totals.bad + sum.bad,
            })
        };
        let at_first_release = &self.cohorts[0].at_release;
        self.summary.not_released = totals_of(
            &mut self.histories.unreleased_since(at_first_release).into_iter().map(|(_, since)| since),
        );
        let ours = self.cohort_of.keys().filter_map(|id| self.histories.released(*id));
        let ours: Vec<Sum> = ours.map(|(_, since)| since).collect();
        self.summary.released = totals_of(&mut ours.iter().copied());
        let expected: f64 = ours.iter().map(|since| since.expected).sum();
        let GroupTotals { asked, bad, .. } = self.summary.released;
        self.summary.points = if asked > 0.0 { 100.0 * (bad - expected) / asked } else { 0.0 };
    }
}
