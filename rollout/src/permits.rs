//! The permits to be out of service, as the council's registers hold them: one table for managers and one for
//! servers. All permits of a kind lie in one register, so their number is bounded by a single value.

use crate::order::{Name, Serial};
use ottersail_membership::{InstanceId, MemberId};
use serde::{Deserialize, Serialize};

const VERSION: u8 = 1;
/// Maximum number of permits at once; more would not fit in a register.
pub const MAX_PERMITS: usize = 16;

/// A time by the clock of the member that it belongs to, in milliseconds since that member's life began. No other
/// member converts it to its own time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberTime(pub u64);

/// Permission to leave once. The member counts as out from the moment the permit is chosen until it is removed
/// from the table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Permit {
    pub member: MemberId,
    /// The life that may leave; a later life of the same member may not.
    pub life: InstanceId,
    /// When that life reported that it was ready. The permit may be used for the order's `use_ms` after this, by
    /// the member's own clock.
    pub requested_at: MemberTime,
    /// The version to return with.
    pub version: Name,
}

/// All current permits of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitTable {
    /// The revision of the order's register under which the permits were granted.
    pub order_revision: u64,
    /// The serial of that order.
    pub serial: Serial,
    /// Sorted by member, one each.
    pub permits: Vec<Permit>,
    /// The order is completed: no member has to act under it, and members stop sending their status.
    pub ended: bool,
}

impl PermitTable {
    /// The table as the bytes of a register.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = postcard::to_allocvec(self).unwrap_or_default();
        std::iter::once(VERSION).chain(encoded).collect()
    }

    /// `None` if the bytes are of an unknown version, truncated, too long or not sorted. Trailing bytes belong to a
    /// later version and are ignored.
    pub fn decode(bytes: &[u8]) -> Option<PermitTable> {
        let (&VERSION, encoded) = bytes.split_first()? else { return None };
        let table: PermitTable = postcard::take_from_bytes(encoded).ok()?.0;
        let sorted = table.permits.windows(2).all(|pair| pair[0].member < pair[1].member);
        (table.permits.len() <= MAX_PERMITS && sorted).then_some(table)
    }

    /// The permit of that member.
    pub fn permit_of(&self, member: MemberId) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.member == member)
    }
}
