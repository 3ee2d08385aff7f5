//! One type for each kind of number; who a member is comes from `members`.

use ottersail::time::Ms;
pub use ottersail_membership::{Life, MemberId};
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
    BucketNo(u8),
);

impl Slot {
    pub fn bucket(self) -> BucketNo {
        BucketNo((self.0 / crate::bucket::SEATS as u16) as u8)
    }

    /// Its place in its bucket.
    pub(crate) fn seat(self) -> usize {
        usize::from(self.0) % crate::bucket::SEATS
    }
}

impl BucketNo {
    pub(crate) fn slot(self, seat: usize) -> Slot {
        Slot(u16::from(self.0) * crate::bucket::SEATS as u16 + seat as u16)
    }
}

/// A time of one member's monotonic clock that can be hashed, for explored models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct At(pub Ms);

impl At {
    pub const NEVER: At = At(Ms::DISTANT_PAST);
}

impl Hash for At {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0 .0.to_bits().hash(state);
    }
}
