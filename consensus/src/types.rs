//! What is agreed on, and what is kept of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use ottersail_membership::{InstanceId, MemberId};

/// Bytes of a value's body at most, so that a promise with every councillor's memory fits in 900 bytes.
pub const BODY_MOST: usize = 600;

/// Which register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// What is fixed at the founding.
    Founding,
    /// One bucket of slots.
    Slots(u8),
    /// An operator's or a later layer's order.
    Order(u16),
}

/// One member's one request; the same at each retry, whichever councillor is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub member: MemberId,
    pub life: InstanceId,
    pub number: u64,
}

/// What a register holds. One value per key and revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Value {
    /// 1 for the first, one more at each change.
    pub revision: u64,
    /// The request that made it, so that a retry finds its own work done and does not do it twice.
    pub request: RequestId,
    pub body: Vec<u8>,
}

/// The order of rounds: the greater number wins, the proposer and its life part equals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub number: u64,
    pub proposer: MemberId,
    pub life: InstanceId,
}

/// Which store a councillor stands on. The upper 16 bits count the losses the others knew of, the lower 48 are drawn
/// when the store is created; of two memories of one councillor the lesser is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreGeneration(pub u64);

impl StoreGeneration {
    pub fn drawn(chance: u64) -> StoreGeneration {
        StoreGeneration(chance & 0xffff_ffff_ffff)
    }

    /// The same draw, above that other.
    pub fn above(self, other: StoreGeneration) -> StoreGeneration {
        StoreGeneration((((other.0 >> 48) + 1) << 48) | (self.0 & 0xffff_ffff_ffff))
    }
}

/// Each councillor's memory, as far as known.
pub type StoreGenerations = BTreeMap<MemberId, StoreGeneration>;

/// What an acceptor holds of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// No ballot below this is promised or accepted any more.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
}

/// One thing to keep on disk; those of one wish are kept all or none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    Register(Key, Register),
    /// That councillor now stands on that memory.
    PeerGeneration(MemberId, StoreGeneration),
    /// The memory this store stands on, raised when the others knew a later one.
    OwnGeneration(StoreGeneration),
    /// The memories of all at the founding, as this councillor saw them; written once per memory.
    Founders(StoreGenerations),
    /// From here on this councillor takes part.
    Participating,
}

/// All that a store holds, read at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoredState {
    pub generation: StoreGeneration,
    /// Whether the founding or a recovery has been gone through.
    pub participating: bool,
    pub founders: Option<StoreGenerations>,
    pub known: StoreGenerations,
    pub registers: BTreeMap<Key, Register>,
}

impl StoredState {
    /// A store just created.
    pub fn new(generation: StoreGeneration) -> StoredState {
        StoredState { generation, ..StoredState::default() }
    }

    /// What was accepted last there; whether it is chosen is not known here.
    pub fn accepted(&self, key: Key) -> Option<&Value> {
        self.registers.get(&key)?.accepted.as_ref().map(|(_, value)| value)
    }

    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Register(key, register) => {
                self.registers.insert(*key, register.clone());
            }
            Record::PeerGeneration(member, generation) => {
                self.known.insert(*member, *generation);
            }
            Record::OwnGeneration(generation) => {
                self.generation = *generation;
                self.founders = None;
            }
            Record::Founders(founders) => self.founders = Some(founders.clone()),
            Record::Participating => self.participating = true,
        }
    }
}

/// What is asked of a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Change {
    Read,
    /// If the revision is this (0: nothing there yet), then this body.
    Set {
        if_revision: u64,
        body: Vec<u8>,
    },
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is chosen: it can't be lost while a majority keeps its memory.
    Chosen(Value),
    /// The answer to a read, or to a change whose revision was another: what is chosen now. A retried change
    /// that was chosen and then followed by another is answered so too.
    Current(Option<Value>),
    /// No answer in time: chosen or not, nobody knows yet. Asking again under the same number is safe.
    Unanswered,
    /// Never tried: the body is too long or too many wait for that key.
    Rejected,
}
