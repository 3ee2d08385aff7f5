//! Scope may be out by order, as the council's register holds it: one book for managers, one for servers. All
//! permits of a kind lie in one register, so that their count is a matter of one value.

use crate::order::{Name, Serial};
use ottersail_membership::{InstanceId, MemberId};
use serde::{Deserialize, Serialize};

const VERSION: u8 = 1;
/// Permits out at once at most: what a register takes.
pub const MAX_PERMITS: usize = 16;

/// A moment by the clock of the one that it names, in milliseconds since it was born; nobody else reads a
/// time from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberTime(pub u64);

/// Leave to go out, once. It counts as out from the moment it is chosen until it is struck off the book.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Permit {
    pub member: MemberId,
    /// The life that may go; another one of the same name may not.
    pub life: InstanceId,
    /// When that life told that it stands whole; the permit may be used for `use_ms` after this, by its own
    /// clock.
    pub asked: MemberTime,
    /// The version to come back with.
    pub version: Name,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitTable {
    /// The revision of the order's register that these were given under.
    pub order: u64,
    pub serial: Serial,
    /// Ordered by member, one each.
    pub permits: Vec<Permit>,
    /// Nobody has anything to do under that order any more: holders say nothing more of themselves.
    pub ended: bool,
}

impl PermitTable {
    pub fn encode(&self) -> Vec<u8> {
        let rest = postcard::to_allocvec(self).unwrap_or_default();
        std::iter::once(VERSION).chain(rest).collect()
    }

    /// `None` if it is of a version that is not known here, cut, too long or not in order. Bytes after it are
    /// a later version's.
    pub fn decode(bytes: &[u8]) -> Option<PermitTable> {
        let (&VERSION, rest) = bytes.split_first()? else { return None };
        let book: PermitTable = postcard::take_from_bytes(rest).ok()?.0;
        let ordered = book.permits.windows(2).all(|two| two[0].member < two[1].member);
        (book.permits.len() <= MAX_PERMITS && ordered).then_some(book)
    }

    pub fn of(&self, member: MemberId) -> Option<&Permit> {
        self.permits.iter().find(|it| it.member == member)
    }
}
