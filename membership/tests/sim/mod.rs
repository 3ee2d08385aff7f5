//! A simulated network of members: loss, delay, one-way cuts, pauses, crashes, restarts; all from a seed.
#![allow(dead_code)]

pub mod node;

use node::{Node, Out};
use ottersail::time::Ms;
use ottersail_membership::{Address, DialId, MemberId, Message, Sender, State, Topic};
use std::collections::{BTreeMap, BTreeSet};

pub enum Event {
    Bell,
    Message { from: Sender, message: Message },
    Dialled { tag: DialId, up: bool },
}

pub struct Net {
    pub now: f64,
    pub nodes: Vec<Node>,
    /// In 100, each way.
    pub loss: usize,
    /// Least and greatest delay of one datagram, ms.
    pub delay: (f64, f64),
    /// From whom to whom nothing comes.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Whether connections pass where datagrams are cut.
    pub second_way: bool,
    /// Whether there is a second way at all.
    pub dials: bool,
    queue: BTreeMap<(Ms, u64), (usize, u32, Event)>,
    order: u64,
    state: u64,
}

impl Net {
    /// `count` members that know the first three as seeds, new within 100 ms.
    pub fn of(count: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 0.0,
            nodes: Vec::new(),
            loss: 0,
            delay: (0.2, 2.0),
            cuts: BTreeSet::new(),
            second_way: false,
            dials: true,
            queue: BTreeMap::new(),
            order: 0,
            state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        for at in 0..count {
            net.add("north", &format!("m{at}"), at.min(2));
        }
        net
    }

    pub fn add(&mut self, cluster: &str, name: &str, seeds: usize) -> usize {
        let at = self.nodes.len();
        let node = Node::new(at, cluster, name, (0..=seeds).map(address).collect());
        self.nodes.push(node);
        self.start(at);
        at
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.state =
            self.state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (((self.state >> 33) * limit as u64) >> 31) as usize
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.below(1 << 30) as u64;
        self.nodes[at].start(self.now, seed);
        let wait = self.below(100) as f64;
        self.push(self.now + wait, at, Event::Bell);
    }

    pub fn crash(&mut self, at: usize) {
        self.nodes[at].crash();
    }

    fn push(&mut self, when: f64, at: usize, event: Event) {
        self.order += 1;
        self.queue.insert((Ms(when), self.order), (at, self.nodes[at].generation, event));
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 .0 <= end) {
            let when = entry.key().0 .0;
            let (at, generation, event) = entry.remove();
            self.now = self.now.max(when);
            if self.nodes[at].generation != generation {
                continue;
            }
            let free = self.nodes[at].free_at(self.now);
            if free > self.now {
                self.push(free, at, event);
                continue;
            }
            self.take(at, event);
        }
        self.now = end;
    }

    pub fn leave(&mut self, at: usize) {
        let out = self.nodes[at].ask(self.now, |members, now, hands| members.leave(now, hands));
        self.carry_out(at, out);
    }

    pub fn send_message(&mut self, at: usize, to: MemberId, topic: Topic, bytes: &[u8]) {
        let out = self.nodes[at].ask(self.now, |members, now, hands| {
            assert!(members.send_message(now, to, topic, bytes, hands));
        });
        self.carry_out(at, out);
    }

    fn take(&mut self, at: usize, event: Event) {
        let out = self.nodes[at].take(self.now, event);
        self.carry_out(at, out);
    }

    fn carry_out(&mut self, at: usize, out: Vec<Out>) {
        for wish in out {
            match wish {
                Out::Send(to, message) => self.send(at, to, message),
                Out::Dial(to, tag) => {
                    let up = self.connects(at, index(to));
                    self.push(self.now + if up { 5.0 } else { 300.0 }, at, Event::Dialled { tag, up });
                }
            }
        }
        let bell = self.nodes[at].next_bell();
        if let Some(bell) = bell {
            self.push(bell.max(self.now), at, Event::Bell);
        }
    }

    fn send(&mut self, at: usize, to: Address, message: Message) {
        let to = index(to);
        let from = self.nodes[at].sender();
        if to >= self.nodes.len() || self.cuts.contains(&(at, to)) || self.below(100) < self.loss {
            return;
        }
        // What the auth does: another cluster's datagrams are dropped.
        if self.nodes[to].cluster != self.nodes[at].cluster || self.nodes[to].members.is_none() {
            return;
        }
        let spread = ((self.delay.1 - self.delay.0) * 1000.0) as usize + 1;
        let wait = self.delay.0 + self.below(spread) as f64 / 1000.0;
        self.push(self.now + wait, to, Event::Message { from, message });
    }

    fn connects(&mut self, at: usize, to: usize) -> bool {
        let cut = self.cuts.contains(&(at, to)) || self.cuts.contains(&(to, at));
        let there = self.nodes.get(to).is_some_and(|node| node.members.is_some());
        // One packet each way: a second try of the system's comes after the verdict.
        let lost = !self.second_way && (self.below(100) < self.loss || self.below(100) < self.loss);
        self.dials
            && !lost
            && there
            && self.nodes[to].free_at(self.now) <= self.now
            && (!cut || self.second_way)
    }

    pub fn state(&self, of: usize, about: usize) -> Option<State> {
        let id = self.nodes[about].id;
        let known = self.nodes[of].members.as_ref()?.others().find(|(it, _)| **it == id)?.1;
        Some(known.state)
    }

    pub fn id(&self, at: usize) -> MemberId {
        self.nodes[at].id
    }

    /// How many (holder, other) pairs of living members do not hold the other alive.
    pub fn wrong(&self) -> usize {
        let up: Vec<&Node> = self.nodes.iter().filter(|node| node.members.is_some()).collect();
        let ids: BTreeSet<MemberId> = up.iter().map(|node| node.id).collect();
        let held = |node: &&Node| {
            let roster = node.members.iter().flat_map(|members| members.others());
            roster.filter(|(id, known)| known.state == State::Alive && ids.contains(*id)).count()
        };
        up.iter().map(|node| ids.len() - 1 - held(node)).sum()
    }

    /// Runs until nobody is wrong about the living, at most `span`; how long it took.
    pub fn until_right(&mut self, span: f64) -> Option<f64> {
        let from = self.now;
        while self.now - from <= span {
            if self.wrong() == 0 {
                return Some(self.now - from);
            }
            self.run(100.0);
        }
        None
    }
}

pub fn address(at: usize) -> Address {
    Address::new([127, 1, (at >> 8) as u8, at as u8].into(), 7000)
}

fn index(address: Address) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
