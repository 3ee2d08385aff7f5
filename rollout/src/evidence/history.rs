//! The history of each member: sums over windows, bounded by what is usual at the others.

use super::{statistics::median, sum::Sum, MemberSample, MIN_MEMBERS};
use crate::status::ViewingCounts;
use crate::{InstanceId, MemberId};
use std::collections::BTreeMap;

/// Maximum weight of one member: at most that many times the median number of viewings count. Otherwise a member that
/// reports absurd counts would determine the rate of the whole fleet, and could hide or cause a difference alone.
const MAX_WEIGHT: f64 = 4.0;
/// A set-up time counts at most as that many times the median.
const MAX_SET_UP_FACTOR: f64 = 16.0;
/// Distance from the median, in spreads, beyond which an unreleased member is excluded from what is usual.
const OUTLIER_DISTANCE: f64 = 8.0;
/// Outliers are excluded only if at most one in that many members is one; otherwise they are part of what is usual.
const MAX_OUTLIER_SHARE: usize = 10;
/// Windows over which dispersion is measured: correlated bad ends spread over some seconds.
const BLOCK_WINDOWS: usize = 5;
/// Weight of the prior, in bad ends: the dispersion is assumed to be 2 before any are seen.
const PRIOR_WEIGHT: f64 = 5.0;

#[derive(Clone, Debug)]
struct MemberHistory {
    instance: InstanceId,
    /// The counts of the last sample that was taken into a sum.
    last_counts: ViewingCounts,
    released: bool,
    /// The sums before its release; empty if it is not released.
    before: Sum,
    /// The sums since its first sample, or since its release.
    since: Sum,
    /// Whether the member is an outlier, excluded from what is usual.
    excluded: bool,
    /// Actual and expected bad ends of the windows in the current block.
    block: (f64, f64),
    /// Windows in the current block.
    block_windows: usize,
}

/// The sums of one window.
#[derive(Debug, Default)]
pub(super) struct WindowSums {
    sums: BTreeMap<MemberId, Sum>,
    /// Bad ends per viewing, and set-up time in milliseconds, of the unreleased members; `None` if there are too few.
    pub usual: Option<(f64, f64)>,
    /// A released member had viewings too.
    pub both: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct MemberHistories {
    members: BTreeMap<MemberId, MemberHistory>,
    /// The squared deviations of bad ends from what was expected, and what they would be without correlation.
    squares: (f64, f64),
}

impl MemberHistories {
    /// Updates the members and returns those newly released. The whole history of an instance counts when it is first seen
    /// unreleased, since it shows how that member differs permanently.
    pub fn update_members(&mut self, members: &BTreeMap<MemberId, MemberSample>) -> Vec<MemberId> {
        let mut fresh = BTreeMap::new();
        let mut released = Vec::new();
        for (&id, sample) in members {
            let (instance, counts) = (sample.instance, sample.counts);
            let Some(history) = self.members.get_mut(&id) else {
                let (before, since) = (Sum::default(), Sum::default());
                self.members.insert(
                    id,
                    MemberHistory {
                        instance,
                        last_counts: counts,
                        released: sample.released,
                        before,
                        since,
                        excluded: false,
                        block: (0.0, 0.0),
                        block_windows: 0,
                    },
                );
                match sample.released {
                    true => released.push(id),
                    false => {
                        fresh.insert(id, Sum::of(&ViewingCounts::default(), &counts).unwrap_or_default());
                    }
                }
                continue;
            };
            // An instance starts uncertain about its servers and has no viewings that could break off. What it counted
            // before it was seen ready is left out.
            if history.instance != instance || Sum::of(&history.last_counts, &counts).is_none() {
                (history.instance, history.last_counts) = (instance, counts);
            }
            if history.released != sample.released {
                history.before = if sample.released { history.since } else { Sum::default() };
                (history.released, history.since, history.excluded) =
                    (sample.released, Sum::default(), false);
                if sample.released {
                    released.push(id);
                }
            }
        }
        let mut window = WindowSums { sums: fresh, ..WindowSums::default() };
        if self.add_expectations(&mut window, |_| true) {
            self.add_to_members(&window);
        }
        released
    }

    /// The sums of each member since it was last seen with viewings.
    pub fn window_sums(&mut self, members: &BTreeMap<MemberId, MemberSample>) -> WindowSums {
        let mut window = WindowSums::default();
        for (id, sample) in members {
            let Some(history) = self.members.get_mut(id) else { continue };
            // Without viewings, what broke off meanwhile counts in a later window.
            let step = Sum::of(&history.last_counts, &sample.counts).filter(|step| step.asked > 0.0);
            if let Some(step) = step {
                history.last_counts = sample.counts;
                window.sums.insert(*id, step);
            }
        }
        let usual: BTreeMap<MemberId, bool> =
            self.members.iter().map(|(id, history)| (*id, !history.released && !history.excluded)).collect();
        self.add_expectations(&mut window, |id| usual.get(&id) == Some(&true));
        window.both =
            window.sums.keys().any(|id| self.members.get(id).is_some_and(|history| history.released));
        window
    }

    /// Bounds each member's sums and sets what would have been expected of them at the rate of the members that `usual`
    /// selects. Returns false if these are too few.
    fn add_expectations(&self, window: &mut WindowSums, usual: impl Fn(MemberId) -> bool) -> bool {
        let max_asked = MAX_WEIGHT * median(window.sums.values().map(|sum| sum.asked).collect());
        let weight_of = |sum: &Sum| if sum.asked > max_asked { max_asked / sum.asked } else { 1.0 };
        for sum in window.sums.values_mut() {
            let weight = weight_of(sum);
            (sum.asked, sum.bad) = (sum.asked * weight, sum.bad * weight);
            (sum.set_ups, sum.set_up_ms) = (sum.set_ups * weight, sum.set_up_ms * weight);
        }
        let usual_sums: Vec<Sum> =
            window.sums.iter().filter(|(id, _)| usual(**id)).map(|(_, sum)| *sum).collect();
        if usual_sums.len() < MIN_MEMBERS {
            return false;
        }
        let all = usual_sums.iter().fold(Sum::default(), |all, sum| all.plus(*sum, 1.0));
        let (rate, time) = (all.bad / all.asked, median(usual_sums.iter().filter_map(Sum::mean).collect()));
        for sum in window.sums.values_mut() {
            sum.expected = sum.asked * rate;
            sum.expected_set_up_ms = sum.set_ups * time;
            sum.set_up_ms = sum.set_up_ms.min(MAX_SET_UP_FACTOR * sum.expected_set_up_ms);
        }
        window.usual = Some((rate, time));
        true
    }

    /// Adds a window to the sums of its members.
    fn add_to_members(&mut self, window: &WindowSums) {
        for (id, sum) in &window.sums {
            if let Some(history) = self.members.get_mut(id) {
                history.since = history.since.plus(*sum, 1.0);
            }
        }
    }

    /// Adds a window to the sums of its members and to the dispersion, then excludes outliers anew.
    pub fn add(&mut self, window: &WindowSums) {
        for (id, sum) in &window.sums {
            let Some(history) =
                self.members.get_mut(id).filter(|history| !history.released && !history.excluded)
            else {
                continue;
            };
            // Relative to the member's own rate, since a permanent difference is not dispersion.
            let own_rate = (5.0 + history.since.bad) / (5.0 + history.since.expected);
            history.block = (history.block.0 + sum.bad, history.block.1 + sum.expected * own_rate);
            history.block_windows += 1;
            if history.block_windows == BLOCK_WINDOWS {
                let (bad, expected) = std::mem::take(&mut history.block);
                self.squares.0 += (bad - expected).powi(2);
                self.squares.1 += expected;
                history.block_windows = 0;
            }
        }
        self.add_to_members(window);
        self.exclude_outliers();
    }

    /// The mean number of viewings that end badly together; 1 if bad ends are independent.
    pub fn dispersion(&self) -> f64 {
        ((self.squares.0 + 2.0 * PRIOR_WEIGHT) / (self.squares.1 + PRIOR_WEIGHT)).max(1.0)
    }

    /// Excludes outliers. Otherwise one unreleased member that blocks all viewings, or reports so, would raise the usual
    /// rate and hide a version that is worse by a few points.
    fn exclude_outliers(&mut self) {
        let deviation_of = |history: &MemberHistory| {
            (history.since.bad - history.since.expected) / (history.since.expected + 1.0).sqrt()
        };
        let unreleased = self.members.iter().filter(|(_, history)| !history.released);
        let deviations: Vec<(MemberId, f64)> =
            unreleased.map(|(id, history)| (*id, deviation_of(history))).collect();
        let middle = median(deviations.iter().map(|(_, deviation)| *deviation).collect());
        let spread =
            1.5 * median(deviations.iter().map(|(_, deviation)| (deviation - middle).abs()).collect());
        let is_outlier = |deviation: f64| (deviation - middle).abs() > OUTLIER_DISTANCE * spread.max(0.5);
        let outliers = deviations.iter().filter(|(_, deviation)| is_outlier(*deviation)).count();
        let few = outliers <= deviations.len() / MAX_OUTLIER_SHARE;
        for (id, deviation) in deviations {
            if let Some(history) = self.members.get_mut(&id) {
                history.excluded = few && is_outlier(deviation);
            }
        }
    }

    /// The sums so far of the members not released.
    pub fn sums_of_unreleased(&self) -> BTreeMap<MemberId, Sum> {
        let unreleased = self.members.iter().filter(|(_, history)| !history.released);
        unreleased.map(|(id, history)| (*id, history.since)).collect()
    }

    /// The sums before and after that moment of the members still not released.
    pub fn unreleased_since(&self, at_release: &BTreeMap<MemberId, Sum>) -> Vec<(Sum, Sum)> {
        let still = self.members.iter().filter(|(_, history)| !history.released && !history.excluded);
        let both = still.filter_map(|(id, history)| Some((*at_release.get(id)?, history.since)));
        let split = both.map(|(before, all)| (before, all.plus(before, -1.0)));
        split.filter(|(_, since)| since.asked > 0.0).collect()
    }

    /// The sums before and since its release of a released member that has had viewings since.
    pub fn released(&self, id: MemberId) -> Option<(Sum, Sum)> {
        let history = self.members.get(&id)?;
        (history.released && history.since.asked > 0.0).then_some((history.before, history.since))
    }
}
