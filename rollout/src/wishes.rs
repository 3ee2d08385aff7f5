//! What a conductor and a holder want done.

use crate::book::PermitTable;
use crate::notes::Event;
use crate::order::Order;
use crate::stand::MemberStatus;

pub trait Effects {
    /// Change the book's register if it is at that revision (0: nothing there); answered to
    /// [`crate::Coordinator::answered`].
    fn propose(&mut self, if_revision: u64, book: &PermitTable);
    /// Change the order's register if it is at that revision; not answered. Wished again until it stands.
    fn halt(&mut self, if_revision: u64, order: &Order);
    /// To every councillor, this one too if it is one.
    fn stand(&mut self, stand: &MemberStatus);
    fn note(&mut self, note: Event);
}

/// How an own proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is chosen, at that revision.
    Done { revision: u64 },
    /// Another value was first; this is what stands.
    Other { revision: u64, book: PermitTable },
    /// Kept out by guards, or no majority, or no answer: it may still be chosen later.
    Unknown,
}
