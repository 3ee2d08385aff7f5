//! What is asked of the council, and what its `Head` holds.

use ottersail_consensus::{Change, Key, MemberId, Outcome, Value};
use ottersail_leases::{Answer, BucketId, LeaseConfig};
use serde::{Deserialize, Serialize};

const VERSION: u8 = 1;

/// The configuration fixed at the founding; the first one that is chosen stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FoundingConfig {
    pub slots: u16,
    pub lease_ms: u32,
    pub drift_ppm: u32,
}

impl FoundingConfig {
    pub fn bytes(self) -> Vec<u8> {
        let rest = postcard::to_allocvec(&self).unwrap_or_default();
        std::iter::once(VERSION).chain(rest).collect()
    }

    /// `None` if the bytes are of an unknown version or truncated.
    pub fn read(bytes: &[u8]) -> Option<FoundingConfig> {
        let (&VERSION, rest) = bytes.split_first()? else { return None };
        postcard::take_from_bytes(rest).ok().map(|it| it.0)
    }

    pub fn terms(self, councillors: &[MemberId]) -> LeaseConfig {
        LeaseConfig {
            slots: self.slots,
            lease_ms: self.lease_ms,
            drift_ppm: self.drift_ppm,
            councillors: councillors.to_vec(),
            guards: Default::default(),
        }
    }
}

/// The subject of an own request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    FoundingConfig,
    Read(BucketId),
    Propose(BucketId),
    /// A register of releases.
    Order(Key),
}

impl Request {
    pub fn key(self) -> Key {
        match self {
            Request::FoundingConfig => Key::Founding,
            Request::Read(no) | Request::Propose(no) => Key::Slots(no.0),
            Request::Order(key) => key,
        }
    }

    /// The outcome as an answer for the lease holder.
    pub fn answer(self, outcome: Outcome) -> Answer {
        let parts = |it: Option<Value>| it.map_or((0, Vec::new()), |it| (it.revision, it.body));
        match outcome {
            Outcome::Chosen(value) => Answer::Chosen { revision: value.revision, body: value.body },
            Outcome::Current(value) => {
                let (revision, body) = parts(value);
                match self {
                    Request::Propose(_) => Answer::Conflict { revision, body },
                    _ => Answer::Chosen { revision, body },
                }
            }
            Outcome::Unanswered | Outcome::Rejected => Answer::Refused,
        }
    }
}

pub(super) fn set(if_revision: u64, body: Vec<u8>) -> Change {
    Change::Set { if_revision, body }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: FoundingConfig = FoundingConfig { slots: 64, lease_ms: 10_000, drift_ppm: 1_000 };

    #[test]
    fn a_head_is_read_again_and_another_version_is_not() {
        let mut bytes = HEAD.bytes();
        assert_eq!(FoundingConfig::read(&bytes), Some(HEAD));
        bytes.push(9);
        assert_eq!(FoundingConfig::read(&bytes), Some(HEAD), "a later field is let be");
        assert_eq!(FoundingConfig::read(&bytes[..3]), None);
        bytes[0] = 2;
        assert_eq!(FoundingConfig::read(&bytes), None);
    }

    #[test]
    fn what_stands_is_an_answer_to_a_reading_and_against_a_change() {
        let value = Value { revision: 4, body: vec![1], ..absent() };
        let no = BucketId(1);
        let stands = || Outcome::Current(Some(value.clone()));
        let (revision, body) = (4, vec![1]);
        let read = Request::Read(no).answer(stands());
        assert_eq!(read, Answer::Chosen { revision, body: body.clone() });
        assert_eq!(Request::Propose(no).answer(stands()), Answer::Conflict { revision, body: body.clone() });
        assert_eq!(
            Request::Propose(no).answer(Outcome::Chosen(value.clone())),
            Answer::Chosen { revision, body }
        );
        let nothing = Answer::Chosen { revision: 0, body: vec![] };
        assert_eq!(Request::Read(no).answer(Outcome::Current(None)), nothing);
        assert_eq!(Request::Propose(no).answer(Outcome::Unanswered), Answer::Refused);
    }

    fn absent() -> Value {
        Value { revision: 0, request: Default::default(), body: vec![] }
    }
}
