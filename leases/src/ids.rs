//! One type for each kind of number; who a member is comes from `members`.

use ottersail::time::Ms;
pub use ottersail_membership::{InstanceId, MemberId};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

macro_rules! numbers {
    ($($(#[$doc:meta])* $id:ident($number:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $id(pub $number);
    )*};
}

numbers!(
    /// One of the whole's equal parts, counted through all buckets.
    Slot(u16),
    /// Raised by one at each change of a slot's holder, so that an older holder's renewals can be told apart.
    Epoch(u32),
    /// One register of the council: 24 slots.
    BucketId(u8),
);

impl Slot {
    pub fn bucket(self) -> BucketId {
        BucketId((self.0 / crate::bucket::SLOTS_PER_BUCKET as u16) as u8)
    }

    /// Its place in its bucket.
    pub(crate) fn index_in_bucket(self) -> usize {
        usize::from(self.0) % crate::bucket::SLOTS_PER_BUCKET
    }
}

impl BucketId {
    pub(crate) fn slot(self, seat: usize) -> Slot {
        Slot(u16::from(self.0) * crate::bucket::SLOTS_PER_BUCKET as u16 + seat as u16)
    }
}

/// A time of one member's monotonic clock that can be hashed, for explored models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub Ms);

impl Timestamp {
    pub const NEVER: Timestamp = Timestamp(Ms::DISTANT_PAST);
}

impl Hash for Timestamp {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0 .0.to_bits().hash(state);
    }
}
