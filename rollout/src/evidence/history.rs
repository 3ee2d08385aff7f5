//! The history of each member: sums over windows, bounded by what is usual at the others.

use super::{median, sum::Sum, MemberSample, MIN_MEMBERS};
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
    life: InstanceId,
    last: ViewingCounts,
    released: bool,
    /// The sums before its release; empty if it is not released.
    before: Sum,
    /// The sums since its first sample, or since its release.
    since: Sum,
    excluded: bool,
    /// Actual and expected bad ends of the windows in the current block.
    block: (f64, f64),
    blocked: usize,
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
    /// Updates the members and returns those newly released. The whole history of a life counts when it is first seen
    /// unreleased, since it shows how that member differs permanently.
    pub fn update_members(&mut self, members: &BTreeMap<MemberId, MemberSample>) -> Vec<MemberId> {
        let mut fresh = BTreeMap::new();
        let mut released = Vec::new();
        for (&id, sample) in members {
            let (life, last) = (sample.life, sample.counts);
            let Some(history) = self.members.get_mut(&id) else {
                let (before, since) = (Sum::default(), Sum::default());
                self.members.insert(
                    id,
                    MemberHistory {
                        life,
                        last,
                        released: sample.released,
                        before,
                        since,
                        excluded: false,
                        block: (0.0, 0.0),
                        blocked: 0,
                    },
                );
                match sample.released {
                    true => released.push(id),
                    false => {
                        fresh.insert(id, Sum::of(&ViewingCounts::default(), &last).unwrap_or_default());
                    }
                }
                continue;
            };
            // A life begins with uncertainty about its servers and has no viewings that could break off. What it counted
            // before it was seen ready is left out.
            if history.life != life || Sum::of(&history.last, &last).is_none() {
                (history.life, history.last) = (life, last);
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
            let step = Sum::of(&history.last, &sample.counts).filter(|it| it.asked > 0.0);
            if let Some(step) = step {
                history.last = sample.counts;
                window.sums.insert(*id, step);
            }
        }
        let usual: BTreeMap<MemberId, bool> =
            self.members.iter().map(|(id, it)| (*id, !it.released && !it.excluded)).collect();
        self.add_expectations(&mut window, |id| usual.get(&id) == Some(&true));
        window.both = window.sums.keys().any(|id| self.members.get(id).is_some_and(|it| it.released));
        window
    }

    /// Bounds each member's sums and sets what would have been expected of them.
    fn add_expectations(&self, window: &mut WindowSums, usual: impl Fn(MemberId) -> bool) -> bool {
        let most = MAX_WEIGHT * median(window.sums.values().map(|it| it.asked).collect());
        let by = |it: &Sum| if it.asked > most { most / it.asked } else { 1.0 };
        for sum in window.sums.values_mut() {
            let by = by(sum);
            (sum.asked, sum.bad) = (sum.asked * by, sum.bad * by);
            (sum.set_ups, sum.set_up_ms) = (sum.set_ups * by, sum.set_up_ms * by);
        }
        let of: Vec<Sum> = window.sums.iter().filter(|it| usual(*it.0)).map(|it| *it.1).collect();
        if of.len() < MIN_MEMBERS {
            return false;
        }
        let all = of.iter().fold(Sum::default(), |all, it| all.plus(*it, 1.0));
        let (rate, time) = (all.bad / all.asked, median(of.iter().filter_map(Sum::mean).collect()));
        for sum in window.sums.values_mut() {
            sum.expected = sum.asked * rate;
            sum.expected_set_up_ms = sum.set_ups * time;
            sum.set_up_ms = sum.set_up_ms.min(MAX_SET_UP_FACTOR * sum.expected_set_up_ms);
        }
        window.usual = Some((rate, time));
        true
    }

    fn add_to_members(&mut self, window: &WindowSums) {
        for (id, sum) in &window.sums {
            if let Some(history) = self.members.get_mut(id) {
                history.since = history.since.plus(*sum, 1.0);
            }
        }
    }

    pub fn add(&mut self, window: &WindowSums) {
        for (id, sum) in &window.sums {
            let Some(history) = self.members.get_mut(id).filter(|it| !it.released && !it.excluded) else {
                continue;
            };
            // Relative to the member's own rate, since a permanent difference is not dispersion.
            let own = (5.0 + history.since.bad) / (5.0 + history.since.expected);
            history.block = (history.block.0 + sum.bad, history.block.1 + sum.expected * own);
            history.blocked += 1;
            if history.blocked == BLOCK_WINDOWS {
                let (bad, expected) = std::mem::take(&mut history.block);
                self.squares.0 += (bad - expected).powi(2);
                self.squares.1 += expected;
                history.blocked = 0;
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
        let off = |it: &MemberHistory| (it.since.bad - it.since.expected) / (it.since.expected + 1.0).sqrt();
        let offs: Vec<(MemberId, f64)> =
            self.members.iter().filter(|it| !it.1.released).map(|(id, it)| (*id, off(it))).collect();
        let middle = median(offs.iter().map(|it| it.1).collect());
        let spread = 1.5 * median(offs.iter().map(|it| (it.1 - middle).abs()).collect());
        let far = |it: f64| (it - middle).abs() > OUTLIER_DISTANCE * spread.max(0.5);
        let few = offs.iter().filter(|it| far(it.1)).count() <= offs.len() / MAX_OUTLIER_SHARE;
        for (id, off) in offs {
            if let Some(history) = self.members.get_mut(&id) {
                history.excluded = few && far(off);
            }
        }
    }

    /// The sums so far of the members not released.
    pub fn sums_of_unreleased(&self) -> BTreeMap<MemberId, Sum> {
        self.members.iter().filter(|it| !it.1.released).map(|(id, it)| (*id, it.since)).collect()
    }

    /// The sums before and after that moment of the members still not released.
    pub fn unreleased_since(&self, at_release: &BTreeMap<MemberId, Sum>) -> Vec<(Sum, Sum)> {
        let still = self.members.iter().filter(|it| !it.1.released && !it.1.excluded);
        let both = still.filter_map(|(id, it)| Some((*at_release.get(id)?, it.since)));
        both.map(|(before, all)| (before, all.plus(before, -1.0))).filter(|it| it.1.asked > 0.0).collect()
    }

    pub fn released(&self, id: MemberId) -> Option<(Sum, Sum)> {
        let history = self.members.get(&id)?;
        (history.released && history.since.asked > 0.0).then_some((history.before, history.since))
    }
}
