//! This member's requests to the council, and the configuration in its founding register.

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
    /// The stored form: a version byte, then the fields.
    pub fn bytes(self) -> Vec<u8> {
        let rest = postcard::to_allocvec(&self).unwrap_or_default();
        std::iter::once(VERSION).chain(rest).collect()
    }

    /// `None` if the bytes are of an unknown version or truncated.
    pub fn read(bytes: &[u8]) -> Option<FoundingConfig> {
        let (&VERSION, rest) = bytes.split_first()? else { return None };
        postcard::take_from_bytes(rest).ok().map(|(config, _)| config)
    }

    /// The lease configuration that follows from it.
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

/// The subject of a request by this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    FoundingConfig,
    Read(BucketId),
    Propose(BucketId),
    /// A register of releases.
    Order(Key),
}

impl Request {
    /// The register that the request is about.
    pub fn key(self) -> Key {
        match self {
            Request::FoundingConfig => Key::Founding,
            Request::Read(no) | Request::Propose(no) => Key::Slots(no.0),
            Request::Order(key) => key,
        }
    }

    /// The outcome as an answer for the lease holder.
    pub fn answer(self, outcome: Outcome) -> Answer {
        let parts =
            |value: Option<Value>| value.map_or((0, Vec::new()), |value| (value.revision, value.body));
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

/// A change that sets the register's body if its revision is still `if_revision`.
pub(super) fn set(if_revision: u64, body: Vec<u8>) -> Change {
    Change::Set { if_revision, body }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: FoundingConfig = FoundingConfig { slots: 64, lease_ms: 10_000, drift_ppm: 1_000 };

    #[test]
    fn a_founding_configuration_is_decoded_unless_its_version_is_unknown() {
        let mut bytes = HEAD.bytes();
        assert_eq!(FoundingConfig::read(&bytes), Some(HEAD));
        bytes.push(9);
        assert_eq!(FoundingConfig::read(&bytes), Some(HEAD), "a field of a later version is ignored");
        assert_eq!(FoundingConfig::read(&bytes[..3]), None);
        bytes[0] = 2;
        assert_eq!(FoundingConfig::read(&bytes), None);
    }

    #[test]
    fn a_current_value_answers_a_read_and_conflicts_with_a_change() {
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
