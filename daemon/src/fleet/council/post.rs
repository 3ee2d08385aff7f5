//! Messages of the council and the parts as bytes of a topic.

use ottersail_consensus::Message;
use ottersail_leases::{Release, Renew, Renewed};
use ottersail_membership::{InstanceId, MemberId, Topic};
use ottersail_rollout::MemberStatus;
use serde::de::DeserializeOwned;

/// Topic 0 is the door's.
const COUNCIL: Topic = Topic(1);
const RENEW: Topic = Topic(2);
const RENEWED: Topic = Topic(3);
const RELEASE: Topic = Topic(4);
/// Riders: the revisions that a member follows, and what it needs.
pub(super) const REVISIONS: Topic = Topic(5);
pub(super) const NEED: Topic = Topic(6);
const STAND: Topic = Topic(7);

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Post {
    Council(Message),
    Renew(Renew),
    Renewed(Renewed),
    Release(Release),
    Stand(InstanceId, MemberStatus),
}

/// Bytes for another member.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::fleet) struct Out {
    pub to: MemberId,
    pub topic: Topic,
    pub bytes: Vec<u8>,
}

impl Post {
    pub fn topic(&self) -> Topic {
        match self {
            Post::Council(_) => COUNCIL,
            Post::Renew(_) => RENEW,
            Post::Renewed(_) => RENEWED,
            Post::Release(_) => RELEASE,
            Post::Stand(..) => STAND,
        }
    }

    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Post::Council(it) => postcard::to_allocvec(it),
            Post::Renew(it) => postcard::to_allocvec(it),
            Post::Renewed(it) => postcard::to_allocvec(it),
            Post::Release(it) => postcard::to_allocvec(it),
            Post::Stand(life, it) => postcard::to_allocvec(&(life, it)),
        }
        .ok()
    }

    /// `None` if it is of no topic known here, or can't be read. Bytes after it are a later version's.
    pub fn read(topic: Topic, bytes: &[u8]) -> Option<Post> {
        fn one<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
            postcard::take_from_bytes(bytes).ok().map(|it| it.0)
        }
        match topic {
            COUNCIL => one(bytes).map(Post::Council),
            RENEW => one(bytes).map(Post::Renew),
            RENEWED => one(bytes).map(Post::Renewed),
            RELEASE => one(bytes).map(Post::Release),
            STAND => one(bytes).map(|(life, it)| Post::Stand(life, it)),
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
            Post::Council(Message::Prepare { key: Key::Slots(1), ballot: Ballot::default() }),
            Post::Renew(Renew { instance: life, number: 1, slots: slots.clone() }),
            Post::Renewed(Renewed { instance: life, number: 1, refused: vec![Slot(1)] }),
            Post::Release(Release { instance: life, slots }),
        ];
        for post in posts {
            let mut bytes = post.bytes().unwrap();
            assert_eq!(Post::read(post.topic(), &bytes), Some(post.clone()));
            assert_eq!(Post::read(post.topic(), &bytes[..bytes.len() - 1]), None, "cut: {post:?}");
            bytes.push(0);
            assert_eq!(Post::read(post.topic(), &bytes), Some(post));
            assert_eq!(Post::read(Topic(0), &bytes), None);
        }
    }
}
