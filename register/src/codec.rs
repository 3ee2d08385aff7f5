//! Records as bytes: a key, and a body behind its checksum.

use ottersail_consensus::{Key, Record, Register, StoreGeneration, StoreGenerations, StoredState};
use ottersail_membership::MemberId;
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
enum Place {
    StoreGeneration,
    Sound,
    Roll,
    Known(MemberId),
    Register(Key),
}

/// The key and the body of a record.
pub(crate) fn encode(record: &Record) -> Result<(Vec<u8>, Vec<u8>), postcard::Error> {
    let (place, body) = match record {
        Record::OwnGeneration(generation) => (Place::StoreGeneration, postcard::to_allocvec(generation)?),
        Record::Participating => (Place::Sound, Vec::new()),
        Record::Founders(founders) => (Place::Roll, postcard::to_allocvec(founders)?),
        Record::PeerGeneration(member, generation) => {
            (Place::Known(*member), postcard::to_allocvec(generation)?)
        }
        Record::Register(key, register) => (Place::Register(*key), postcard::to_allocvec(register)?),
    };
    Ok((postcard::to_allocvec(&place)?, body))
}

/// The key of the roll.
pub(crate) fn founders() -> Result<Vec<u8>, postcard::Error> {
    postcard::to_allocvec(&Place::Roll)
}

/// The record that this key and body are.
pub(crate) fn decode(place: &[u8], body: &[u8]) -> Result<Record, postcard::Error> {
    Ok(match postcard::from_bytes(place)? {
        Place::StoreGeneration => Record::OwnGeneration(postcard::from_bytes::<StoreGeneration>(body)?),
        Place::Sound => Record::Participating,
        Place::Roll => Record::Founders(postcard::from_bytes::<StoreGenerations>(body)?),
        Place::Known(member) => Record::PeerGeneration(member, postcard::from_bytes(body)?),
        Place::Register(key) => Record::Register(key, postcard::from_bytes::<Register>(body)?),
    })
}

/// The body with the CRC-32 of key and body in front.
pub(crate) fn seal(place: &[u8], body: &[u8]) -> Vec<u8> {
    [&sum(place, body)[..], body].concat()
}

/// The body, if its checksum holds.
pub(crate) fn unseal<'a>(place: &[u8], sealed: &'a [u8]) -> Option<&'a [u8]> {
    let (told, body) = sealed.split_first_chunk::<4>()?;
    (*told == sum(place, body)).then_some(body)
}

fn sum(place: &[u8], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(place);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// The memory number first: it takes the roll back, as in the machine.
pub(crate) fn gather(records: impl Iterator<Item = Record>) -> Option<StoredState> {
    let (mine, others): (Vec<Record>, Vec<Record>) =
        records.partition(|record| matches!(record, Record::OwnGeneration(_)));
    let mut stored = StoredState::default();
    stored.apply(mine.first()?);
    others.iter().for_each(|record| stored.apply(record));
    Some(stored)
}
