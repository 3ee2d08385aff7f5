//! A councillor's side: which leases it renewed, and what it therefore must not accept. Memory only: what a
//! restart forgets is made up for by a whole lease in which nothing is given away.

use crate::bucket::{Bucket, SlotEntry};
use crate::ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
use crate::messages::{Release, Renew, Renewed};
use crate::terms::LeaseConfig;
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// Why a value is not accepted now, and until when on this councillor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disallowed {
    /// That slot was renewed for another and may be in use.
    Leased { slot: Slot, until: Timestamp },
    /// This councillor started or recovered less than a lease ago and knows of no renewals from before.
    Forgotten { slot: Slot, until: Timestamp },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Grant {
    holder: (MemberId, InstanceId),
    epoch: Epoch,
    until: Timestamp,
    released: bool,
}

/// Timestamp most one entry a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrants {
    terms: LeaseConfig,
    quiet_until: Timestamp,
    grants: BTreeMap<Slot, Grant>,
}

impl LeaseGrants {
    pub fn new(now: Ms, terms: LeaseConfig) -> LeaseGrants {
        let quiet_until = Timestamp(now + terms.councillor_lease());
        LeaseGrants { terms, quiet_until, grants: BTreeMap::new() }
    }

    /// After this councillor's memory was lost and taken back from the others.
    pub fn restart_quiet_period(&mut self, now: Ms) {
        self.quiet_until = Timestamp(now + self.terms.councillor_lease());
    }

    /// Answers a holder's request, given what this councillor has accepted for each slot. To be called only
    /// by a councillor that takes part: one that abstains stays silent.
    pub fn renew(
        &mut self,
        now: Ms,
        from: MemberId,
        ask: &Renew,
        accepted: impl Fn(Slot) -> SlotEntry,
    ) -> Renewed {
        let holder = (from, ask.instance);
        let mut refused = Vec::new();
        for &(slot, epoch) in &ask.slots {
            if slot.0 < self.terms.slots && self.may_renew(slot, holder, epoch, accepted(slot)) {
                let until = Timestamp(now + self.terms.councillor_lease());
                self.grants.insert(slot, Grant { holder, epoch, until, released: false });
            } else {
                refused.push(slot);
            }
        }
        Renewed { instance: ask.instance, number: ask.number, refused }
    }

    /// A newer epoch than what was accepted here is granted: a majority of others chose it, and its holder
    /// knows. Refused is what this councillor knows to be over.
    fn may_renew(
        &self,
        slot: Slot,
        holder: (MemberId, InstanceId),
        epoch: Epoch,
        accepted: SlotEntry,
    ) -> bool {
        if !self.terms.guards.stale() {
            return true;
        }
        let over = accepted.epoch > epoch || (accepted.epoch == epoch && accepted.held != Some(holder));
        let granted = self.grants.get(&slot);
        let known = granted.is_some_and(|it| it.epoch > epoch || (it.epoch == epoch && it.released));
        !over && !known
    }

    /// The holder no longer uses these slots, and never will under these epochs.
    pub fn release(&mut self, now: Ms, from: MemberId, message: &Release) {
        for &(slot, epoch) in message.slots.iter().filter(|it| it.0 .0 < self.terms.slots) {
            let holder = (from, message.instance);
            let others = |it: &Grant| it.epoch > epoch || (it.epoch == epoch && it.holder != holder);
            if !self.grants.get(&slot).is_some_and(others) {
                self.grants.insert(slot, Grant { holder, epoch, until: Timestamp(now), released: true });
            }
        }
    }

    /// The acceptor's guard: may `to` be accepted where `from` was accepted before?
    ///
    /// # Errors
    /// The first slot that stands against it, and until when.
    pub fn allows(&self, now: Ms, no: BucketId, from: &Bucket, to: &Bucket) -> Result<(), Disallowed> {
        to.entries().try_for_each(|(seat, it)| self.allows_seat(now, no.slot(seat), from.entry(seat), *it))
    }

    /// The same on bodies as the council has them. One that cannot be read is not accepted: it would free or
    /// give away what nobody can tell.
    pub fn allows_encoded(&self, now: Ms, no: BucketId, from: &[u8], to: &[u8]) -> bool {
        let seats = self.terms.slots_in(no);
        let read = |body| Bucket::decode(no, seats, body);
        matches!((read(from), read(to)), (Ok(from), Ok(to)) if self.allows(now, no, &from, &to).is_ok())
    }

    /// Each change raises an epoch by one, so a step of one has nobody in between whom this councillor may
    /// have renewed unseen.
    fn allows_seat(&self, now: Ms, slot: Slot, from: SlotEntry, to: SlotEntry) -> Result<(), Disallowed> {
        let step = |epoch: Epoch| to.epoch.0 == epoch.0.wrapping_add(1);
        let grant = self.grants.get(&slot);
        let as_renewed = grant.is_some_and(|it| it.epoch == to.epoch && Some(it.holder) == to.held);
        if to == from || as_renewed || grant.is_some_and(|it| it.released && step(it.epoch)) {
            return Ok(());
        }
        if let Some(Grant { until, .. }) = grant.filter(|it| !it.released && Timestamp(now) < it.until) {
            if self.terms.guards.leases() {
                return Err(Disallowed::Leased { slot, until: *until });
            }
        }
        let untouched = from.held.is_none() && step(from.epoch);
        if !untouched && Timestamp(now) < self.quiet_until && self.terms.guards.quarantine() {
            return Err(Disallowed::Forgotten { slot, until: self.quiet_until });
        }
        Ok(())
    }
}
