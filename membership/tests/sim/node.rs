//! One simulated member: its machine, its troubles, and what it did.

use super::{address, Event};
use ottersail::time::Ms;
use ottersail_membership::{
    Address, Change, DialId, Effects, InstanceId, LocalMember, MemberId, Members, MembershipConfig, Message,
    Sender, State, StateChangeReason, Topic,
};

/// What the auth adds to a message, and UDP over IPv4, in bytes.
const SEAL: usize = 49;
const HEADERS: usize = 28;

pub enum Out {
    Send(Address, Message),
    Dial(Address, DialId),
}

pub struct Node {
    pub members: Option<Members>,
    pub cluster: String,
    pub name: String,
    pub id: MemberId,
    pub instance: InstanceId,
    pub generation: u32,
    pub paused_until: f64,
    /// Gets no CPU for the first `.1` of every `.0` ms.
    pub starved: Option<(f64, f64)>,
    pub bytes: usize,
    pub sent: usize,
    pub longest: usize,
    pub changes: Vec<(f64, Change)>,
    pub heard: Vec<(MemberId, Topic, Vec<u8>)>,
    seeds: Vec<Address>,
    at: usize,
    bell: Option<f64>,
    outs: Vec<Out>,
}

impl Node {
    pub fn new(at: usize, cluster: &str, name: &str, seeds: Vec<Address>) -> Node {
        Node {
            members: None,
            cluster: cluster.into(),
            name: name.into(),
            id: MemberId::of(cluster, name),
            instance: InstanceId(0),
            generation: 0,
            paused_until: 0.0,
            starved: None,
            bytes: 0,
            sent: 0,
            longest: 0,
            changes: Vec::new(),
            heard: Vec::new(),
            seeds,
            at,
            bell: None,
            outs: Vec::new(),
        }
    }

    /// Each member's clock has a beginning of its own.
    fn clock(&self, now: f64) -> Ms {
        Ms(now + 1000.0 * self.at as f64)
    }

    pub fn start(&mut self, now: f64, seed: u64) {
        self.instance = InstanceId(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.at as u64);
        self.generation += 1;
        let (name, site) = (self.name.clone(), "hall".into());
        let me = LocalMember { name, id: self.id, instance: self.instance, address: address(self.at), site };
        let terms = MembershipConfig::new(me, self.seeds.clone());
        self.members = Some(Members::new(self.clock(now + 100.0), seed, terms));
        self.bell = None;
    }

    pub fn crash(&mut self) {
        self.members = None;
        self.generation += 1;
    }

    pub fn sender(&self) -> Sender {
        Sender { id: self.id, instance: self.instance, address: address(self.at) }
    }

    pub fn free_at(&self, now: f64) -> f64 {
        let starved = self.starved.map_or(now, |(every, span)| {
            let into = now % every;
            if into < span {
                now - into + span
            } else {
                now
            }
        });
        starved.max(self.paused_until)
    }

    pub fn take(&mut self, now: f64, event: Event) -> Vec<Out> {
        if matches!(event, Event::Bell) {
            self.bell = None;
        }
        self.ask(now, |members, at, hands| match event {
            Event::Bell if members.next_deadline() <= at => members.handle_deadline(at, hands),
            Event::Bell => {}
            Event::Message { from, message } => members.handle_message(at, from, message, hands),
            Event::Dialled { tag, up } => members.handle_dial_result(at, tag, up, hands),
        })
    }

    pub fn ask(&mut self, now: f64, what: impl FnOnce(&mut Members, Ms, &mut dyn Effects)) -> Vec<Out> {
        let at = self.clock(now);
        let Some(mut members) = self.members.take() else { return Vec::new() };
        what(&mut members, at, &mut Hands { now, node: self });
        self.members = Some(members);
        std::mem::take(&mut self.outs)
    }

    /// When a bell has to be queued, if it is sooner than the one that is.
    pub fn next_bell(&mut self) -> Option<f64> {
        let due = self.members.as_ref()?.next_deadline().0 - 1000.0 * self.at as f64;
        if !due.is_finite() || self.bell.is_some_and(|bell| bell <= due) {
            return None;
        }
        self.bell = Some(due);
        Some(due)
    }

    /// Changes of others' states into this one since a time.
    pub fn turns(&self, since: f64, into: State) -> usize {
        let turn = |(at, change): &&(f64, Change)| match change {
            Change::State { is, .. } => *at >= since && *is == into,
            _ => false,
        };
        self.changes.iter().filter(turn).count()
    }

    pub fn buried(&self, about: MemberId, since: f64) -> Option<(f64, StateChangeReason)> {
        self.changes.iter().find_map(|(at, change)| match change {
            Change::State { id, is: State::Dead, why, .. } if *id == about && *at >= since => {
                Some((*at, *why))
            }
            _ => None,
        })
    }
}

struct Hands<'a> {
    now: f64,
    node: &'a mut Node,
}

impl Effects for Hands<'_> {
    fn send(&mut self, to: Address, message: &Message) {
        let bytes = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
        self.node.longest = self.node.longest.max(bytes + SEAL);
        self.node.bytes += bytes + SEAL + HEADERS;
        self.node.sent += 1;
        self.node.outs.push(Out::Send(to, message.clone()));
    }

    fn dial(&mut self, to: Address, tag: DialId) {
        self.node.outs.push(Out::Dial(to, tag));
    }

    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]) {
        self.node.heard.push((from, topic, bytes.to_vec()));
    }

    fn changed(&mut self, change: &Change) {
        self.node.changes.push((self.now, change.clone()));
    }
}
