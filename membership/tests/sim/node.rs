//! One simulated member: its state machine, its faults, and a record of what it did.

use super::{address, Event};
use ottersail::time::Ms;
use ottersail_membership::{
    Address, Change, DialId, Effects, InstanceId, LocalMember, MemberId, Members, MembershipConfig, Message,
    Sender, State, StateChangeReason, Topic,
};

/// Bytes that `DatagramAuth` adds to a message.
const AUTH_BYTES: usize = 49;
/// Bytes of the headers of UDP and IPv4.
const HEADER_BYTES: usize = 28;

pub enum Output {
    Send(Address, Message),
    Dial(Address, DialId),
}

pub struct Node {
    /// `None` while the member is crashed.
    pub members: Option<Members>,
    pub cluster: String,
    pub name: String,
    pub id: MemberId,
    pub instance: InstanceId,
    /// Counts starts and crashes, so that events of an earlier run are dropped.
    pub generation: u32,
    pub paused_until: f64,
    /// Gets no CPU for the first `.1` of every `.0` ms.
    pub starved: Option<(f64, f64)>,
    pub bytes: usize,
    pub sent: usize,
    /// Bytes of the longest datagram.
    pub longest: usize,
    pub changes: Vec<(f64, Change)>,
    pub delivered: Vec<(MemberId, Topic, Vec<u8>)>,
    seeds: Vec<Address>,
    index: usize,
    /// When the queued timer is due.
    timer: Option<f64>,
    outputs: Vec<Output>,
}

impl Node {
    pub fn new(index: usize, cluster: &str, name: &str, seeds: Vec<Address>) -> Node {
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
            delivered: Vec::new(),
            seeds,
            index,
            timer: None,
            outputs: Vec::new(),
        }
    }

    /// The member's own clock: each starts at another value.
    fn clock(&self, now: f64) -> Ms {
        Ms(now + 1000.0 * self.index as f64)
    }

    pub fn start(&mut self, now: f64, seed: u64) {
        self.instance = InstanceId(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.index as u64);
        self.generation += 1;
        let (name, site) = (self.name.clone(), "hall".into());
        let local =
            LocalMember { name, id: self.id, instance: self.instance, address: address(self.index), site };
        let config = MembershipConfig::new(local, self.seeds.clone());
        self.members = Some(Members::new(self.clock(now + 100.0), seed, config));
        self.timer = None;
    }

    pub fn crash(&mut self) {
        self.members = None;
        self.generation += 1;
    }

    pub fn sender(&self) -> Sender {
        Sender { id: self.id, instance: self.instance, address: address(self.index) }
    }

    /// When the node next gets CPU time.
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

    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Output> {
        if matches!(event, Event::Timer) {
            self.timer = None;
        }
        self.call(now, |members, time, effects| match event {
            Event::Timer if members.next_deadline() <= time => members.handle_deadline(time, effects),
            Event::Timer => {}
            Event::Message { from, message } => members.handle_message(time, from, message, effects),
            Event::DialResult { id, up } => members.handle_dial_result(time, id, up, effects),
        })
    }

    /// Calls the state machine, if the member is running, and returns what it requested.
    pub fn call(&mut self, now: f64, input: impl FnOnce(&mut Members, Ms, &mut dyn Effects)) -> Vec<Output> {
        let time = self.clock(now);
        let Some(mut members) = self.members.take() else { return Vec::new() };
        input(&mut members, time, &mut RecordedEffects { now, node: self });
        self.members = Some(members);
        std::mem::take(&mut self.outputs)
    }

    /// When a timer has to be queued, if that is sooner than the queued one.
    pub fn next_timer(&mut self) -> Option<f64> {
        let due = self.members.as_ref()?.next_deadline().0 - 1000.0 * self.index as f64;
        if !due.is_finite() || self.timer.is_some_and(|timer| timer <= due) {
            return None;
        }
        self.timer = Some(due);
        Some(due)
    }

    /// Counts the changes of other members into this state since a time.
    pub fn changes_into(&self, since: f64, into: State) -> usize {
        let matches = |(when, change): &&(f64, Change)| match change {
            Change::State { is, .. } => *when >= since && *is == into,
            _ => false,
        };
        self.changes.iter().filter(matches).count()
    }

    /// When, since a time, this node first considered the member dead, and why.
    pub fn death_of(&self, member: MemberId, since: f64) -> Option<(f64, StateChangeReason)> {
        self.changes.iter().find_map(|(when, change)| match change {
            Change::State { id, is: State::Dead, why, .. } if *id == member && *when >= since => {
                Some((*when, *why))
            }
            _ => None,
        })
    }
}

struct RecordedEffects<'a> {
    now: f64,
    node: &'a mut Node,
}

impl Effects for RecordedEffects<'_> {
    fn send(&mut self, to: Address, message: &Message) {
        let bytes = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
        self.node.longest = self.node.longest.max(bytes + AUTH_BYTES);
        self.node.bytes += bytes + AUTH_BYTES + HEADER_BYTES;
        self.node.sent += 1;
        self.node.outputs.push(Output::Send(to, message.clone()));
    }

    fn dial(&mut self, to: Address, id: DialId) {
        self.node.outputs.push(Output::Dial(to, id));
    }

    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]) {
        self.node.delivered.push((from, topic, bytes.to_vec()));
    }

    fn changed(&mut self, change: &Change) {
        self.node.changes.push((self.now, change.clone()));
    }
}
