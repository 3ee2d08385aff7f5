//! A type for each kind of number. The ids of members come from `ottersail-membership`.

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
    /// One of the equal shares of the capacity, numbered through all buckets.
    Slot(u16),
    /// Raised by one at each change of a slot's holder, so that renewals of an earlier holder can be
    /// recognized.
    Epoch(u32),
    /// One register of the council, with 24 slots.
    BucketId(u8),
);

impl Slot {
    /// The bucket that this slot is in.
    pub fn bucket(self) -> BucketId {
        BucketId((self.0 / crate::bucket::SLOTS_PER_BUCKET as u16) as u8)
    }

    /// Its index in its bucket.
    pub(crate) fn index_in_bucket(self) -> usize {
        usize::from(self.0) % crate::bucket::SLOTS_PER_BUCKET
    }
}

impl BucketId {
    pub(crate) fn slot(self, index: usize) -> Slot {
        Slot(u16::from(self.0) * crate::bucket::SLOTS_PER_BUCKET as u16 + index as u16)
    }
}

/// A time of one member's monotonic clock. It can be hashed, as the model checker requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub Ms);

impl Timestamp {
    /// Earlier than any time of a clock.
    pub const NEVER: Timestamp = Timestamp(Ms::DISTANT_PAST);
}

impl Hash for Timestamp {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0 .0.to_bits().hash(state);
    }
}
