//! A simulated network of members with loss, delay, one-way cuts, pauses, crashes and restarts. A run repeats
//! from its seed.
#![allow(dead_code)]

pub mod node;

use node::{Node, Output};
use ottersail::time::Ms;
use ottersail_membership::{Address, DialId, MemberId, Message, Sender, State, Topic};
use std::collections::{BTreeMap, BTreeSet};

pub enum Event {
    Timer,
    Message { from: Sender, message: Message },
    DialResult { id: DialId, up: bool },
}

pub struct Network {
    /// Simulated time in milliseconds, as all times here.
    pub now: f64,
    pub nodes: Vec<Node>,
    /// Lost datagrams in 100, in each direction.
    pub loss: usize,
    /// Least and greatest delay of one datagram.
    pub delay: (f64, f64),
    /// Pairs of sender and receiver between which datagrams are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Whether connections succeed where datagrams are cut or lost.
    pub connections_pass_cuts: bool,
    /// Whether connections are possible at all.
    pub dials: bool,
    queue: BTreeMap<(Ms, u64), (usize, u32, Event)>,
    queued_events: u64,
    random_state: u64,
}

impl Network {
    /// `count` members that know the first three as seeds and start within 100 ms.
    pub fn of(count: usize, seed: u64) -> Network {
        let mut network = Network {
            now: 0.0,
            nodes: Vec::new(),
            loss: 0,
            delay: (0.2, 2.0),
            cuts: BTreeSet::new(),
            connections_pass_cuts: false,
            dials: true,
            queue: BTreeMap::new(),
            queued_events: 0,
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        for index in 0..count {
            network.add("north", &format!("m{index}"), index.min(2));
        }
        network
    }

    /// Adds and starts a member; returns its index.
    pub fn add(&mut self, cluster: &str, name: &str, seeds: usize) -> usize {
        let index = self.nodes.len();
        let node = Node::new(index, cluster, name, (0..=seeds).map(address).collect());
        self.nodes.push(node);
        self.start(index);
        index
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (((self.random_state >> 33) * limit as u64) >> 31) as usize
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.below(1 << 30) as u64;
        self.nodes[index].start(self.now, seed);
        let wait = self.below(100) as f64;
        self.push(self.now + wait, index, Event::Timer);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].crash();
    }

    fn push(&mut self, when: f64, index: usize, event: Event) {
        self.queued_events += 1;
        let generation = self.nodes[index].generation;
        self.queue.insert((Ms(when), self.queued_events), (index, generation, event));
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 .0 <= end) {
            let when = entry.key().0 .0;
            let (index, generation, event) = entry.remove();
            self.now = self.now.max(when);
            if self.nodes[index].generation != generation {
                continue;
            }
            let free = self.nodes[index].free_at(self.now);
            if free > self.now {
                self.push(free, index, event);
                continue;
            }
            self.handle(index, event);
        }
        self.now = end;
    }

    pub fn leave(&mut self, index: usize) {
        let outputs = self.nodes[index].call(self.now, |members, now, effects| members.leave(now, effects));
        self.carry_out(index, outputs);
    }

    pub fn send_message(&mut self, index: usize, to: MemberId, topic: Topic, bytes: &[u8]) {
        let outputs = self.nodes[index].call(self.now, |members, now, effects| {
            assert!(members.send_message(now, to, topic, bytes, effects));
        });
        self.carry_out(index, outputs);
    }

    fn handle(&mut self, index: usize, event: Event) {
        let outputs = self.nodes[index].handle(self.now, event);
        self.carry_out(index, outputs);
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.send(index, to, message),
                Output::Dial(to, id) => {
                    let up = self.connects(index, index_of(to));
                    let answered = self.now + if up { 5.0 } else { 300.0 };
                    self.push(answered, index, Event::DialResult { id, up });
                }
            }
        }
        let timer = self.nodes[index].next_timer();
        if let Some(timer) = timer {
            self.push(timer.max(self.now), index, Event::Timer);
        }
    }

    fn send(&mut self, sender: usize, to: Address, message: Message) {
        let to = index_of(to);
        let from = self.nodes[sender].sender();
        if to >= self.nodes.len() || self.cuts.contains(&(sender, to)) || self.below(100) < self.loss {
            return;
        }
        // `DatagramAuth` drops datagrams of another cluster.
        if self.nodes[to].cluster != self.nodes[sender].cluster || self.nodes[to].members.is_none() {
            return;
        }
        let spread = ((self.delay.1 - self.delay.0) * 1000.0) as usize + 1;
        let wait = self.delay.0 + self.below(spread) as f64 / 1000.0;
        self.push(self.now + wait, to, Event::Message { from, message });
    }

    fn connects(&mut self, from: usize, to: usize) -> bool {
        let cut = self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from));
        let running = self.nodes.get(to).is_some_and(|node| node.members.is_some());
        // One packet in each direction: a retransmission by TCP would come after the end of the probe.
        let lost =
            !self.connections_pass_cuts && (self.below(100) < self.loss || self.below(100) < self.loss);
        self.dials
            && !lost
            && running
            && self.nodes[to].free_at(self.now) <= self.now
            && (!cut || self.connections_pass_cuts)
    }

    /// The state that one member has of another.
    pub fn state(&self, observer: usize, member: usize) -> Option<State> {
        let id = self.nodes[member].id;
        let view = self.nodes[observer].members.as_ref()?.others().find(|(other, _)| **other == id)?.1;
        Some(view.state)
    }

    pub fn id(&self, index: usize) -> MemberId {
        self.nodes[index].id
    }

    /// The number of ordered pairs of running members of which the first does not consider the second alive.
    pub fn wrong_pairs(&self) -> usize {
        let up: Vec<&Node> = self.nodes.iter().filter(|node| node.members.is_some()).collect();
        let ids: BTreeSet<MemberId> = up.iter().map(|node| node.id).collect();
        let correct = |node: &&Node| {
            let others = node.members.iter().flat_map(|members| members.others());
            others.filter(|(id, view)| view.state == State::Alive && ids.contains(*id)).count()
        };
        up.iter().map(|node| ids.len() - 1 - correct(node)).sum()
    }

    /// Runs until all running members consider each other alive, `span` at most; returns how long it took.
    pub fn run_until_consistent(&mut self, span: f64) -> Option<f64> {
        let from = self.now;
        while self.now - from <= span {
            if self.wrong_pairs() == 0 {
                return Some(self.now - from);
            }
            self.run(100.0);
        }
        None
    }
}

pub fn address(index: usize) -> Address {
    Address::new([127, 1, (index >> 8) as u8, index as u8].into(), 7000)
}

fn index_of(address: Address) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
