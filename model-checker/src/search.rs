use std::collections::HashSet;
use std::mem::size_of;

use crate::{Bound, Report, Verdict, World};

/// How far a search may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Steps from the first state.
    pub depth: usize,
    /// States seen.
    pub states: usize,
    /// Bytes, by estimate: [`World::weight`] for each state still to be followed, and what is kept of each
    /// seen.
    pub bytes: usize,
}

impl Default for Limits {
    /// Ten million states in a gigabyte, as deep as they lead.
    fn default() -> Limits {
        Limits { depth: usize::MAX, states: 10_000_000, bytes: 1 << 30 }
    }
}

/// How a state was come to: from which one, by which step.
struct Came<S> {
    from: usize,
    by: Option<S>,
}

struct Search<S> {
    limits: Limits,
    came: Vec<Came<S>>,
    seen: HashSet<u128>,
    steps: usize,
    depth: usize,
}

/// Goes through all histories of `first`, shortest first, until one is bad, all states are seen or a bound
/// is hit.
pub fn explore<W: World>(first: W, limits: Limits) -> Report<W::Step> {
    let mut search = Search { limits, came: Vec::new(), seen: HashSet::new(), steps: 0, depth: 0 };
    let verdict = search.run(first);
    Report { verdict, states: search.came.len(), steps: search.steps, depth: search.depth }
}

impl<S: Clone + std::fmt::Debug> Search<S> {
    fn run<W: World<Step = S>>(&mut self, first: W) -> Verdict<S> {
        self.seen.insert(first.canonical());
        self.came.push(Came { from: 0, by: None });
        if let Some(why) = first.broken() {
            return self.history(0, why);
        }
        let mut front = vec![(0, first)];
        let mut cut = false;
        while !front.is_empty() {
            let mut next = Vec::new();
            let mut bytes: usize = front.iter().map(|(_, world)| world.weight()).sum();
            for (at, world) in &front {
                let steps = world.steps();
                if steps.is_empty() {
                    if let Some(why) = world.stuck() {
                        return self.history(*at, why);
                    }
                }
                // A state at the last depth with a step left is a state not followed: never called covered.
                if self.depth >= self.limits.depth {
                    cut |= !steps.is_empty();
                    continue;
                }
                for step in steps {
                    let mut then = world.clone();
                    then.take(&step);
                    self.steps += 1;
                    if !self.seen.insert(then.canonical()) {
                        continue;
                    }
                    let id = self.came.len();
                    self.came.push(Came { from: *at, by: Some(step) });
                    if let Some(why) = then.broken() {
                        self.depth += 1;
                        return self.history(id, why);
                    }
                    bytes += then.weight();
                    next.push((id, then));
                    if let Some(bound) = self.bound(bytes) {
                        self.depth += 1;
                        return Verdict::Bounded(bound);
                    }
                }
            }
            self.depth += usize::from(!next.is_empty());
            front = next;
        }
        if cut {
            return Verdict::Bounded(Bound::Depth);
        }
        Verdict::Covered
    }

    fn bound(&self, followed: usize) -> Option<Bound> {
        // A hash set of prints is between 7 in 16 and 7 in 8 full: about 32 bytes a print.
        let kept = self.came.len() * (size_of::<Came<S>>() + 32);
        match () {
            () if self.came.len() >= self.limits.states => Some(Bound::States),
            () if kept + followed >= self.limits.bytes => Some(Bound::Memory),
            () => None,
        }
    }

    fn history(&self, bad: usize, why: String) -> Verdict<S> {
        let mut history = Vec::new();
        let mut at = bad;
        while let Some(step) = &self.came[at].by {
            history.push(step.clone());
            at = self.came[at].from;
        }
        history.reverse();
        Verdict::Broken { why, history }
    }
}
