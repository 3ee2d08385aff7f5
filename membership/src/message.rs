//! What members say to one another. New variants and fields are only added at the end.

use crate::ids::{Address, Incarnation, InstanceId, MemberId, Topic};
use serde::{Deserialize, Serialize};

/// Where a message came from: the auth read id and instance in the sealed header, the socket told the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    pub id: MemberId,
    pub instance: InstanceId,
    pub address: Address,
}

/// One datagram's worth: at most 1,136 bytes in postcard, so that 64 are left for the seal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own.
    pub incarnation: Incarnation,
    pub body: Body,
    /// What is said of members along with it.
    pub updates: Vec<Update>,
    /// Small bytes of upper layers.
    pub piggybacks: Vec<Piggyback>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? `to` keeps another member at a reused address from answering.
    Probe {
        number: u32,
        to: MemberId,
        instance: InstanceId,
    },
    Ack {
        number: u32,
    },
    /// Probe `target` for me.
    ProbeFor {
        number: u32,
        target: MemberId,
        instance: InstanceId,
        at: Address,
    },
    /// A helper's probe; `asker` wants to know as well whether it is heard.
    ProbeOn {
        number: u32,
        to: MemberId,
        instance: InstanceId,
        asker: MemberId,
    },
    AckOn {
        number: u32,
        hears_asker: bool,
    },
    /// The target answered the helper; `hears_you`: it has lately heard the asker's own datagrams.
    AckFor {
        number: u32,
        hears_you: bool,
    },
    /// The helper lives but has not heard the target in time.
    NackFor {
        number: u32,
    },
    /// Update alone.
    Gossip,
    /// I want to come in. Asked again each period until answered.
    Join {
        place: MemberInfo,
    },
    /// You are in; `known` is the incarnation under which your id was known before, if it was.
    Welcome {
        known: Option<Incarnation>,
    },
    /// Your name belongs to another instance that answers, at that address.
    Held {
        by: Address,
        instance: InstanceId,
    },
    /// Sums over all that the sender holds alive, 3 bytes for each of 64 buckets of ids.
    Digest {
        sums: Vec<u8>,
    },
    /// A page of what the sender knows of the buckets in `mask`, in `news`, by id; `more`: others follow on
    /// [`Body::Next`]; `back`: the receiver's are wanted in turn. With an empty mask all sums agreed.
    Page {
        mask: u64,
        more: bool,
        back: bool,
    },
    /// Send me the page after this member.
    Next {
        mask: u64,
        after: MemberId,
    },
    /// An upper layer's own message.
    Tell {
        topic: Topic,
        bytes: Vec<u8>,
    },
}

/// From the best to the last: at one incarnation, the later one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// Who says it is where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    pub name: String,
    pub address: Address,
    pub site: String,
}

/// One thing said of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub about: MemberId,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub state: State,
    /// Who suspects or buried it, first hand.
    pub by: Option<MemberId>,
    pub place: Option<MemberInfo>,
}

/// A few bytes of an upper layer, on probes and acks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piggyback {
    pub topic: Topic,
    pub bytes: Vec<u8>,
}
