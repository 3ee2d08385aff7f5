//! Counts that are kept as things change, so that a decision need not go through all that is held. No
//! decision lies in here; bounds are given.

use crate::ids::{PackageIndex, Rung, ViewingId};
use crate::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What viewings ask in kB a second, and over the ladder's rates: their number, each by its package.
pub type Own = (f64, f64);

pub fn added(a: Own, b: Own) -> Own {
    // Nothing held asks nothing, whatever fractions are left over.
    if a.1 + b.1 < 1e-6 {
        (0.0, 0.0)
    } else {
        (a.0 + b.0, a.1 + b.1)
    }
}

/// A viewing's part in the split of a server; those alike in all of it are alike to every decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Asker {
    pub package: PackageIndex,
    pub best: Rung,
    pub rung: Rung,
    pub over_share: bool,
}

/// Askers that are alike, and their number.
pub type Counted = (Asker, f64);

impl Asker {
    /// Rungs below the request.
    pub fn below(&self) -> usize {
        self.best.0.saturating_sub(self.rung.0)
    }
}

/// Of the askers like that one, so many at another rung.
pub fn moved(askers: &[Counted], from: Asker, count: f64, rung: usize) -> Vec<Counted> {
    let mut after: Vec<Counted> = askers.to_vec();
    after.iter_mut().filter(|it| it.0 == from).for_each(|it| it.1 -= count);
    put(&mut after, Asker { rung: Rung(rung), ..from }, count);
    after.retain(|it| it.1 > 0.0);
    after
}

/// So many more like that one.
pub fn put(askers: &mut Vec<Counted>, one: Asker, count: f64) {
    match askers.iter_mut().find(|it| it.0 == one) {
        Some(there) => there.1 += count,
        None => askers.push((one, count)),
    }
}

#[derive(Clone, Debug, Default)]
struct Rank {
    all: BTreeSet<ViewingId>,
    playing: BTreeSet<ViewingId>,
}

/// The viewings that a server holds or sets up, by what they ask.
#[derive(Clone, Debug, Default)]
pub struct Census {
    ranks: BTreeMap<Asker, Rank>,
}

impl Census {
    pub fn add(&mut self, asker: Asker, vw: &ViewingId, playing: bool) {
        let rank = self.ranks.entry(asker).or_default();
        rank.all.insert(vw.clone());
        if playing {
            rank.playing.insert(vw.clone());
        }
    }

    pub fn remove(&mut self, asker: Asker, vw: &ViewingId) {
        if let Some(rank) = self.ranks.get_mut(&asker) {
            rank.all.remove(vw);
            rank.playing.remove(vw);
            if rank.all.is_empty() {
                self.ranks.remove(&asker);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub fn counts(&self) -> Vec<Counted> {
        self.ranks.iter().map(|(asker, rank)| (*asker, rank.all.len() as f64)).collect()
    }

    /// Of each kind of asker one that plays, where any does.
    pub fn playing(&self) -> impl Iterator<Item = (Asker, &ViewingId)> {
        self.ranks.iter().filter_map(|(asker, rank)| Some((*asker, rank.playing.last()?)))
    }
}

/// What a manager's viewings asked before now, at one server or in all.
#[derive(Clone, Debug, Default)]
pub struct Past {
    /// Changes, newest last.
    changes: VecDeque<(Ms, Own)>,
    /// What changes now is this manager's alone: it counts as if it had always been so.
    pub apart: bool,
}

impl Past {
    /// Changes before `old` are forgotten.
    pub fn change(&mut self, now: Ms, old: Ms, by: Own) {
        self.changes.drain(..self.changes.partition_point(|it| it.0 < old));
        if !self.apart {
            self.changes.push_back((now, by));
        }
    }

    /// Nothing changed after that time.
    pub fn unchanged_since(&self, at: Ms) -> bool {
        self.changes.back().is_none_or(|it| it.0 <= at)
    }

    /// What was asked then, from what is asked now.
    pub fn at(&self, at: Ms, now: Own) -> Own {
        let since = self.changes.iter().rev().take_while(|it| it.0 > at);
        since.fold(now, |(kb, n), it| (kb - it.1 .0, n - it.1 .1))
    }
}

/// The mean of what was last noted of each key, as far as it is recent; each key has a weight, at first 0.
#[derive(Clone, Debug)]
pub struct RecentMean<K> {
    notes: BTreeMap<K, (Ms, f64)>,
    weights: BTreeMap<K, f64>,
    by_age: BTreeSet<(Ms, K)>,
    sum: f64,
    weight: f64,
}

impl<K: Ord + Clone> Default for RecentMean<K> {
    fn default() -> Self {
        let (notes, weights, by_age) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        RecentMean { notes, weights, by_age, sum: 0.0, weight: 0.0 }
    }
}

impl<K: Ord + Clone> RecentMean<K> {
    pub fn note(&mut self, key: &K, at: Ms, value: f64) {
        self.forget(key);
        self.notes.insert(key.clone(), (at, value));
        self.by_age.insert((at, key.clone()));
        self.count(key, 1.0);
    }

    pub fn forget(&mut self, key: &K) {
        self.count(key, -1.0);
        if let Some((at, _)) = self.notes.remove(key) {
            self.by_age.remove(&(at, key.clone()));
        }
    }

    /// Adds to a key's weight.
    pub fn weigh(&mut self, key: &K, more: f64) {
        self.count(key, -1.0);
        let weight = self.weights.get(key).copied().unwrap_or(0.0) + more;
        if weight > 0.0 {
            self.weights.insert(key.clone(), weight);
        } else {
            self.weights.remove(key);
        }
        self.count(key, 1.0);
    }

    fn count(&mut self, key: &K, sign: f64) {
        if let (Some((_, value)), Some(weight)) = (self.notes.get(key), self.weights.get(key)) {
            self.sum += sign * value * weight;
            self.weight += sign * weight;
        }
        if self.weight < 0.5 {
            // Weights are whole numbers: nothing is left but fractions.
            (self.sum, self.weight) = (0.0, 0.0);
        }
    }

    /// The mean of what was noted after that time; what is older is forgotten.
    pub fn mean(&mut self, after: Ms) -> Option<f64> {
        while let Some((_, key)) = self.by_age.first().filter(|it| it.0 <= after).cloned() {
            self.forget(&key);
        }
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}
