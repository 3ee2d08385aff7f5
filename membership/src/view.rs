//! What the outside sees of the machine.

use crate::ids::{Address, DialId, Incarnation, InstanceId, MemberId, Topic};
use crate::message::{Message, State};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// What the machine wants done.
pub trait Effects {
    /// Seal and send one datagram.
    fn send(&mut self, to: Address, message: &Message);
    /// Try the second way and answer with [`crate::Members::handle_dial_result`]. Up means that the process answered,
    /// not only that a kernel took the connection: a stopped process would seem to live.
    fn dial(&mut self, to: Address, tag: DialId);
    /// For an upper layer.
    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]);
    /// For log lines and upper layers.
    fn changed(&mut self, change: &Change);
}

/// Who hears whom between this member and another, by what was seen lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// It acknowledged this member's own probe.
    Mutual,
    /// Its datagrams arrive, but it does not answer.
    InboundOnly,
    /// Others say that it hears this member; nothing of it arrives.
    OutboundOnly,
    /// Others, or the second way, say that it lives.
    ThroughOthers,
    Unreachable,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub name: String,
    pub state: State,
    pub address: Address,
    pub site: String,
    pub incarnation: Incarnation,
    pub instance: InstanceId,
    pub reachability: Reachability,
    /// The last rider of each topic.
    pub piggybacks: BTreeMap<Topic, Vec<u8>>,
    /// When the state was last changed.
    pub since: Ms,
}

/// StateChangeReason a state was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChangeReason {
    /// It came in or came back.
    Joined,
    /// It contradicted what was said of it.
    Refuted,
    /// This member's own probes, helpers and second way all failed.
    ProbeFailed,
    /// This member's own suspicion ran out.
    SuspicionExpired,
    /// Others said so.
    Reported,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member's state; `was` is none for one that was not known.
    State {
        id: MemberId,
        name: String,
        was: Option<State>,
        is: State,
        why: StateChangeReason,
    },
    Reachability {
        id: MemberId,
        was: Reachability,
        is: Reachability,
    },
    /// This member's name is held by another instance at that address: it stays out until that one is gone.
    NameConflict {
        by: Address,
        instance: InstanceId,
    },
    /// This member has come in.
    Joined,
    /// This member's own bell came this late.
    Paused {
        late: Ms,
    },
}

/// Counters since birth, for metrics; the last three are of now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub received: u64,
    pub probes: u64,
    pub acks: u64,
    pub helped: u64,
    pub nacks: u64,
    pub dials: u64,
    pub suspicions: u64,
    pub refutations: u64,
    pub deaths: u64,
    pub exchanges: u64,
    pub pauses: u64,
    pub conflicts: u64,
    /// Messages that made no sense here: unknown number, wrong receiver, passive.
    pub unexpected: u64,
    /// From 0, all well, to 8.
    pub health: u32,
    pub alive: u64,
    pub suspect: u64,
}
