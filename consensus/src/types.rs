//! The registers' keys and values, and the state that a councillor persists.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use ottersail_membership::{InstanceId, MemberId};

/// Maximum length of a value's body in bytes. A promise that also carries every councillor's store generation
/// then fits in a message of 900 bytes.
pub const MAX_BODY_BYTES: usize = 600;

/// Identifies a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The configuration that is fixed when the council is founded.
    Founding,
    /// One bucket of slots.
    Slots(u8),
    /// An operator's order or the state that belongs to it.
    Order(u16),
}

/// Identifies one request of one member. It stays the same at each retry, whichever councillor is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub member: MemberId,
    pub life: InstanceId,
    /// Chosen by the member, unique within its life.
    pub number: u64,
}

/// The content of a register. There is exactly one value per key and revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Value {
    /// Starts at 1 and grows by one with each change.
    pub revision: u64,
    /// The request that made this change, so that a retry of it is recognized and not applied twice.
    pub request: RequestId,
    pub body: Vec<u8>,
}

/// Orders the rounds: the greater number wins; the proposer and its life break ties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub number: u64,
    pub proposer: MemberId,
    pub life: InstanceId,
}

/// Identifies one incarnation of a councillor's store, so that a lost and recreated store is noticed. The upper
/// 16 bits count the losses that the other councillors knew of, the lower 48 bits are drawn at random when the
/// store is created. Of two generations of one councillor, the lesser is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreGeneration(pub u64);

impl StoreGeneration {
    /// A first generation from 64 random bits.
    pub fn drawn(random: u64) -> StoreGeneration {
        StoreGeneration(random & 0xffff_ffff_ffff)
    }

    /// The same random bits with a loss count above that of `other`.
    pub fn above(self, other: StoreGeneration) -> StoreGeneration {
        StoreGeneration((((other.0 >> 48) + 1) << 48) | (self.0 & 0xffff_ffff_ffff))
    }
}

/// The latest known store generation of each councillor.
pub type StoreGenerations = BTreeMap<MemberId, StoreGeneration>;

/// An acceptor's state for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// No lower ballot is promised or accepted any more.
    pub promised: Ballot,
    /// The value accepted last, with its ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// One record to persist. The records of one request to persist are written atomically.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    Register(Key, Register),
    /// Another councillor's latest known store generation.
    PeerGeneration(MemberId, StoreGeneration),
    /// This store's own generation; raised when the others know a later one.
    OwnGeneration(StoreGeneration),
    /// The store generations of all councillors at the founding as this one saw them; written once per
    /// generation.
    Founders(StoreGenerations),
    /// This councillor participates from here on.
    Participating,
}

/// The whole content of a store, read at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoredState {
    pub generation: StoreGeneration,
    /// Whether the founding or a recovery has been completed.
    pub participating: bool,
    pub founders: Option<StoreGenerations>,
    pub known: StoreGenerations,
    pub registers: BTreeMap<Key, Register>,
}

impl StoredState {
    /// The content of a newly created store.
    pub fn new(generation: StoreGeneration) -> StoredState {
        StoredState { generation, ..StoredState::default() }
    }

    /// The value accepted last in that register. Whether it is chosen is not known here.
    pub fn accepted(&self, key: Key) -> Option<&Value> {
        self.registers.get(&key)?.accepted.as_ref().map(|(_, value)| value)
    }

    /// Updates the state with a record that has been persisted.
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

/// A request to a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Returns the chosen value.
    Read,
    /// Compare and set: writes `body` if the register is at `if_revision` (0 for an empty register).
    Set { if_revision: u64, body: Vec<u8> },
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is chosen. It cannot be lost while a majority of councillors keeps its stores.
    Chosen(Value),
    /// The value chosen now, in answer to a read or to a change whose expected revision did not match. A retried
    /// change that was chosen and then followed by another one is answered like this too.
    Current(Option<Value>),
    /// No answer in time; the change may or may not be chosen. Retrying under the same number is safe.
    Unanswered,
    /// Not attempted: the body is too long or too many requests wait.
    Rejected,
}
