//! Tests on real files in temporary folders.

mod errors;
mod kill;
mod open_and_write;
mod power_cuts;

use ottersail_consensus::{
    Ballot, InstanceId, Key, MemberId, Record, Register, RequestId, StoreGeneration, Value,
};
use tempfile::TempDir;

pub(crate) const NEW_GENERATION: StoreGeneration = StoreGeneration(0xabc);

pub(crate) fn folder() -> TempDir {
    TempDir::new().unwrap()
}

/// A register with a promise and an accepted value of that number.
pub(crate) fn record(slot: u8, number: u64) -> Record {
    let ballot = Ballot { number, proposer: MemberId(1), life: InstanceId(2) };
    let request = RequestId { member: MemberId(1), life: InstanceId(2), number };
    let value = Value { revision: number, request, body: vec![slot; 100] };
    Record::Register(Key::Slots(slot), Register { promised: ballot, accepted: Some((ballot, value)) })
}
