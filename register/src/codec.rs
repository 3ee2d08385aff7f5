//! Encodes records as a key and a body that is preceded by its checksum.

use ottersail_consensus::{Key, Record, Register, StoreGeneration, StoreGenerations, StoredState};
use ottersail_membership::MemberId;
use serde::{Deserialize, Serialize};

/// The key of a record in the database. Stored by the order of its variants.
#[derive(Serialize, Deserialize)]
enum RecordKey {
    Generation,
    Participating,
    Founders,
    PeerGeneration(MemberId),
    Register(Key),
}

/// Encodes a record as key and body.
pub(crate) fn encode(record: &Record) -> Result<(Vec<u8>, Vec<u8>), postcard::Error> {
    let (key, body) = match record {
        Record::OwnGeneration(generation) => (RecordKey::Generation, postcard::to_allocvec(generation)?),
        Record::Participating => (RecordKey::Participating, Vec::new()),
        Record::Founders(founders) => (RecordKey::Founders, postcard::to_allocvec(founders)?),
        Record::PeerGeneration(member, generation) => {
            (RecordKey::PeerGeneration(*member), postcard::to_allocvec(generation)?)
        }
        Record::Register(key, register) => (RecordKey::Register(*key), postcard::to_allocvec(register)?),
    };
    Ok((postcard::to_allocvec(&key)?, body))
}

/// The key of the record of the founders.
pub(crate) fn founders_key() -> Result<Vec<u8>, postcard::Error> {
    postcard::to_allocvec(&RecordKey::Founders)
}

/// Decodes a record from its key and body.
pub(crate) fn decode(key: &[u8], body: &[u8]) -> Result<Record, postcard::Error> {
    Ok(match postcard::from_bytes(key)? {
        RecordKey::Generation => Record::OwnGeneration(postcard::from_bytes::<StoreGeneration>(body)?),
        RecordKey::Participating => Record::Participating,
        RecordKey::Founders => Record::Founders(postcard::from_bytes::<StoreGenerations>(body)?),
        RecordKey::PeerGeneration(member) => Record::PeerGeneration(member, postcard::from_bytes(body)?),
        RecordKey::Register(key) => Record::Register(key, postcard::from_bytes::<Register>(body)?),
    })
}

/// Returns the body preceded by the CRC-32 of key and body.
pub(crate) fn add_checksum(key: &[u8], body: &[u8]) -> Vec<u8> {
    [&checksum(key, body)[..], body].concat()
}

/// Returns the body if its checksum matches.
pub(crate) fn verify_checksum<'a>(key: &[u8], checked: &'a [u8]) -> Option<&'a [u8]> {
    let (stored, body) = checked.split_first_chunk::<4>()?;
    (*stored == checksum(key, body)).then_some(body)
}

fn checksum(key: &[u8], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// Builds the stored state. The own generation is applied first, since it clears the founders.
pub(crate) fn collect_state(records: impl Iterator<Item = Record>) -> Option<StoredState> {
    let (generation, others): (Vec<Record>, Vec<Record>) =
        records.partition(|record| matches!(record, Record::OwnGeneration(_)));
    let mut stored = StoredState::default();
    stored.apply(generation.first()?);
    others.iter().for_each(|record| stored.apply(record));
    Some(stored)
}
