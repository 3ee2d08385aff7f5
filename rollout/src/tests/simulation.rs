//! A simulated fleet in true time: clocks that drift, messages that are lost, late, duplicated or cut in one direction,
//! processes that are killed or paused, and the supervisor that starts the ordered version.

use super::checker::Checker;
use super::council::*;
pub use super::faults::Faults;
use crate::*;
use ottersail_membership::rng::SeededRng;
use std::collections::{BTreeMap, BTreeSet};

pub const PERIOD: Ms = Ms(1e3);

#[derive(Clone, Debug)]
pub enum Body {
    MemberStatus(InstanceId, MemberStatus),
    Round(Round),
    News(BTreeMap<Key, Value>),
    File(Order),
    Timer,
    Tick,
    Ready(InstanceId),
    Start(Name),
    /// The member takes no viewings any more; the permit is confirmed.
    Stopped(InstanceId, UsablePermit),
}

pub struct Node {
    pub rate: f64,
    pub offset: f64,
    pub life: InstanceId,
    pub version: Name,
    pub up: bool,
    pub ready: bool,
    pub paused_until: Ms,
    pub known: BTreeMap<Key, Value>,
    pub holder: PermitHolder,
    pub coordinator: Option<Coordinator>,
    pub council: Option<Councillor>,
    /// For councillors: the instance of each member and when it was last heard of.
    pub heard: Vec<(InstanceId, Ms)>,
    pub timer_at: Ms,
    pub leaving: bool,
    pub started: Ms,
}

pub struct Simulation {
    pub now: Ms,
    pub nodes: Vec<Node>,
    pub councillors: usize,
    pub chance: SeededRng,
    pub cut: BTreeSet<(usize, usize)>,
    pub faults: Faults,
    pub guards: Guards,
    pub checker: Checker,
    pub events: Vec<(Ms, Event)>,
    /// A version that never gets ready.
    pub bad: Option<Name>,
    /// The least and greatest time in milliseconds from a start until the member is ready.
    pub start: (f64, f64),
    queue: BTreeMap<(Ms, u64), (usize, usize, Body)>,
    count: u64,
}

pub fn id(node: usize) -> MemberId {
    MemberId(node as u64 + 1)
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn zone(node: usize) -> Name {
    name(["a", "b", "c"][node % 3])
}

impl Simulation {
    pub fn new(
        seed: u64,
        members: usize,
        councillors: usize,
        checker: Checker,
        guards: Guards,
    ) -> Simulation {
        let mut chance = SeededRng::new(seed);
        let all: Vec<MemberId> = (0..councillors).map(id).collect();
        let node = |it: usize| {
            let (rate, offset) = (0.99 + 0.02 * chance.fraction(), chance.fraction() * 1e6);
            let (life, version, now) = (InstanceId(it as u64 * 1_000 + 1), name("v1"), Ms(offset));
            let holder = PermitHolder::with_guards(now, (id(it), life), version.clone(), PERIOD, guards);
            let conducts = it < councillors;
            let coordinator = conducts.then(|| Coordinator::with_guards(now, id(it), &all, PERIOD, guards));
            let council = conducts.then(|| Councillor::new(it, councillors));
            let heard = (0..members).map(|it| (InstanceId(it as u64 * 1_000 + 1), Ms(0.0))).collect();
            Node {
                rate,
                offset,
                life,
                version,
                up: true,
                ready: true,
                paused_until: Ms(0.0),
                known: BTreeMap::new(),
                holder,
                coordinator,
                council,
                heard,
                timer_at: Ms(f64::INFINITY),
                leaving: false,
                started: Ms(0.0),
            }
        };
        let nodes: Vec<Node> = (0..members).map(node).collect();
        let mut simulation = Simulation {
            now: Ms(0.0),
            nodes,
            councillors,
            chance,
            cut: BTreeSet::new(),
            faults: Faults::default(),
            guards,
            checker,
            events: Vec::new(),
            bad: None,
            start: (1e3, 3e3),
            queue: BTreeMap::new(),
            count: 0,
        };
        for node in 0..members {
            let first = Ms(simulation.chance.fraction() * 500.0);
            simulation.put(first, node, node, Body::Tick);
            simulation.input(node, |it, now, _| it.holder.set_ready(now, true));
        }
        simulation
    }

    pub fn put(&mut self, at: Ms, from: usize, to: usize, body: Body) {
        self.count += 1;
        self.queue.insert((at, self.count), (from, to, body));
    }

    pub fn after(&mut self, least: f64, most: f64, node: usize, body: Body) {
        let at = self.now + Ms(least + self.chance.fraction() * (most - least));
        self.put(at, node, node, body);
    }

    pub fn send(&mut self, from: usize, to: usize, body: &Body) {
        let copies = if self.chance.fraction() < self.faults.twice { 2 } else { 1 };
        for _ in 0..copies {
            if from != to && (self.cut.contains(&(from, to)) || self.chance.fraction() < self.faults.loss) {
                continue;
            }
            let slow = self.chance.fraction() < self.faults.slow;
            let delay = self.chance.fraction() * if slow { 8e3 } else { 10.0 } + 1.0;
            self.put(self.now + Ms(delay), from, to, body.clone());
        }
    }

    pub fn local(&self, node: usize) -> Ms {
        let it = &self.nodes[node];
        Ms(it.offset + self.now.0 * it.rate)
    }

    /// Runs the simulation up to that time.
    pub fn run(&mut self, until: Ms) {
        while let Some(((at, _), (from, to, body))) = self.queue.pop_first() {
            if at > until {
                self.put(at, from, to, body);
                break;
            }
            self.now = at;
            let paused = self.nodes[to].paused_until;
            match &body {
                Body::Start(version) => self.begin(to, version.clone()),
                _ if paused > at => self.put(paused, from, to, body),
                Body::Tick => {
                    self.look(None);
                    self.tick(to);
                }
                _ if self.nodes[to].up => self.take(from, to, body),
                _ => {}
            }
        }
        self.now = until;
    }

    fn take(&mut self, from: usize, to: usize, body: Body) {
        match body {
            Body::Timer => {
                self.nodes[to].timer_at = Ms(f64::INFINITY);
                self.input(to, |it, now, out| {
                    it.holder.on_timer(now, out);
                    it.coordinator.as_mut().into_iter().for_each(|it| it.on_timer(now, out));
                });
            }
            Body::MemberStatus(life, status) => self.input(to, |it, now, _| {
                it.coordinator.as_mut().into_iter().for_each(|it| it.on_status(now, id(from), life, &status));
            }),
            Body::News(values) => {
                values.into_iter().for_each(|(key, value)| self.learn(to, key, value));
            }
            Body::Ready(life) if self.nodes[to].life == life => {
                self.nodes[to].ready = true;
                self.checker.back(to);
                self.input(to, |it, now, _| it.holder.set_ready(now, true));
                self.mishap(to);
            }
            Body::Stopped(life, permit_in_use) if self.nodes[to].life == life => {
                self.stopped(to, &permit_in_use)
            }
            Body::File(order) => {
                let now = self.local(to);
                let says =
                    self.nodes[to].council.as_mut().map(|it| it.ask(now, Key::Order, Change::File(order)));
                self.say(to, says.unwrap_or_default());
            }
            Body::Round(round) => self.round(from, to, round),
            _ => {}
        }
    }

    fn round(&mut self, from: usize, to: usize, round: Round) {
        let (now, guards) = (self.local(to), self.guards);
        let what = if let Round::Accept(key, ballot, value) = &round {
            Some((*key, *ballot, value.clone()))
        } else {
            None
        };
        let it = &mut self.nodes[to];
        let (Some(council), Some(coordinator)) = (&mut it.council, &mut it.coordinator) else { return };
        let says = council.round(now, from, round, coordinator, guards);
        let accepted = matches!(says.first(), Some(Say::To(_, Round::Accepted(_))));
        if let Some((Key::PermitTable, _, value)) = what.as_ref().filter(|_| accepted) {
            coordinator.on_accepted(now, value.0, &PermitTable::decode(&value.1).unwrap_or_default());
        }
        if let Some((Key::Order, ballot, value)) = what.filter(|_| accepted) {
            self.checker.accepted(self.now, to, ballot, &value, self.councillors);
        }
        self.say(to, says);
    }
}
