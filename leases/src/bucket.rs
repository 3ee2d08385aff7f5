//! The body of a `Key::Slots(b)` value: who holds each of up to 24 slots, and how that is changed.

use crate::ids::{BucketId, Epoch, InstanceId, MemberId};
use crate::trouble::LeaseError;
use serde::{Deserialize, Serialize};

/// Slots of one register. Each takes 22 bytes at most, 24 of them 530 with the version; 32 would be 706, more
/// than the council takes, whose promises carry every councillor's memory beside a body.
pub const SLOTS_PER_BUCKET: usize = 24;
/// The council's limit on a body.
pub const MOST_BYTES: usize = 600;
const VERSION: u8 = 1;

/// One slot: who holds it, if anybody, since which change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotEntry {
    pub epoch: Epoch,
    pub held: Option<(MemberId, InstanceId)>,
}

impl SlotEntry {
    fn now(&mut self, held: Option<(MemberId, InstanceId)>) {
        *self = SlotEntry { epoch: Epoch(self.epoch.0 + 1), held };
    }
}

/// All seats of one bucket. Each change of a seat raises its epoch by one: a chain that a councillor can check.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Bucket(Vec<SlotEntry>);

impl Bucket {
    /// With so many free seats that nobody has held.
    pub fn empty(seats: usize) -> Bucket {
        Bucket(vec![SlotEntry::default(); seats.min(SLOTS_PER_BUCKET)])
    }

    /// Reads a register's body; none at all is a bucket that nobody wrote yet.
    ///
    /// # Errors
    /// [`LeaseError::Body`] if it is cut, of another version or of another size than the settings say.
    pub fn decode(no: BucketId, seats: usize, body: &[u8]) -> Result<Bucket, LeaseError> {
        let bad = |what: &'static str| LeaseError::Body { bucket: no.0, bytes: body.len(), what };
        match body.split_first() {
            None => Ok(Bucket::empty(seats)),
            Some((&VERSION, rest)) => {
                let it: Bucket = postcard::from_bytes(rest).map_err(|_| bad("cannot be read as slots"))?;
                Some(it).filter(|it| it.0.len() == seats).ok_or(bad("has another count of slots than D says"))
            }
            Some(_) => Err(bad("is of a version that this program does not know")),
        }
    }

    /// The body, 600 bytes at most.
    ///
    /// # Errors
    /// [`LeaseError::Written`] if it cannot be put in 600 bytes.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseError> {
        let rest = postcard::to_allocvec(self).map_err(|_| LeaseError::Written { bytes: 0 })?;
        let body: Vec<u8> = std::iter::once(VERSION).chain(rest).collect();
        match body.len() {
            bytes if bytes > MOST_BYTES => Err(LeaseError::Written { bytes }),
            _ => Ok(body),
        }
    }

    pub fn entries(&self) -> impl Iterator<Item = (usize, &SlotEntry)> {
        self.0.iter().enumerate()
    }

    /// A seat past the end is one that nobody has held.
    pub fn entry(&self, seat: usize) -> SlotEntry {
        self.0.get(seat).copied().unwrap_or_default()
    }

    pub fn free(&self) -> usize {
        self.0.iter().filter(|it| it.held.is_none()).count()
    }

    /// Gives up to k free seats to that member, the lowest first.
    pub fn acquire(&self, k: usize, who: (MemberId, InstanceId)) -> Bucket {
        self.but(self.0.iter().enumerate().filter(|it| it.1.held.is_none()).map(|it| it.0).take(k), Some(who))
    }

    /// Frees those of the seats that this member holds.
    pub fn release(&self, seats: &[usize], who: (MemberId, InstanceId)) -> Bucket {
        self.but(seats.iter().copied().filter(|it| self.entry(*it).held == Some(who)), None)
    }

    /// Frees up to k seats whose holder is gone; a councillor lets it pass once their leases have run out.
    pub fn expire(&self, k: usize, gone: impl Fn(MemberId, InstanceId) -> bool) -> Bucket {
        let lapsed = |it: &(usize, &SlotEntry)| it.1.held.is_some_and(|(id, instance)| gone(id, instance));
        self.but(self.0.iter().enumerate().filter(lapsed).map(|it| it.0).take(k), None)
    }

    fn but(&self, seats: impl Iterator<Item = usize>, held: Option<(MemberId, InstanceId)>) -> Bucket {
        let mut bucket = self.clone();
        seats.for_each(|it| bucket.0[it].now(held));
        bucket
    }
}
