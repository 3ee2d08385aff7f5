use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Formatter};
use std::hash::{Hash, Hasher};

use super::{Faults, Machine, Memory, Out, Rates};

/// A machine's place in a [`Net`], from 0.
pub type Node = usize;

/// A machine, and how it stands.
#[derive(Clone, Debug)]
pub struct Spot<M> {
    pub machine: M,
    pub up: bool,
    pub paused: bool,
    /// Its own clock, in clock units.
    pub clock: u32,
}

/// All machines and all between them. Messages in flight are an ordered multiset: any may come next.
#[derive(Clone)]
pub struct Net<M: Machine> {
    pub spots: Vec<Spot<M>>,
    /// (from, to, message) and how many of it are on the way.
    pub flight: BTreeMap<(Node, Node, M::Message), u8>,
    pub cuts: BTreeSet<(Node, Node)>,
    /// What may still go wrong.
    pub left: Faults,
    /// Ticks of true time since the start. Machines never see it.
    pub truth: u32,
    // The same in every state of one world, so not in its print.
    rates: Rates,
    cuttable: Vec<(Node, Node)>,
}

/// One thing that may happen.
#[derive(Clone)]
pub enum NetStep<M: Machine> {
    Deliver(Node, Node, M::Message),
    Lose(Node, Node, M::Message),
    Double(Node, Node, M::Message),
    Act(Node, M::Act),
    Cut(Node, Node),
    Heal(Node, Node),
    Crash(Node),
    Restart(Node, Memory),
    Pause(Node),
    Resume(Node),
    /// True time goes on by one; clocks by this row of the rates.
    Tick(usize),
}

impl<M: Machine> Debug for NetStep<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            NetStep::Deliver(from, to, message) => write!(f, "deliver {from} -> {to}: {message:?}"),
            NetStep::Lose(from, to, message) => write!(f, "lose {from} -> {to}: {message:?}"),
            NetStep::Double(from, to, message) => write!(f, "double {from} -> {to}: {message:?}"),
            NetStep::Act(node, act) => write!(f, "{node} does {act:?}"),
            NetStep::Cut(from, to) => write!(f, "cut {from} -> {to}"),
            NetStep::Heal(from, to) => write!(f, "heal {from} -> {to}"),
            NetStep::Crash(node) => write!(f, "{node} crashes"),
            NetStep::Restart(node, memory) => write!(f, "{node} starts again, memory {memory:?}"),
            NetStep::Pause(node) => write!(f, "{node} is paused"),
            NetStep::Resume(node) => write!(f, "{node} goes on"),
            NetStep::Tick(row) => write!(f, "a tick, clocks by row {row}"),
        }
    }
}

impl<M: Machine> Net<M> {
    /// `machines` with clocks at 0, all up, nothing in flight. Without `rates` every clock goes one unit a
    /// tick.
    pub fn new(machines: Vec<M>, faults: Faults, rates: Rates) -> Net<M> {
        let spot = |machine| Spot { machine, up: true, paused: false, clock: 0 };
        let spots: Vec<Spot<M>> = machines.into_iter().map(spot).collect();
        let count = spots.len();
        let rates = if rates.is_empty() { vec![vec![1; count]] } else { rates };
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        let cuttable = pairs.filter(|(from, to)| from != to).collect();
        Net { spots, flight: BTreeMap::new(), cuts: BTreeSet::new(), left: faults, truth: 0, rates, cuttable }
    }

    /// Only these ways, from one to another, may be cut; else any may.
    #[must_use]
    pub fn cut_only(mut self, ways: &[(Node, Node)]) -> Net<M> {
        self.cuttable = ways.to_vec();
        self
    }

    /// All that may happen next. Pausing is a fault only where acts fall due ([`Machine::due`]): elsewhere
    /// any machine may be late anyway.
    pub fn steps(&self) -> Vec<NetStep<M>> {
        let mut steps = Vec::new();
        for (from, to, message) in self.flight.keys() {
            if self.runs(*to) {
                steps.push(NetStep::Deliver(*from, *to, message.clone()));
            }
            if self.left.lose > 0 {
                steps.push(NetStep::Lose(*from, *to, message.clone()));
            }
            if self.left.double > 0 {
                steps.push(NetStep::Double(*from, *to, message.clone()));
            }
        }
        for (node, spot) in self.spots.iter().enumerate() {
            self.node_steps(node, spot, &mut steps);
        }
        if self.left.cut > 0 {
            let open = self.cuttable.iter().filter(|pair| !self.cuts.contains(pair));
            steps.extend(open.map(|(from, to)| NetStep::Cut(*from, *to)));
        }
        steps.extend(self.cuts.iter().map(|(from, to)| NetStep::Heal(*from, *to)));
        let due = |spot: &Spot<M>| spot.up && !spot.paused && spot.machine.due(spot.clock);
        if self.left.ticks > 0 && !self.spots.iter().any(due) {
            steps.extend((0..self.rates.len()).map(NetStep::Tick));
        }
        steps
    }

    fn node_steps(&self, node: Node, spot: &Spot<M>, steps: &mut Vec<NetStep<M>>) {
        if !spot.up {
            steps.push(NetStep::Restart(node, Memory::Kept));
            if self.left.forget > 0 {
                steps.push(NetStep::Restart(node, Memory::Lost));
            }
            return;
        }
        if self.left.crash > 0 {
            steps.push(NetStep::Crash(node));
        }
        if spot.paused {
            steps.push(NetStep::Resume(node));
            return;
        }
        if self.left.pause > 0 {
            steps.push(NetStep::Pause(node));
        }
        steps.extend(spot.machine.acts(spot.clock).into_iter().map(|act| NetStep::Act(node, act)));
    }

    fn runs(&self, node: Node) -> bool {
        self.spots[node].up && !self.spots[node].paused
    }

    /// Lets one of [`Net::steps`] happen.
    pub fn take(&mut self, step: &NetStep<M>) {
        match step {
            NetStep::Deliver(from, to, message) => {
                self.off(&(*from, *to, message.clone()));
                self.with(*to, |machine, clock, out| machine.hear(clock, *from, message, out));
            }
            NetStep::Lose(from, to, message) => {
                self.off(&(*from, *to, message.clone()));
                self.left.lose -= 1;
            }
            NetStep::Double(from, to, message) => {
                *self.flight.entry((*from, *to, message.clone())).or_default() += 1;
                self.left.double -= 1;
            }
            NetStep::Act(node, act) => self.with(*node, |machine, clock, out| machine.act(clock, act, out)),
            NetStep::Cut(from, to) => {
                self.cuts.insert((*from, *to));
                self.left.cut -= 1;
            }
            NetStep::Heal(from, to) => {
                self.cuts.remove(&(*from, *to));
            }
            NetStep::Crash(node) => {
                self.spots[*node].up = false;
                self.spots[*node].paused = false;
                self.left.crash -= 1;
            }
            NetStep::Restart(node, memory) => {
                let spot = &mut self.spots[*node];
                spot.up = true;
                spot.machine.restart(spot.clock, *memory);
                self.left.forget -= u8::from(*memory == Memory::Lost);
            }
            NetStep::Pause(node) => {
                self.spots[*node].paused = true;
                self.left.pause -= 1;
            }
            NetStep::Resume(node) => self.spots[*node].paused = false,
            NetStep::Tick(row) => {
                for (spot, units) in self.spots.iter_mut().zip(&self.rates[*row]) {
                    spot.clock += units;
                }
                self.truth += 1;
                self.left.ticks -= 1;
            }
        }
    }

    fn with(&mut self, node: Node, does: impl FnOnce(&mut M, u32, &mut Out<M::Message>)) {
        let mut out = Vec::new();
        let spot = &mut self.spots[node];
        does(&mut spot.machine, spot.clock, &mut out);
        for (to, message) in out {
            // A message to itself is not cut; one to nobody is a fault of the machine and would hide others.
            assert!(to < self.spots.len(), "machine {node} sends to {to}: there are {}", self.spots.len());
            if !self.cuts.contains(&(node, to)) {
                *self.flight.entry((node, to, message)).or_default() += 1;
            }
        }
    }

    fn off(&mut self, key: &(Node, Node, M::Message)) {
        if let Some(count) = self.flight.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.flight.remove(key);
            }
        }
    }
}

impl<M: Machine> Hash for Net<M> {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (&self.flight, &self.cuts, self.left, self.truth).hash(into);
        for spot in &self.spots {
            (spot.up, spot.paused, spot.clock).hash(into);
            spot.machine.state(into);
        }
    }
}
