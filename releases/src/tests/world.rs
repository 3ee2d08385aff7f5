//! A fleet in true time: clocks that run apart, messages lost, late, doubled or cut one way, processes killed or
//! standing still, and the supervisor that starts the version ordered.

use super::council::*;
use super::judge::{Judge, Truth};
use crate::*;
use ottersail_members::chance::Chance;
use std::collections::{BTreeMap, BTreeSet};

pub const PERIOD: Ms = Ms(1e3);

#[derive(Clone, Debug)]
pub enum Body {
    Stand(Life, Stand),
    Round(Round),
    News(BTreeMap<Key, Value>),
    File(Order),
    Bell,
    Tick,
    Ready(Life),
    Start(Name),
    /// Nothing more is taken; the clock is looked at again.
    Stopped(Life, Going),
}

/// What goes wrong by chance; all 0 when well.
#[derive(Clone, Copy, Default)]
pub struct Ill {
    pub loss: f64,
    pub slow: f64,
    pub twice: f64,
    /// A holder killed, or standing still, at each point between permit and return.
    pub killed: f64,
    pub stopped: f64,
    /// A proposal that one councillor alone hears of, while its proposer stands still for 10 s.
    pub half: f64,
}

#[derive(Default)]
struct Out {
    stands: Vec<Stand>,
    asks: Vec<(Key, Change)>,
    notes: Vec<Note>,
}

impl Wishes for Out {
    fn propose(&mut self, if_revision: u64, book: &Book) {
        self.asks.push((Key::Book, Change::If(if_revision, book.bytes())));
    }
    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.asks.push((Key::Order, Change::If(if_revision, order.bytes())));
    }
    fn stand(&mut self, stand: &Stand) {
        self.stands.push(stand.clone());
    }
    fn note(&mut self, note: Note) {
        self.notes.push(note);
    }
}

pub struct Node {
    rate: f64,
    offset: f64,
    pub life: Life,
    pub version: Name,
    pub up: bool,
    pub ready: bool,
    pub paused_until: Ms,
    pub known: BTreeMap<Key, Value>,
    pub holder: Holder,
    pub conductor: Option<Conductor>,
    council: Option<Councillor>,
    /// Of each member, for councillors: its life and when it was heard of last.
    heard: Vec<(Life, Ms)>,
    bell: Ms,
    leaving: bool,
    started: Ms,
}

pub struct World {
    pub now: Ms,
    pub nodes: Vec<Node>,
    pub councillors: usize,
    pub chance: Chance,
    pub cut: BTreeSet<(usize, usize)>,
    pub ill: Ill,
    pub guards: Guards,
    pub judge: Judge,
    pub notes: Vec<(Ms, Note)>,
    /// Never gets ready.
    pub bad: Option<Name>,
    /// How long a start takes until it is whole, at least and at most.
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

impl World {
    pub fn new(seed: u64, members: usize, councillors: usize, judge: Judge, guards: Guards) -> World {
        let mut chance = Chance::new(seed);
        let all: Vec<MemberId> = (0..councillors).map(id).collect();
        let node = |it: usize| {
            let (rate, offset) = (0.99 + 0.02 * chance.part(), chance.part() * 1e6);
            let (life, version, now) = (Life(it as u64 * 1_000 + 1), name("v1"), Ms(offset));
            let holder = Holder::guarded(now, (id(it), life), version.clone(), PERIOD, guards);
            let conducts = it < councillors;
            let conductor = conducts.then(|| Conductor::guarded(now, id(it), &all, PERIOD, guards));
            let council = conducts.then(|| Councillor::new(it, councillors));
            let heard = (0..members).map(|it| (Life(it as u64 * 1_000 + 1), Ms(0.0))).collect();
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
                conductor,
                council,
                heard,
                bell: Ms(f64::INFINITY),
                leaving: false,
                started: Ms(0.0),
            }
        };
        let nodes: Vec<Node> = (0..members).map(node).collect();
        let mut world = World {
            now: Ms(0.0),
            nodes,
            councillors,
            chance,
            cut: BTreeSet::new(),
            ill: Ill::default(),
            guards,
            judge,
            notes: Vec::new(),
            bad: None,
            start: (1e3, 3e3),
            queue: BTreeMap::new(),
            count: 0,
        };
        for node in 0..members {
            let first = Ms(world.chance.part() * 500.0);
            world.put(first, node, node, Body::Tick);
            world.input(node, |it, now, _| it.holder.whole(now, true));
        }
        world
    }

    fn put(&mut self, at: Ms, from: usize, to: usize, body: Body) {
        self.count += 1;
        self.queue.insert((at, self.count), (from, to, body));
    }

    fn after(&mut self, least: f64, most: f64, node: usize, body: Body) {
        let at = self.now + Ms(least + self.chance.part() * (most - least));
        self.put(at, node, node, body);
    }

    pub fn send(&mut self, from: usize, to: usize, body: &Body) {
        let copies = if self.chance.part() < self.ill.twice { 2 } else { 1 };
        for _ in 0..copies {
            if from != to && (self.cut.contains(&(from, to)) || self.chance.part() < self.ill.loss) {
                continue;
            }
            let slow = self.chance.part() < self.ill.slow;
            let delay = self.chance.part() * if slow { 8e3 } else { 10.0 } + 1.0;
            self.put(self.now + Ms(delay), from, to, body.clone());
        }
    }

    pub fn local(&self, node: usize) -> Ms {
        let it = &self.nodes[node];
        Ms(it.offset + self.now.0 * it.rate)
    }

    /// Gives a member an input, and carries out what it wishes.
    pub fn input(&mut self, node: usize, give: impl FnOnce(&mut Node, Ms, &mut dyn Wishes)) {
        let (now, mut out) = (self.local(node), Out::default());
        let it = &mut self.nodes[node];
        give(it, now, &mut out);
        let bell =
            it.conductor.as_ref().map_or(Ms(f64::INFINITY), |it| it.bell_at()).min(it.holder.bell_at());
        let bell = Ms((bell.0 - it.offset) / it.rate).max(self.now) + Ms(1e-3);
        let (life, wants) = (it.life, it.holder.wants_out(now));
        if bell < it.bell {
            it.bell = bell;
            self.put(bell, node, node, Body::Bell);
        }
        let at = self.now;
        self.notes.extend(out.notes.into_iter().map(|it| (at, it)));
        for stand in out.stands {
            let body = Body::Stand(life, stand);
            (0..self.councillors).for_each(|to| self.send(node, to, &body));
        }
        for (key, change) in out.asks {
            let says = self.nodes[node].council.as_mut().map(|it| it.ask(now, key, change));
            self.say(node, says.unwrap_or_default());
        }
        if let Some(going) = wants.filter(|_| !self.nodes[node].leaving) {
            self.nodes[node].leaving = true;
            self.after(5.0, 50.0, node, Body::Stopped(life, going));
            self.mishap(node);
        }
    }

    /// At each point between permit and return.
    fn mishap(&mut self, node: usize) {
        if self.chance.part() < self.ill.killed {
            self.kill(node, true);
        } else if self.chance.part() < self.ill.stopped {
            self.nodes[node].paused_until = self.now + Ms(self.chance.part() * 12e3);
        }
    }

    fn say(&mut self, node: usize, says: Vec<Say>) {
        let accepts = says.iter().any(|it| matches!(it, Say::To(_, Round::Accept(..))));
        let half = accepts && self.chance.part() < self.ill.half;
        let only = self.chance.below(self.councillors);
        if half {
            self.nodes[node].paused_until = self.now + Ms(10e3);
        }
        for it in says {
            match it {
                Say::To(to, Round::Accept(..)) if half && to != only => {}
                Say::To(to, round) => self.send(node, to, &Body::Round(round)),
                Say::Ended(key, value) => self.ended(node, key, value),
            }
        }
    }

    fn ended(&mut self, node: usize, key: Key, value: Option<(Value, bool)>) {
        if let Some((value, _)) = value.clone().filter(|it| it.0 .0 > 0) {
            let news = Body::News(BTreeMap::from([(key, value)]));
            (0..self.nodes.len()).for_each(|to| self.send(node, to, &news));
        }
        let outcome = match value {
            Some(((revision, _), true)) => Outcome::Done { revision },
            Some(((revision, body), false)) => {
                Outcome::Other { revision, book: Book::read(&body).unwrap_or_default() }
            }
            None => Outcome::Unknown,
        };
        if key == Key::Book {
            self.input(node, |it, now, _| {
                it.conductor.as_mut().into_iter().for_each(|it| it.answered(now, outcome.clone()));
            });
        }
    }

    /// All that happens up to then.
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
            Body::Bell => {
                self.nodes[to].bell = Ms(f64::INFINITY);
                self.input(to, |it, now, out| {
                    it.holder.bell(now, out);
                    it.conductor.as_mut().into_iter().for_each(|it| it.bell(now, out));
                });
            }
            Body::Stand(life, stand) => self.input(to, |it, now, _| {
                it.conductor.as_mut().into_iter().for_each(|it| it.stand(now, id(from), life, &stand));
            }),
            Body::News(values) => {
                values.into_iter().for_each(|(key, value)| self.learn(to, key, value));
            }
            Body::Ready(life) if self.nodes[to].life == life => {
                self.nodes[to].ready = true;
                self.judge.back(to);
                self.input(to, |it, now, _| it.holder.whole(now, true));
                self.mishap(to);
            }
            Body::Stopped(life, going) if self.nodes[to].life == life => self.stopped(to, &going),
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
        let (Some(council), Some(conductor)) = (&mut it.council, &mut it.conductor) else { return };
        let says = council.round(now, from, round, conductor, guards);
        let accepted = matches!(says.first(), Some(Say::To(_, Round::Accepted(_))));
        if let Some((Key::Book, _, value)) = what.as_ref().filter(|_| accepted) {
            conductor.accepted(now, value.0, &Book::read(&value.1).unwrap_or_default());
        }
        if let Some((Key::Order, ballot, value)) = what.filter(|_| accepted) {
            self.judge.accepted(self.now, to, ballot, &value, self.councillors);
        }
        self.say(to, says);
    }

    fn learn(&mut self, node: usize, key: Key, value: Value) {
        if self.nodes[node].known.get(&key).is_some_and(|it| it.0 >= value.0) {
            return;
        }
        self.nodes[node].known.insert(key, value.clone());
        self.input(node, |it, now, _| it.tell(now, key, &value));
    }

    /// Once more with a fresh clock; then it goes, or takes again.
    fn stopped(&mut self, node: usize, going: &Going) {
        self.nodes[node].leaving = false;
        let now = self.local(node);
        if !self.nodes[node].holder.still_in_time(now, going) {
            return self.input(node, |_, _, _| {});
        }
        self.input(node, |it, now, _| it.holder.whole(now, false));
        self.nodes[node].ready = false;
        self.look(Some(node));
        self.kill(node, false);
        self.after(300.0, 1.5e3, node, Body::Start(going.version.clone()));
        self.mishap(node);
    }

    /// The judge looks; one may be going out by order.
    pub fn look(&mut self, goes: Option<usize>) {
        let serves = |it: &Node| it.up && it.ready && it.paused_until <= self.now;
        let serves: Vec<bool> = self.nodes.iter().map(serves).collect();
        let truth = Truth { now: self.now, serves: &serves, councillors: self.councillors, cut: &self.cut };
        self.judge.look(&truth);
        goes.into_iter().for_each(|it| self.judge.goes(it, &truth));
    }

    /// By accident: its supervisor starts the same version again.
    pub fn kill(&mut self, node: usize, accident: bool) {
        self.look(None);
        let (version, up) = (self.nodes[node].version.clone(), self.nodes[node].up);
        let it = &mut self.nodes[node];
        (it.up, it.ready, it.leaving) = (false, false, false);
        if accident && up {
            self.after(300.0, 9e3, node, Body::Start(version));
        }
    }

    pub fn begin(&mut self, node: usize, version: Name) {
        if self.nodes[node].up {
            return;
        }
        let (now, guards, count) = (self.local(node), self.guards, self.councillors);
        let all: Vec<MemberId> = (0..count).map(id).collect();
        let it = &mut self.nodes[node];
        (it.life, it.up, it.started, it.bell) = (Life(it.life.0 + 1), true, self.now, Ms(f64::INFINITY));
        (it.version, it.known) = (version.clone(), BTreeMap::new());
        it.holder = Holder::guarded(now, (id(node), it.life), version.clone(), PERIOD, guards);
        if let Some(council) = &mut it.council {
            council.restart();
            let mut conductor = Conductor::guarded(now, id(node), &all, PERIOD, guards);
            if let Some((revision, book)) =
                council.registers.get(&Key::Book).and_then(|it| it.accepted.clone()).map(|it| it.1)
            {
                conductor.accepted(now, revision, &Book::read(&book).unwrap_or_default());
            }
            it.conductor = Some(conductor);
        }
        let life = it.life;
        if self.bad.as_ref() != Some(&version) {
            self.after(self.start.0, self.start.1, node, Body::Ready(life));
        }
        self.mishap(node);
    }

    /// Twice a second: news to some other, and what a councillor's roster says.
    fn tick(&mut self, node: usize) {
        self.put(self.now + Ms(500.0), node, node, Body::Tick);
        if !self.nodes[node].up {
            return;
        }
        let (other, news) = (self.chance.below(self.nodes.len()), Body::News(self.nodes[node].known.clone()));
        self.send(node, other, &news);
        if node >= self.councillors {
            return;
        }
        let mut living = BTreeMap::new();
        for other in 0..self.nodes.len() {
            let (it, via) = (&self.nodes[other], self.chance.below(self.nodes.len()));
            let way = |a: usize, b: usize| a == b || !self.cut.contains(&(a, b));
            let hears = way(other, node) || way(other, via) && way(via, node);
            let (life, last) = self.nodes[node].heard[other];
            // News of a new life take a while; that it is suspected by error happens.
            let known = it.life == life || self.now - it.started > Ms(2e3 * self.chance.part());
            let last = if it.up && it.paused_until <= self.now && hears && known { self.now } else { last };
            let life = if last == self.now { it.life } else { life };
            let error = self.chance.part() < self.ill.loss * 0.01;
            self.nodes[node].heard[other] = (life, last);
            let state = if self.now - last < Ms(3e3) && !error { Presence::Alive } else { Presence::Suspect };
            if self.now - last < Ms(6e3) {
                let seen = Seen { life, name: name(&format!("m{other}")), zone: Some(zone(other)), state };
                living.insert(id(other), seen);
            }
        }
        let first = living.keys().next() == Some(&id(node));
        self.input(node, |it, now, _| {
            let Some(conductor) = &mut it.conductor else { return };
            conductor.roster(now, &living);
            conductor.conducts(now, first);
        });
    }
}

impl Node {
    fn tell(&mut self, now: Ms, key: Key, (revision, body): &Value) {
        match key {
            Key::Order => {
                let order = Order::read(body).unwrap();
                self.holder.ordered(now, *revision, &order);
                self.conductor.as_mut().into_iter().for_each(|it| it.ordered(now, *revision, &order));
            }
            Key::Book => {
                let book = Book::read(body).unwrap();
                self.holder.booked(now, *revision, &book);
                self.conductor.as_mut().into_iter().for_each(|it| it.booked(now, *revision, &book));
            }
        }
    }
}
