//! What a caller of the state machine sees of it: requested effects, members, changes and counters.

use crate::ids::{Address, DialId, Incarnation, InstanceId, MemberId, Topic};
use crate::message::{Message, State};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// What the state machine asks its caller to do.
pub trait Effects {
    /// Seal and send one datagram.
    fn send(&mut self, to: Address, message: &Message);
    /// Try to reach the member over a connection, and report the result with
    /// [`crate::Members::handle_dial_result`]. The member is up if its process answered: that the kernel
    /// accepted the connection is not enough, since it does so for a stopped process too.
    fn dial(&mut self, to: Address, id: DialId);
    /// Hand an application message to the layer above.
    fn deliver(&mut self, from: MemberId, topic: Topic, bytes: &[u8]);
    /// Something changed, for log lines and the layers above.
    fn changed(&mut self, change: &Change);
}

/// Which way datagrams between this member and another have recently passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// The other member acknowledged this member's own probe.
    Mutual,
    /// Its datagrams arrive, but it does not answer.
    InboundOnly,
    /// Others report that it receives this member's datagrams; none of its own arrive.
    OutboundOnly,
    /// Others, or a connection, show that it is running.
    ThroughOthers,
    /// There is no sign that it is running.
    Unreachable,
}

/// What this member knows of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub name: String,
    pub state: State,
    pub address: Address,
    pub site: String,
    pub incarnation: Incarnation,
    pub instance: InstanceId,
    pub reachability: Reachability,
    /// The last piggybacked payload of each topic.
    pub piggybacks: BTreeMap<Topic, Vec<u8>>,
    /// When the state last changed.
    pub since: Ms,
}

/// Why the state of a member changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChangeReason {
    /// It joined, or joined again.
    Joined,
    /// It refuted a suspicion or a report of its death.
    Refuted,
    /// This member's own direct probe, its helpers' probes and the connection all failed.
    ProbeFailed,
    /// This member's own suspicion timed out.
    SuspicionExpired,
    /// Other members reported the state.
    Reported,
}

/// A change that the caller is told about through [`Effects::changed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member's state changed; `was` is `None` for a member that was not known before.
    State { id: MemberId, name: String, was: Option<State>, is: State, why: StateChangeReason },
    /// The reachability of a member changed.
    Reachability { id: MemberId, was: Reachability, is: Reachability },
    /// Another instance at that address uses this member's name: this one stays out of the cluster until the
    /// other is gone.
    NameConflict { by: Address, instance: InstanceId },
    /// This member has joined the cluster.
    Joined,
    /// This member's own timer fired this late.
    Paused { late: Ms },
}

/// Counters since the start, for metrics; the last three fields are current values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub received: u64,
    pub probes: u64,
    pub acks: u64,
    /// Probes run on behalf of other members.
    pub indirect_probes: u64,
    pub nacks: u64,
    pub dials: u64,
    pub suspicions: u64,
    pub refutations: u64,
    /// Members that were considered dead.
    pub deaths: u64,
    pub exchanges: u64,
    pub pauses: u64,
    /// Times another instance was found to use this member's name, or a name known here.
    pub conflicts: u64,
    /// Messages dropped as unexpected: unknown probe number, wrong receiver, or received while passive.
    pub unexpected: u64,
    /// Local health, from 0 (healthy) to 8.
    pub health: u32,
    pub alive: u64,
    pub suspect: u64,
}
