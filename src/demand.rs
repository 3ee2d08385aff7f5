//! Aggregates of the demand of viewings. They are maintained incrementally, so that a decision does not
//! iterate over all viewings. Nothing is decided here.

use crate::ids::{PackageIndex, Rung, ViewingId};
use crate::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Demand of a set of viewings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Sum of their rates in kB per second.
    pub kb: f64,
    /// Their number, each weighted with its package's rate factor. `kb / units` is the mean ladder rate.
    pub units: f64,
}

impl Demand {
    /// Demand of no viewing.
    pub const ZERO: Demand = Demand { kb: 0.0, units: 0.0 };

    /// The sum, or exactly zero once no viewing is left, so that rounding errors do not accumulate.
    pub fn plus(self, other: Demand) -> Demand {
        if self.units + other.units < 1e-6 {
            Demand::ZERO
        } else {
            Demand { kb: self.kb + other.kb, units: self.units + other.units }
        }
    }
}

/// Properties of a viewing that the split of a server depends on. Viewings of one class are interchangeable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandClass {
    pub package: PackageIndex,
    /// Highest rung that the viewing may be given.
    pub max_rung: Rung,
    /// Its present rung.
    pub rung: Rung,
    /// Whether it arrived in excess of its tenant's allowance.
    pub over_share: bool,
}

/// A class and the number of viewings in it.
pub type ClassCount = (DemandClass, f64);

impl DemandClass {
    /// Number of rungs between the present and the highest rung.
    pub fn below(&self) -> usize {
        self.max_rung.0.saturating_sub(self.rung.0)
    }
}

/// The counts after `count` viewings of the class `from` have moved to another rung.
pub fn with_moved(counts: &[ClassCount], from: DemandClass, count: f64, rung: usize) -> Vec<ClassCount> {
    let mut after: Vec<ClassCount> = counts.to_vec();
    after.iter_mut().filter(|(class, _)| *class == from).for_each(|(_, members)| *members -= count);
    add_count(&mut after, DemandClass { rung: Rung(rung), ..from }, count);
    after.retain(|(_, members)| *members > 0.0);
    after
}

/// Adds `count` viewings of a class.
pub fn add_count(counts: &mut Vec<ClassCount>, added: DemandClass, count: f64) {
    match counts.iter_mut().find(|(class, _)| *class == added) {
        Some((_, members)) => *members += count,
        None => counts.push((added, count)),
    }
}

#[derive(Clone, Debug, Default)]
struct ClassMembers {
    all: BTreeSet<ViewingId>,
    playing: BTreeSet<ViewingId>,
}

/// The viewings that play or are being set up at a server, by class.
#[derive(Clone, Debug, Default)]
pub struct ViewingsByClass {
    classes: BTreeMap<DemandClass, ClassMembers>,
}

impl ViewingsByClass {
    /// Adds a viewing of the class.
    pub fn add(&mut self, class: DemandClass, viewing: &ViewingId, playing: bool) {
        let members = self.classes.entry(class).or_default();
        members.all.insert(viewing.clone());
        if playing {
            members.playing.insert(viewing.clone());
        }
    }

    /// Removes a viewing of the class.
    pub fn remove(&mut self, class: DemandClass, viewing: &ViewingId) {
        if let Some(members) = self.classes.get_mut(&class) {
            members.all.remove(viewing);
            members.playing.remove(viewing);
            if members.all.is_empty() {
                self.classes.remove(&class);
            }
        }
    }

    /// Whether no viewing is counted.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// The number of viewings of each class.
    pub fn counts(&self) -> Vec<ClassCount> {
        self.classes.iter().map(|(class, members)| (*class, members.all.len() as f64)).collect()
    }

    /// One playing viewing of each class that has any.
    pub fn playing(&self) -> impl Iterator<Item = (DemandClass, &ViewingId)> {
        self.classes.iter().filter_map(|(class, members)| Some((*class, members.playing.last()?)))
    }
}

/// Recent changes of a manager's demand, at one server or in total, from which an earlier demand is computed.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    /// Newest last.
    changes: VecDeque<(Ms, Demand)>,
    /// While set, changes are not recorded: they concern this manager alone (it took over or lost viewings),
    /// and the demand counts as if it had always been so.
    pub detached: bool,
}

impl DemandHistory {
    /// Records a change, and drops those from before `oldest`.
    pub fn change(&mut self, now: Ms, oldest: Ms, by: Demand) {
        self.changes.drain(..self.changes.partition_point(|(at, _)| *at < oldest));
        if !self.detached {
            self.changes.push_back((now, by));
        }
    }

    /// Whether no change is recorded after that time.
    pub fn unchanged_since(&self, time: Ms) -> bool {
        self.changes.back().is_none_or(|(at, _)| *at <= time)
    }

    /// The demand at that time, given the present demand.
    pub fn at(&self, time: Ms, now: Demand) -> Demand {
        let since = self.changes.iter().rev().take_while(|(at, _)| *at > time);
        since.fold(now, |demand, (_, by)| Demand { kb: demand.kb - by.kb, units: demand.units - by.units })
    }
}

/// Weighted mean of the latest values of several keys, without outdated values. Weights are whole numbers and
/// start at 0.
#[derive(Clone, Debug)]
pub struct RecentMean<K> {
    values: BTreeMap<K, (Ms, f64)>,
    weights: BTreeMap<K, f64>,
    by_age: BTreeSet<(Ms, K)>,
    weighted_sum: f64,
    total_weight: f64,
}

impl<K: Ord + Clone> Default for RecentMean<K> {
    fn default() -> Self {
        let (values, weights, by_age) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        RecentMean { values, weights, by_age, weighted_sum: 0.0, total_weight: 0.0 }
    }
}

impl<K: Ord + Clone> RecentMean<K> {
    /// Replaces the key's value.
    pub fn set(&mut self, key: &K, at: Ms, value: f64) {
        self.forget(key);
        self.values.insert(key.clone(), (at, value));
        self.by_age.insert((at, key.clone()));
        self.adjust(key, 1.0);
    }

    /// Removes the key's value; its weight stays.
    pub fn forget(&mut self, key: &K) {
        self.adjust(key, -1.0);
        if let Some((at, _)) = self.values.remove(key) {
            self.by_age.remove(&(at, key.clone()));
        }
    }

    /// Adds to the key's weight.
    pub fn add_weight(&mut self, key: &K, added: f64) {
        self.adjust(key, -1.0);
        let weight = self.weights.get(key).copied().unwrap_or(0.0) + added;
        if weight > 0.0 {
            self.weights.insert(key.clone(), weight);
        } else {
            self.weights.remove(key);
        }
        self.adjust(key, 1.0);
    }

    /// Adds the key's contribution to the sums (`sign` 1) or removes it (`sign` -1).
    fn adjust(&mut self, key: &K, sign: f64) {
        if let (Some((_, value)), Some(weight)) = (self.values.get(key), self.weights.get(key)) {
            self.weighted_sum += sign * value * weight;
            self.total_weight += sign * weight;
        }
        if self.total_weight < 0.5 {
            // Weights are whole numbers, so only rounding errors are left.
            (self.weighted_sum, self.total_weight) = (0.0, 0.0);
        }
    }

    /// The mean of the values set after that time. Older ones are removed.
    pub fn mean(&mut self, after: Ms) -> Option<f64> {
        while let Some((_, key)) = self.by_age.first().filter(|(at, _)| *at <= after).cloned() {
            self.forget(&key);
        }
        (self.total_weight > 0.0).then(|| self.weighted_sum / self.total_weight)
    }
}
