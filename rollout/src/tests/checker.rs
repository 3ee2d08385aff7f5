//! Checks the simulated fleet in true time, with knowledge of its actual state.

use super::council::{Ballot, Value};
use super::simulation::{zone, PERIOD};
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// The actual state of the fleet.
pub struct Truth<'a> {
    pub now: Ms,
    /// Which members take viewings at this moment.
    pub serves: &'a [bool],
    pub councillors: usize,
    pub cut: &'a BTreeSet<(usize, usize)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// More members out by order than the bound of the fleet or of a zone.
    Bound,
    /// The same, including members gone by accident for longer than detection takes.
    Accidents,
    /// A member left after a halt, later than a permit may be used.
    Halt,
    /// Two councillors out by order.
    Councillors,
}

pub struct Checker {
    pub bounds: Bounds,
    pub use_ms: u32,
    /// Members that left by order and are not ready again.
    pub out: BTreeSet<usize>,
    pub most_seen: usize,
    pub went: usize,
    /// Since when each member takes no viewings, or cannot be heard by that councillor.
    since: BTreeMap<(usize, Option<usize>), Ms>,
    accepted: BTreeMap<Ballot, BTreeSet<usize>>,
    halted: Option<(Serial, Ms)>,
    pub halts: usize,
    pub broken: Option<(Ms, Broken)>,
}

impl Checker {
    pub fn new(bounds: Bounds, use_ms: u32) -> Checker {
        let (out, since, accepted) = Default::default();
        let (most_seen, went, halts) = (0, 0, 0);
        Checker { bounds, use_ms, out, most_seen, went, since, accepted, halted: None, halts, broken: None }
    }

    pub fn back(&mut self, node: usize) {
        self.out.remove(&node);
    }

    /// That councillor has accepted an order. It is chosen once a majority has accepted it.
    pub fn accepted(&mut self, now: Ms, node: usize, ballot: Ballot, value: &Value, councillors: usize) {
        let by = self.accepted.entry(ballot).or_default();
        by.insert(node);
        let Some(order) = Order::decode(&value.1).filter(|_| by.len() > councillors / 2) else { return };
        match self.halted {
            Some((serial, _)) if order.serial > serial => self.halted = None,
            _ => {}
        }
        if matches!(order.state, State::Halt | State::HaltedByEvidence) && self.halted.is_none() {
            self.halted = Some((order.serial, now));
            self.halts += 1;
        }
    }

    /// Has to be called whenever a member or a link changes.
    pub fn look(&mut self, truth: &Truth) {
        for (node, serves) in truth.serves.iter().enumerate() {
            self.note((node, None), !serves, truth.now);
            for one in 0..truth.councillors {
                self.note((node, Some(one)), truth.cut.contains(&(node, one)), truth.now);
            }
        }
    }

    fn note(&mut self, what: (usize, Option<usize>), ill: bool, now: Ms) {
        if ill {
            self.since.entry(what).or_insert(now);
        } else {
            self.since.remove(&what);
        }
    }

    pub fn goes(&mut self, node: usize, truth: &Truth) {
        self.look(truth);
        let now = truth.now;
        let use_for = Ms(f64::from(self.use_ms) * 1.02);
        self.out.insert(node);
        self.went += 1;
        self.most_seen = self.most_seen.max(self.out.len());
        let seen_after = PERIOD * 7.0 * 1.02 + use_for + Ms(100.0);
        let long = |it: &usize, by: Option<usize>| {
            self.since.get(&(*it, by)).is_some_and(|since| now - *since > seen_after)
        };
        let unheard = |it: &usize| {
            let by = (0..truth.councillors).filter(|one| one != it && long(it, Some(*one))).count();
            by > truth.councillors / 2
        };
        let gone = (0..truth.serves.len()).filter(|it| long(it, None) || unheard(it));
        let gone: BTreeSet<usize> = gone.chain(self.out.iter().copied()).collect();
        let past = self.halted.is_some_and(|it| now - it.1 > use_for + Ms(2.0));
        let broken = match () {
            _ if self.over(&self.out) => Broken::Bound,
            _ if self.over(&gone) => Broken::Accidents,
            _ if past => Broken::Halt,
            _ if self.out.iter().filter(|it| **it < truth.councillors).count() > 1 => Broken::Councillors,
            _ => return,
        };
        self.broken.get_or_insert((now, broken));
    }

    fn over(&self, out: &BTreeSet<usize>) -> bool {
        let zones = &self.bounds.zones;
        let inside = |of: &Name| out.iter().filter(|it| zone(**it) == *of).count();
        out.len() > usize::from(self.bounds.most_out)
            || zones.iter().any(|(of, it)| inside(of) > usize::from(it.1))
    }
}
