//! Encodes messages of the council, the leases and releases as bytes of a topic.

use ottersail_consensus::Message;
use ottersail_leases::{Release, Renew, Renewed};
use ottersail_membership::{InstanceId, MemberId, Topic};
use ottersail_rollout::MemberStatus;
use serde::de::DeserializeOwned;

/// Topic 0 announces HTTP addresses.
const COUNCIL: Topic = Topic(1);
const RENEW: Topic = Topic(2);
const RENEWED: Topic = Topic(3);
const RELEASE: Topic = Topic(4);
/// Piggybacked topics: the digest of the revisions that a member follows, and its demand for slots.
pub(super) const REVISIONS: Topic = Topic(5);
pub(super) const NEED: Topic = Topic(6);
const STATUS: Topic = Topic(7);

/// A message from one member's council to another's.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CouncilMessage {
    Council(Message),
    Renew(Renew),
    Renewed(Renewed),
    Release(Release),
    Status(InstanceId, MemberStatus),
}

/// An encoded message to another member.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::fleet) struct OutgoingMessage {
    pub to: MemberId,
    pub topic: Topic,
    pub bytes: Vec<u8>,
}

impl CouncilMessage {
    /// The topic under which the message is sent.
    pub fn topic(&self) -> Topic {
        match self {
            CouncilMessage::Council(_) => COUNCIL,
            CouncilMessage::Renew(_) => RENEW,
            CouncilMessage::Renewed(_) => RENEWED,
            CouncilMessage::Release(_) => RELEASE,
            CouncilMessage::Status(..) => STATUS,
        }
    }

    /// The encoded message; `None` if it cannot be encoded.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            CouncilMessage::Council(message) => postcard::to_allocvec(message),
            CouncilMessage::Renew(message) => postcard::to_allocvec(message),
            CouncilMessage::Renewed(message) => postcard::to_allocvec(message),
            CouncilMessage::Release(message) => postcard::to_allocvec(message),
            CouncilMessage::Status(instance, status) => postcard::to_allocvec(&(instance, status)),
        }
        .ok()
    }

    /// `None` if the topic is unknown or the bytes cannot be decoded. Trailing bytes belong to a later version.
    pub fn read(topic: Topic, bytes: &[u8]) -> Option<CouncilMessage> {
        fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
            postcard::take_from_bytes(bytes).ok().map(|(value, _)| value)
        }
        match topic {
            COUNCIL => decode(bytes).map(CouncilMessage::Council),
            RENEW => decode(bytes).map(CouncilMessage::Renew),
            RENEWED => decode(bytes).map(CouncilMessage::Renewed),
            RELEASE => decode(bytes).map(CouncilMessage::Release),
            STATUS => decode(bytes).map(|(instance, status)| CouncilMessage::Status(instance, status)),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_consensus::{Ballot, Key};
    use ottersail_leases::{Epoch, InstanceId, Slot};

    #[test]
    fn each_message_is_decoded_as_it_was_encoded() {
        let (instance, slots) = (InstanceId(3), vec![(Slot(1), Epoch(2))]);
        let messages = [
            CouncilMessage::Council(Message::Prepare { key: Key::Slots(1), ballot: Ballot::default() }),
            CouncilMessage::Renew(Renew { instance, number: 1, slots: slots.clone() }),
            CouncilMessage::Renewed(Renewed { instance, number: 1, refused: vec![Slot(1)] }),
            CouncilMessage::Release(Release { instance, slots }),
        ];
        for message in messages {
            let mut bytes = message.bytes().unwrap();
            assert_eq!(CouncilMessage::read(message.topic(), &bytes), Some(message.clone()));
            assert_eq!(
                CouncilMessage::read(message.topic(), &bytes[..bytes.len() - 1]),
                None,
                "cut: {message:?}"
            );
            bytes.push(0);
            assert_eq!(CouncilMessage::read(message.topic(), &bytes), Some(message));
            assert_eq!(CouncilMessage::read(Topic(0), &bytes), None);
        }
    }
}
