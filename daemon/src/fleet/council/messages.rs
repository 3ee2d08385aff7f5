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
const STAND: Topic = Topic(7);

#[derive(Clone, Debug, PartialEq)]
pub(super) enum CouncilMessage {
    Council(Message),
    Renew(Renew),
    Renewed(Renewed),
    Release(Release),
    Stand(InstanceId, MemberStatus),
}

/// An encoded message to another member.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::fleet) struct Out {
    pub to: MemberId,
    pub topic: Topic,
    pub bytes: Vec<u8>,
}

impl CouncilMessage {
    pub fn topic(&self) -> Topic {
        match self {
            CouncilMessage::Council(_) => COUNCIL,
            CouncilMessage::Renew(_) => RENEW,
            CouncilMessage::Renewed(_) => RENEWED,
            CouncilMessage::Release(_) => RELEASE,
            CouncilMessage::Stand(..) => STAND,
        }
    }

    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            CouncilMessage::Council(it) => postcard::to_allocvec(it),
            CouncilMessage::Renew(it) => postcard::to_allocvec(it),
            CouncilMessage::Renewed(it) => postcard::to_allocvec(it),
            CouncilMessage::Release(it) => postcard::to_allocvec(it),
            CouncilMessage::Stand(life, it) => postcard::to_allocvec(&(life, it)),
        }
        .ok()
    }

    /// `None` if the topic is unknown or the bytes cannot be decoded. Trailing bytes belong to a later version.
    pub fn read(topic: Topic, bytes: &[u8]) -> Option<CouncilMessage> {
        fn one<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
            postcard::take_from_bytes(bytes).ok().map(|it| it.0)
        }
        match topic {
            COUNCIL => one(bytes).map(CouncilMessage::Council),
            RENEW => one(bytes).map(CouncilMessage::Renew),
            RENEWED => one(bytes).map(CouncilMessage::Renewed),
            RELEASE => one(bytes).map(CouncilMessage::Release),
            STAND => one(bytes).map(|(life, it)| CouncilMessage::Stand(life, it)),
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
    fn each_is_read_as_what_it_was() {
        let (life, slots) = (InstanceId(3), vec![(Slot(1), Epoch(2))]);
        let posts = [
            CouncilMessage::Council(Message::Prepare { key: Key::Slots(1), ballot: Ballot::default() }),
            CouncilMessage::Renew(Renew { instance: life, number: 1, slots: slots.clone() }),
            CouncilMessage::Renewed(Renewed { instance: life, number: 1, refused: vec![Slot(1)] }),
            CouncilMessage::Release(Release { instance: life, slots }),
        ];
        for post in posts {
            let mut bytes = post.bytes().unwrap();
            assert_eq!(CouncilMessage::read(post.topic(), &bytes), Some(post.clone()));
            assert_eq!(CouncilMessage::read(post.topic(), &bytes[..bytes.len() - 1]), None, "cut: {post:?}");
            bytes.push(0);
            assert_eq!(CouncilMessage::read(post.topic(), &bytes), Some(post));
            assert_eq!(CouncilMessage::read(Topic(0), &bytes), None);
        }
    }
}
