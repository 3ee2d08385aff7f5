//! Messages between members. They are encoded with postcard by the order of variants and fields: new ones are
//! only added at the end.

use crate::ids::{Address, Incarnation, InstanceId, MemberId, Topic};
use serde::{Deserialize, Serialize};

/// Who sent a message: id and instance are from the authenticated header, the address is from the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    pub id: MemberId,
    pub instance: InstanceId,
    pub address: Address,
}

/// The content of one datagram: at most 1,136 bytes in postcard, so that 64 are left for header and MAC.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's current incarnation.
    pub incarnation: Incarnation,
    pub body: Body,
    /// Updates about members that travel along.
    pub updates: Vec<Update>,
    /// Small payloads of the layers above.
    pub piggybacks: Vec<Piggyback>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an ack. `to` keeps another member at a reused address from answering.
    Probe {
        number: u32,
        to: MemberId,
        instance: InstanceId,
    },
    Ack {
        number: u32,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    ProbeRequest {
        number: u32,
        target: MemberId,
        instance: InstanceId,
        address: Address,
    },
    /// A helper's probe; the target also says whether it receives datagrams of `requester`.
    IndirectProbe {
        number: u32,
        to: MemberId,
        instance: InstanceId,
        requester: MemberId,
    },
    IndirectAck {
        number: u32,
        hears_requester: bool,
    },
    /// The target answered the helper. `hears_you`: it has recently received the requester's own datagrams.
    ForwardedAck {
        number: u32,
        hears_you: bool,
    },
    /// The helper is running but has not received an answer of the target in time.
    ForwardedNack {
        number: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Asks to join; repeated in each period until it is answered.
    Join {
        info: MemberInfo,
    },
    /// The sender has joined, if `known_incarnation` is `None`; otherwise its id was known with that
    /// incarnation and it has to ask again with a higher one.
    JoinAccepted {
        known_incarnation: Option<Incarnation>,
    },
    /// The receiver's name belongs to another instance that answers, at the address `holder`.
    NameTaken {
        holder: Address,
        instance: InstanceId,
    },
    /// Checksums over all members that the sender considers up, 3 bytes for each of 64 buckets of ids.
    Digest {
        sums: Vec<u8>,
    },
    /// What the sender knows of the members in the buckets of `mask`, in the message's updates, ordered by
    /// id. `more`: further pages follow on [`Body::NextPage`]. `back`: the receiver is asked for its own
    /// page. An empty mask says that all checksums agreed.
    Page {
        mask: u64,
        more: bool,
        back: bool,
    },
    /// Asks for the page that starts past the member `after`.
    NextPage {
        mask: u64,
        after: MemberId,
    },
    /// A message of a layer above.
    Application {
        topic: Topic,
        bytes: Vec<u8>,
    },
}

/// A member's state. Of two states at the same incarnation, the later one in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// A member's name, address and site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    pub name: String,
    pub address: Address,
    pub site: String,
}

/// One statement about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub member: MemberId,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub state: State,
    /// The member whose own probes led to a suspicion or a death.
    pub reported_by: Option<MemberId>,
    pub info: Option<MemberInfo>,
}

/// A small payload of a layer above that travels on probes and acks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piggyback {
    pub topic: Topic,
    pub bytes: Vec<u8>,
}
