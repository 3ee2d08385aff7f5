//! The councillor's side: which leases it has renewed, and which values it therefore must not accept. This is
//! kept in memory only; a restart that loses it is made up for by a whole lease in which no slot is
//! reassigned.

use crate::bucket::{Bucket, SlotEntry};
use crate::config::LeaseConfig;
use crate::ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
use crate::messages::{Release, Renew, Renewed};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// Why a value is not accepted now, and until when on this councillor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disallowed {
    /// The slot was renewed for another member and may be in use.
    Leased { slot: Slot, until: Timestamp },
    /// This councillor started or recovered less than a lease ago and may have granted renewals that it no
    /// longer knows of.
    Forgotten { slot: Slot, until: Timestamp },
}

/// The last renewal or release of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Grant {
    holder: (MemberId, InstanceId),
    epoch: Epoch,
    until: Timestamp,
    released: bool,
}

/// The leases that one councillor has renewed; at most one entry per slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrants {
    config: LeaseConfig,
    /// Until then no held slot is reassigned, since renewals may have been forgotten.
    quiet_until: Timestamp,
    grants: BTreeMap<Slot, Grant>,
}

impl LeaseGrants {
    /// A councillor that starts now.
    pub fn new(now: Ms, config: LeaseConfig) -> LeaseGrants {
        let quiet_until = Timestamp(now + config.councillor_lease());
        LeaseGrants { config, quiet_until, grants: BTreeMap::new() }
    }

    /// To be called after this councillor's store was lost and restored from the others.
    pub fn restart_quiet_period(&mut self, now: Ms) {
        self.quiet_until = Timestamp(now + self.config.councillor_lease());
    }

    /// Answers a holder's request, given what this councillor has accepted for each slot. To be called only
    /// by a councillor that takes part; one that abstains does not answer.
    pub fn renew(
        &mut self,
        now: Ms,
        from: MemberId,
        request: &Renew,
        accepted: impl Fn(Slot) -> SlotEntry,
    ) -> Renewed {
        let holder = (from, request.instance);
        let mut refused = Vec::new();
        for &(slot, epoch) in &request.slots {
            if slot.0 < self.config.slots && self.may_renew(slot, holder, epoch, accepted(slot)) {
                let until = Timestamp(now + self.config.councillor_lease());
                self.grants.insert(slot, Grant { holder, epoch, until, released: false });
            } else {
                refused.push(slot);
            }
        }
        Renewed { instance: request.instance, number: request.number, refused }
    }

    /// An epoch newer than the accepted one is granted: a majority of other councillors chose it, and its
    /// holder knows of it. Refused are epochs that this councillor knows to have ended.
    fn may_renew(
        &self,
        slot: Slot,
        holder: (MemberId, InstanceId),
        epoch: Epoch,
        accepted: SlotEntry,
    ) -> bool {
        if !self.config.guards.stale() {
            return true;
        }
        let ended = accepted.epoch > epoch || (accepted.epoch == epoch && accepted.held != Some(holder));
        let granted = self.grants.get(&slot);
        let superseded =
            granted.is_some_and(|grant| grant.epoch > epoch || (grant.epoch == epoch && grant.released));
        !ended && !superseded
    }

    /// The holder no longer uses these slots, and never will under these epochs.
    pub fn release(&mut self, now: Ms, from: MemberId, message: &Release) {
        for &(slot, epoch) in message.slots.iter().filter(|(slot, _)| slot.0 < self.config.slots) {
            let holder = (from, message.instance);
            let of_another =
                |grant: &Grant| grant.epoch > epoch || (grant.epoch == epoch && grant.holder != holder);
            if !self.grants.get(&slot).is_some_and(of_another) {
                self.grants.insert(slot, Grant { holder, epoch, until: Timestamp(now), released: true });
            }
        }
    }

    /// The acceptor's guard: whether `to` may be accepted where `from` was accepted before.
    ///
    /// # Errors
    /// The first slot that forbids it, and until when.
    pub fn allows(&self, now: Ms, id: BucketId, from: &Bucket, to: &Bucket) -> Result<(), Disallowed> {
        to.entries()
            .try_for_each(|(index, entry)| self.allows_entry(now, id.slot(index), from.entry(index), *entry))
    }

    /// As [`LeaseGrants::allows`], on encoded bodies as the council stores them. A body that can't be decoded
    /// is not accepted, since it could free or reassign slots in a way that nobody can check.
    pub fn allows_encoded(&self, now: Ms, id: BucketId, from: &[u8], to: &[u8]) -> bool {
        let slots = self.config.slots_in(id);
        let decode = |body| Bucket::decode(id, slots, body);
        matches!((decode(from), decode(to)), (Ok(from), Ok(to)) if self.allows(now, id, &from, &to).is_ok())
    }

    /// Each change raises an epoch by one. So with a step of one, there is no holder in between for whom this
    /// councillor may have granted a renewal that it does not know of.
    fn allows_entry(&self, now: Ms, slot: Slot, from: SlotEntry, to: SlotEntry) -> Result<(), Disallowed> {
        let follows = |epoch: Epoch| to.epoch.0 == epoch.0.wrapping_add(1);
        let grant = self.grants.get(&slot);
        let as_renewed = grant.is_some_and(|grant| grant.epoch == to.epoch && Some(grant.holder) == to.held);
        if to == from || as_renewed || grant.is_some_and(|grant| grant.released && follows(grant.epoch)) {
            return Ok(());
        }
        let running = grant.filter(|grant| !grant.released && Timestamp(now) < grant.until);
        if let Some(Grant { until, .. }) = running {
            if self.config.guards.leases() {
                return Err(Disallowed::Leased { slot, until: *until });
            }
        }
        let untouched = from.held.is_none() && follows(from.epoch);
        if !untouched && Timestamp(now) < self.quiet_until && self.config.guards.quarantine() {
            return Err(Disallowed::Forgotten { slot, until: self.quiet_until });
        }
        Ok(())
    }
}
