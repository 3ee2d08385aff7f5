//! What a holder asks its caller to do.

use crate::events::LeaseEvent;
use crate::holder::SlotShare;
use crate::ids::{BucketId, MemberId};
use crate::messages::{Release, Renew};

/// The outputs of [`crate::Holder`].
pub trait Effects {
    /// Send to a councillor's [`crate::LeaseGrants::renew`]; pass the answer to [`crate::Holder::renewed`].
    fn renew(&mut self, to: MemberId, message: &Renew);
    /// Send to a councillor's [`crate::LeaseGrants::release`]; there is no answer.
    fn release(&mut self, to: MemberId, message: &Release);
    /// Ask the council for a bucket's value; pass the answer to [`crate::Holder::council_answered`].
    fn read(&mut self, bucket: BucketId);
    /// Propose a bucket's body on condition that it still has this revision (0: never written). The answer is
    /// passed on in the same way.
    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>);
    /// The holder gives up slots, and this is the smaller share. Call [`crate::Holder::finish_shrink`] once
    /// nothing uses the larger one.
    fn shrink(&mut self, share: Option<SlotShare>);
    /// An event, for metrics.
    fn note(&mut self, event: LeaseEvent);
}
