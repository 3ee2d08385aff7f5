//! What a holder wants done.

use crate::holder::SlotShare;
use crate::ids::{BucketId, MemberId};
use crate::messages::{Release, Renew};
use crate::notes::LeaseEvent;

pub trait Effects {
    /// To a councillor's [`crate::LeaseGrants::renew`]; the answer goes to [`crate::Holder::renewed`].
    fn renew(&mut self, to: MemberId, message: &Renew);
    /// To a councillor's [`crate::LeaseGrants::release`]; not answered.
    fn release(&mut self, to: MemberId, message: &Release);
    /// Ask the council for a bucket's value; it comes to [`crate::Holder::council_answered`].
    fn read(&mut self, bucket: BucketId);
    /// Propose a bucket's body, if it still has that revision (0: never written); answered the same way.
    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>);
    /// The part is smaller now by own will. Once nothing rests on the larger one: [`crate::Holder::finish_shrink`].
    fn shrink(&mut self, part: Option<SlotShare>);
    fn note(&mut self, note: LeaseEvent);
}
