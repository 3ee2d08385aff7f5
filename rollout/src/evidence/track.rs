//! What each member did since it is watched: sums over windows, bounded by what is usual of the others.

use super::{median, sum::Sum, Told, FEWEST};
use crate::stand::ViewingCounts;
use crate::{InstanceId, MemberId};
use std::collections::BTreeMap;

/// Of one member, no more viewings count than so many times the median's. Symptom guarded against: one that tells
/// absurd counts is the whole fleet's rate, and hides or makes a difference by itself.
const WEIGHT: f64 = 4.0;
/// No set-up counts for more than so many times the median's time.
const LONG: f64 = 16.0;
/// So far from the median, in spreads, a member not released says nothing of what is usual ...
const FAR: f64 = 8.0;
/// ... unless more than one in so many are that far: then it is what is usual.
const ASIDE: usize = 10;
/// Windows that dispersion is looked at over: what ends badly together does so over some seconds.
const BLOCK: usize = 5;
/// Bad ends' worth of windows at a dispersion of 2, before any are seen.
const GUESS: f64 = 5.0;

#[derive(Clone, Debug)]
struct Track {
    life: InstanceId,
    last: ViewingCounts,
    released: bool,
    /// Before its release; none if it is not released.
    before: Sum,
    /// Since it is watched, or since its release.
    since: Sum,
    aside: bool,
    /// Bad ends and those expected of the windows since dispersion was last looked at.
    block: (f64, f64),
    blocked: usize,
}

/// One window of all.
#[derive(Debug, Default)]
pub(super) struct Steps {
    sums: BTreeMap<MemberId, Sum>,
    /// Bad ends by viewing and set-up time of those not released; `None` if too few are seen.
    pub usual: Option<(f64, f64)>,
    /// A released one was asked too.
    pub both: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Tracks {
    all: BTreeMap<MemberId, Track>,
    /// Squares of what bad ends were beside what was expected, and what they would be one by one.
    squares: (f64, f64),
}

impl Tracks {
    /// Takes in who is there and who is newly released. A life's whole history is taken when it is first seen and not
    /// released: it tells how that member differs for good.
    pub fn look(&mut self, members: &BTreeMap<MemberId, Told>) -> Vec<MemberId> {
        let mut fresh = BTreeMap::new();
        let mut released = Vec::new();
        for (&id, told) in members {
            let (life, last) = (told.life, told.counts);
            let Some(track) = self.all.get_mut(&id) else {
                let (before, since) = (Sum::default(), Sum::default());
                self.all.insert(
                    id,
                    Track {
                        life,
                        last,
                        released: told.released,
                        before,
                        since,
                        aside: false,
                        block: (0.0, 0.0),
                        blocked: 0,
                    },
                );
                match told.released {
                    true => released.push(id),
                    false => {
                        fresh.insert(id, Sum::of(&ViewingCounts::default(), &last).unwrap_or_default());
                    }
                }
                continue;
            };
            // A life begins with doubts and holds nothing that could break off: what it counted until it was seen
            // whole is left out.
            if track.life != life || Sum::of(&track.last, &last).is_none() {
                (track.life, track.last) = (life, last);
            }
            if track.released != told.released {
                track.before = if told.released { track.since } else { Sum::default() };
                (track.released, track.since, track.aside) = (told.released, Sum::default(), false);
                if told.released {
                    released.push(id);
                }
            }
        }
        let mut steps = Steps { sums: fresh, ..Steps::default() };
        if self.judge(&mut steps, |_| true) {
            self.take(&steps);
        }
        released
    }

    /// What each did since it was last seen with viewings.
    pub fn steps(&mut self, members: &BTreeMap<MemberId, Told>) -> Steps {
        let mut steps = Steps::default();
        for (id, told) in members {
            let Some(track) = self.all.get_mut(id) else { continue };
            // No viewings: what broke off meanwhile counts with the next ones.
            let step = Sum::of(&track.last, &told.counts).filter(|it| it.asked > 0.0);
            if let Some(step) = step {
                track.last = told.counts;
                steps.sums.insert(*id, step);
            }
        }
        let usual: BTreeMap<MemberId, bool> =
            self.all.iter().map(|(id, it)| (*id, !it.released && !it.aside)).collect();
        self.judge(&mut steps, |id| usual.get(&id) == Some(&true));
        steps.both = steps.sums.keys().any(|id| self.all.get(id).is_some_and(|it| it.released));
        steps
    }

    /// Bounds each and says what would have been expected of it.
    fn judge(&self, steps: &mut Steps, usual: impl Fn(MemberId) -> bool) -> bool {
        let most = WEIGHT * median(steps.sums.values().map(|it| it.asked).collect());
        let by = |it: &Sum| if it.asked > most { most / it.asked } else { 1.0 };
        for sum in steps.sums.values_mut() {
            let by = by(sum);
            (sum.asked, sum.bad) = (sum.asked * by, sum.bad * by);
            (sum.ups, sum.up_ms) = (sum.ups * by, sum.up_ms * by);
        }
        let of: Vec<Sum> = steps.sums.iter().filter(|it| usual(*it.0)).map(|it| *it.1).collect();
        if of.len() < FEWEST {
            return false;
        }
        let all = of.iter().fold(Sum::default(), |all, it| all.plus(*it, 1.0));
        let (rate, time) = (all.bad / all.asked, median(of.iter().filter_map(Sum::mean).collect()));
        for sum in steps.sums.values_mut() {
            sum.expected = sum.asked * rate;
            sum.up_expected = sum.ups * time;
            sum.up_ms = sum.up_ms.min(LONG * sum.up_expected);
        }
        steps.usual = Some((rate, time));
        true
    }

    fn take(&mut self, steps: &Steps) {
        for (id, sum) in &steps.sums {
            if let Some(track) = self.all.get_mut(id) {
                track.since = track.since.plus(*sum, 1.0);
            }
        }
    }

    pub fn add(&mut self, steps: &Steps) {
        for (id, sum) in &steps.sums {
            let Some(track) = self.all.get_mut(id).filter(|it| !it.released && !it.aside) else { continue };
            // As it usually is: what lasts is no dispersion.
            let own = (5.0 + track.since.bad) / (5.0 + track.since.expected);
            track.block = (track.block.0 + sum.bad, track.block.1 + sum.expected * own);
            track.blocked += 1;
            if track.blocked == BLOCK {
                let (bad, expected) = std::mem::take(&mut track.block);
                self.squares.0 += (bad - expected).powi(2);
                self.squares.1 += expected;
                track.blocked = 0;
            }
        }
        self.take(steps);
        self.set_aside();
    }

    /// How many end badly together: 1 if each by itself.
    pub fn dispersion(&self) -> f64 {
        ((self.squares.0 + 2.0 * GUESS) / (self.squares.1 + GUESS)).max(1.0)
    }

    /// Symptom guarded against: one not released that blocks all, or says so, lifts what is usual, and hides a version
    /// that is worse by a few points.
    fn set_aside(&mut self) {
        let off = |it: &Track| (it.since.bad - it.since.expected) / (it.since.expected + 1.0).sqrt();
        let offs: Vec<(MemberId, f64)> =
            self.all.iter().filter(|it| !it.1.released).map(|(id, it)| (*id, off(it))).collect();
        let middle = median(offs.iter().map(|it| it.1).collect());
        let spread = 1.5 * median(offs.iter().map(|it| (it.1 - middle).abs()).collect());
        let far = |it: f64| (it - middle).abs() > FAR * spread.max(0.5);
        let few = offs.iter().filter(|it| far(it.1)).count() <= offs.len() / ASIDE;
        for (id, off) in offs {
            if let Some(track) = self.all.get_mut(&id) {
                track.aside = few && far(off);
            }
        }
    }

    /// Of those not released, all so far.
    pub fn stood(&self) -> BTreeMap<MemberId, Sum> {
        self.all.iter().filter(|it| !it.1.released).map(|(id, it)| (*id, it.since)).collect()
    }

    /// Of those not released still: before and after that moment.
    pub fn others(&self, stood: &BTreeMap<MemberId, Sum>) -> Vec<(Sum, Sum)> {
        let still = self.all.iter().filter(|it| !it.1.released && !it.1.aside);
        let both = still.filter_map(|(id, it)| Some((*stood.get(id)?, it.since)));
        both.map(|(before, all)| (before, all.plus(before, -1.0))).filter(|it| it.1.asked > 0.0).collect()
    }

    pub fn released(&self, id: MemberId) -> Option<(Sum, Sum)> {
        let track = self.all.get(&id)?;
        (track.released && track.since.asked > 0.0).then_some((track.before, track.since))
    }
}
