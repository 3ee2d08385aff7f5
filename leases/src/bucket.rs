//! The body of a `Key::Slots(b)` register: who holds each of up to 24 slots, and how that changes.

use crate::error::LeaseError;
use crate::ids::{BucketId, Epoch, InstanceId, MemberId};
use serde::{Deserialize, Serialize};

/// Slots of one register. Each takes 22 bytes at most, so 24 take 530 with the version. 32 would take 706,
/// more than the council's limit: its promises carry the state of every councillor besides a body.
pub const SLOTS_PER_BUCKET: usize = 24;
/// The council's limit on the bytes of a body.
pub const MAX_BODY_BYTES: usize = 600;
/// The version of the encoding, in the first byte.
const VERSION: u8 = 1;

/// One slot: its holder, if there is one, and the number of its last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotEntry {
    pub epoch: Epoch,
    pub held: Option<(MemberId, InstanceId)>,
}

impl SlotEntry {
    fn reassign(&mut self, held: Option<(MemberId, InstanceId)>) {
        *self = SlotEntry { epoch: Epoch(self.epoch.0 + 1), held };
    }
}

/// All slots of one bucket. Each change of a slot raises its epoch by one, so that a councillor can check
/// that no change is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Bucket(Vec<SlotEntry>);

impl Bucket {
    /// A bucket of free slots that nobody has held.
    pub fn empty(slots: usize) -> Bucket {
        Bucket(vec![SlotEntry::default(); slots.min(SLOTS_PER_BUCKET)])
    }

    /// Decodes a register's body; an empty body is a bucket that nobody has written yet.
    ///
    /// # Errors
    /// [`LeaseError::Body`] if it is truncated, of another version or of another size than the settings say.
    pub fn decode(id: BucketId, slots: usize, body: &[u8]) -> Result<Bucket, LeaseError> {
        let invalid = |what: &'static str| LeaseError::Body { bucket: id.0, bytes: body.len(), what };
        match body.split_first() {
            None => Ok(Bucket::empty(slots)),
            Some((&VERSION, rest)) => {
                let bucket: Bucket =
                    postcard::from_bytes(rest).map_err(|_| invalid("can't be decoded as slots"))?;
                Some(bucket)
                    .filter(|bucket| bucket.0.len() == slots)
                    .ok_or(invalid("has another number of slots than D says"))
            }
            Some(_) => Err(invalid("is of a version that this program does not support")),
        }
    }

    /// Encodes the body, 600 bytes at most.
    ///
    /// # Errors
    /// [`LeaseError::TooLong`] if it does not fit 600 bytes.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseError> {
        let rest = postcard::to_allocvec(self).map_err(|_| LeaseError::TooLong { bytes: 0 })?;
        let body: Vec<u8> = std::iter::once(VERSION).chain(rest).collect();
        match body.len() {
            bytes if bytes > MAX_BODY_BYTES => Err(LeaseError::TooLong { bytes }),
            _ => Ok(body),
        }
    }

    /// All slots, each with its index in the bucket.
    pub fn entries(&self) -> impl Iterator<Item = (usize, &SlotEntry)> {
        self.0.iter().enumerate()
    }

    /// The slot of this index; one past the end has never been held.
    pub fn entry(&self, index: usize) -> SlotEntry {
        self.0.get(index).copied().unwrap_or_default()
    }

    /// The number of free slots.
    pub fn free(&self) -> usize {
        self.0.iter().filter(|entry| entry.held.is_none()).count()
    }

    /// Assigns up to `count` free slots to the member, the lowest first.
    pub fn acquire(&self, count: usize, holder: (MemberId, InstanceId)) -> Bucket {
        let free = self.entries().filter(|(_, entry)| entry.held.is_none()).map(|(index, _)| index);
        self.reassigned(free.take(count), Some(holder))
    }

    /// Frees those of the slots that the member holds.
    pub fn release(&self, indices: &[usize], holder: (MemberId, InstanceId)) -> Bucket {
        let own = indices.iter().copied().filter(|index| self.entry(*index).held == Some(holder));
        self.reassigned(own, None)
    }

    /// Frees up to `count` slots whose holder is gone. A councillor accepts this once their leases have
    /// expired.
    pub fn expire(&self, count: usize, gone: impl Fn(MemberId, InstanceId) -> bool) -> Bucket {
        let abandoned = |entry: &SlotEntry| entry.held.is_some_and(|(id, instance)| gone(id, instance));
        let indices = self.entries().filter(|(_, entry)| abandoned(entry)).map(|(index, _)| index);
        self.reassigned(indices.take(count), None)
    }

    fn reassigned(
        &self,
        indices: impl Iterator<Item = usize>,
        held: Option<(MemberId, InstanceId)>,
    ) -> Bucket {
        let mut bucket = self.clone();
        indices.for_each(|index| bucket.0[index].reassign(held));
        bucket
    }
}
