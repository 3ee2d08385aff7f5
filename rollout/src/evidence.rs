//! What halts a release by itself: those released against those not yet released in the same seconds. The unit is
//! the member and not the viewing, since viewings end badly together and members differ for good. Each released
//! member is held against what its own history and the others' same seconds make likely (Gamma and Poisson, as
//! Robbins 1970 mixes); that likelihood ratio is then divided by the mean of the same ratio at those not released,
//! as if they had been (a soft rank: under exchangeable members its mean is 1 whatever the model is worth). What
//! was weighed, and figures: `docs/releases-evidence.md`.

mod fit;
mod rank;
mod set_up;
mod sum;
#[cfg(test)]
mod tests;
mod track;

use crate::order::HaltPolicy;
use crate::stand::ViewingCounts;
use crate::{InstanceId, MemberId};
use fit::Fit;
use std::collections::BTreeMap;
use sum::Sum;
use track::Tracks;

/// Fewer not released than that say nothing of what is usual.
const FEWEST: usize = 3;
/// Moments of release told apart; those released later are held against the last one.
const COHORTS: usize = 4;
/// Windows from one such moment to the next.
const APART: u64 = 5;
/// How often `points` more may be called ruled out though they are there.
const MISSED: f64 = 0.05;
/// `points` more, twice and four times as many, and how much of the alarms each gets.
const TIMES: [(f64, f64); 3] = [(1.0, 0.5), (2.0, 0.25), (4.0, 0.25)];

/// What a member that is whole has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub life: InstanceId,
    /// It is of the version ordered.
    pub released: bool,
    /// Since that life began, not since the last look.
    pub counts: ViewingCounts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    BadEnds,
    SetUpTime,
}

/// Evidence that halts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub what: What,
    pub figures: Figures,
}

/// For an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Windows in which released and not released were seen side by side.
    pub windows: u64,
    pub released: Side,
    pub not_released: Side,
    /// Points of a hundred that those released end badly more often, over all windows side by side.
    pub points: f64,
    /// Set-up time of those released as a part of that of the others, each against its own before; 1: equal.
    pub set_up: f64,
    /// Natural logarithms: of the evidence in bad ends, in set-up times, and of what halts.
    pub bad_ends: f64,
    pub set_ups: f64,
    pub halts_at: f64,
    /// So many `points` more are ruled out (but for 5 in 100); a step that waits for it can't have hidden them.
    pub cleared: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Side {
    pub members: usize,
    pub asked: f64,
    pub bad: f64,
}

/// Those not released as they stood when some were.
#[derive(Clone, Debug)]
struct Cohort {
    window: u64,
    stood: BTreeMap<MemberId, Sum>,
}

/// Of one release; a new one begins with none. Equal inputs give equal outputs.
#[derive(Clone, Debug)]
pub struct Evidence {
    halt_policy: HaltPolicy,
    tracks: Tracks,
    cohorts: Vec<Cohort>,
    /// Which of them each released one is of.
    cohort_of: BTreeMap<MemberId, usize>,
    window: u64,
    figures: Figures,
}

impl Evidence {
    pub fn new(halt_policy: HaltPolicy) -> Evidence {
        let alarms = f64::from(halt_policy.alarms.clamp(1, 10_000)) / 10_000.0;
        // Bad ends and set-up times have half of the alarms each.
        let figures = Figures { halts_at: (2.0 / alarms).ln(), set_up: 1.0, ..Figures::default() };
        let tracks = Tracks::default();
        Evidence { halt_policy, tracks, cohorts: Vec::new(), cohort_of: BTreeMap::new(), window: 0, figures }
    }

    /// The members that are whole (settled, not out and not suspected), as told by now. Begin before the first is
    /// released; a member that is left out and comes back counts from then on. The verdict repeats while it holds.
    pub fn window(&mut self, members: &BTreeMap<MemberId, Told>) -> Option<Verdict> {
        self.window += 1;
        let released = self.tracks.look(members);
        for id in released {
            self.release(id);
        }
        let steps = self.tracks.steps(members);
        if steps.usual.is_some() {
            self.tracks.add(&steps);
        }
        // Nothing new side by side moves nothing.
        if !self.cohorts.is_empty() && steps.usual.is_some() && steps.both {
            self.weigh();
        }
        let halts = |it: f64| self.halt_policy.by_evidence && it >= self.figures.halts_at;
        let what = match (halts(self.figures.bad_ends), halts(self.figures.set_ups)) {
            (true, _) => What::BadEnds,
            (_, true) => What::SetUpTime,
            _ => return None,
        };
        Some(Verdict { what, figures: self.figures })
    }

    pub fn told(&self) -> Figures {
        self.figures
    }

    fn release(&mut self, id: MemberId) {
        let again = self.cohorts.last().is_none_or(|it| self.window >= it.window + APART);
        if again && self.cohorts.len() < COHORTS {
            self.cohorts.push(Cohort { window: self.window, stood: self.tracks.stood() });
        }
        self.cohort_of.insert(id, self.cohorts.len() - 1);
    }

    fn weigh(&mut self) {
        let (mut bad_ends, mut set_ups) = ([0.0; TIMES.len()], [0.0; set_up::TIMES.len()]);
        let (mut least_usual, mut count) = (usize::MAX, 0);
        let (mut up_sum, mut ups, mut ruled_out) = (0.0, 0.0, 0.0);
        for (at, cohort) in self.cohorts.iter().enumerate() {
            let others = self.tracks.others(&cohort.stood);
            let ours: Vec<(Sum, Sum)> = self.of_cohort(at).collect();
            if others.len() < FEWEST || ours.is_empty() {
                continue;
            }
            (least_usual, count) = (least_usual.min(others.len()), count + ours.len());
            let fit = Fit::of(&others, self.tracks.dispersion());
            let points = f64::from(self.halt_policy.points.clamp(1, 100)) / 100.0;
            for (sum, (times, _)) in bad_ends.iter_mut().zip(TIMES) {
                let (log, plain) = fit.evidence(&others, &ours, points * times);
                *sum += log;
                ruled_out += if times == 1.0 { plain } else { 0.0 };
            }
            let slow = set_up::Fit::of(&others);
            for (sum, more) in set_ups.iter_mut().zip(set_up::TIMES) {
                *sum += slow.evidence(&others, &ours, more);
            }
            let (sum, of) = slow.mean(&ours);
            (up_sum, ups) = (up_sum + sum, ups + of);
        }
        if count == 0 {
            return;
        }
        // What is usual is known from the others only, and errors in it count for each of ours: twice what two equal
        // groups would lose by it, since those few that matter most vary more than all.
        let known = least_usual as f64 / (least_usual + 2 * count) as f64;
        let parts = TIMES.map(|(_, part)| part);
        self.figures.bad_ends = mixed(&bad_ends, &parts, known);
        let parts = [1.0 / set_ups.len() as f64; set_up::TIMES.len()];
        self.figures.set_ups = mixed(&set_ups, &parts, known);
        self.figures.cleared = ruled_out * known <= MISSED.ln();
        self.figures.set_up = if ups > 0.0 { (up_sum / ups).exp() } else { 1.0 };
        self.figures.windows += 1;
        self.sides();
    }

    /// Before and since its release, of each released one.
    fn of_cohort(&self, at: usize) -> impl Iterator<Item = (Sum, Sum)> + '_ {
        let ours = self.cohort_of.iter().filter(move |it| *it.1 == at);
        ours.filter_map(|(id, _)| self.tracks.released(*id))
    }

    fn sides(&mut self) {
        let side = |sums: &mut dyn Iterator<Item = Sum>| {
            sums.fold(Side::default(), |it, sum| Side {
                members: it.members + 1,
                asked: it.asked + sum.asked,
                bad: it.bad + sum.bad,
            })
        };
        let first = &self.cohorts[0].stood;
        self.figures.not_released = side(&mut self.tracks.others(first).into_iter().map(|it| it.1));
        let ours = self.cohort_of.keys().filter_map(|id| self.tracks.released(*id));
        let ours: Vec<Sum> = ours.map(|it| it.1).collect();
        self.figures.released = side(&mut ours.iter().copied());
        let expected: f64 = ours.iter().map(|it| it.expected).sum();
        let Side { asked, bad, .. } = self.figures.released;
        self.figures.points = if asked > 0.0 { 100.0 * (bad - expected) / asked } else { 0.0 };
    }
}

/// The logarithm of the mean of evidence for several sizes of a difference.
fn mixed(logs: &[f64], parts: &[f64], known: f64) -> f64 {
    let most = logs.iter().fold(f64::MIN, |most, it| most.max(it * known));
    let sum: f64 = logs.iter().zip(parts).map(|(it, part)| part * (it * known - most).exp()).sum();
    most + sum.ln()
}

/// The middle; of none, 0.
fn median(mut list: Vec<f64>) -> f64 {
    list.sort_by(f64::total_cmp);
    let half = list.len() / 2;
    match list.len() {
        0 => 0.0,
        odd if odd % 2 == 1 => list[half],
        _ => (list[half - 1] + list[half]) / 2.0,
    }
}
