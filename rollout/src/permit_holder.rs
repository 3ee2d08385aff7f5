//! At every manager: the status that it sends, and when it leaves on a permit.

use crate::effects::Effects;
use crate::events::Event;
use crate::guards::Guards;
use crate::order::{Name, Order};
use crate::permits::{MemberTime, Permit, PermitTable};
use crate::status::{MemberStatus, ViewingCounts};
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};

/// Periods between two statuses while nothing changes.
const STATUS_EVERY: f64 = 2.0;

/// Periods between two statuses while the permit of the previous life has not been returned.
const STATUS_EVERY_AFTER_RETURN: f64 = 0.5;

/// A permit that can be used at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsablePermit {
    /// When the permit was requested, which identifies it.
    pub requested_at: MemberTime,
    /// The version to return with.
    pub version: Name,
}

/// A member as the holder of a permit.
#[derive(Clone, Debug)]
pub struct PermitHolder {
    own: (MemberId, InstanceId),
    born: Ms,
    version: Name,
    period: Ms,
    guards: Guards,
    ready: bool,
    counts: ViewingCounts,
    /// The chosen order with its revision.
    order: Option<(u64, Order)>,
    /// The chosen permits with their revision.
    permits: (u64, PermitTable),
    /// Permits requested up to then are never used.
    discarded_until: MemberTime,
    /// The permit on which this member is leaving.
    leaving: Option<MemberTime>,
    next_status: Ms,
}

impl PermitHolder {
    /// A holder whose life begins at `now`; `period` is the members' period.
    pub fn new(now: Ms, own: (MemberId, InstanceId), version: Name, period: Ms) -> PermitHolder {
        PermitHolder::with_guards(now, own, version, period, Guards::all())
    }

    /// The same with the given guards.
    pub fn with_guards(
        now: Ms,
        own: (MemberId, InstanceId),
        version: Name,
        period: Ms,
        guards: Guards,
    ) -> PermitHolder {
        PermitHolder {
            own,
            born: now,
            version,
            period,
            guards,
            ready: false,
            counts: ViewingCounts::default(),
            order: None,
            permits: Default::default(),
            discarded_until: MemberTime(0),
            leaving: None,
            next_status: now,
        }
    }

    fn member_time(&self, now: Ms) -> MemberTime {
        MemberTime((now - self.born).0.max(0.0) as u64 + 1)
    }

    /// Whether it takes viewings, has the list and the titles, and its initial uncertainty about servers has ended.
    pub fn set_ready(&mut self, now: Ms, ready: bool) {
        if std::mem::replace(&mut self.ready, ready) != ready {
            self.next_status = now;
        }
    }

    /// How viewings ended since this life began; sent with the next status.
    pub fn set_counts(&mut self, _now: Ms, counts: ViewingCounts) {
        self.counts = counts;
    }

    /// An order is chosen. Permits requested under another order are never used.
    pub fn on_order(&mut self, now: Ms, revision: u64, order: &Order) {
        if self.order.as_ref().is_some_and(|(held, _)| *held >= revision) {
            return;
        }
        self.order = Some((revision, order.clone()));
        if self.leaving.is_none() {
            self.discarded_until = self.member_time(now).max(self.discarded_until);
        }
        self.next_status = now;
    }

    /// A permit table is chosen.
    pub fn on_permits(&mut self, now: Ms, revision: u64, permits: &PermitTable) {
        if self.permits.0 >= revision {
            return;
        }
        let was_completed = self.is_completed();
        self.permits = (revision, permits.clone());
        if was_completed && !self.is_completed() {
            self.next_status = now;
        }
    }

    /// Whether the table says that the order is completed, and this member has nothing to do under it either.
    fn is_completed(&self) -> bool {
        let Some((revision, order)) = &self.order else { return true };
        let ended = self.permits.1.ended && self.permits.1.order_revision == *revision;
        ended && !order.wants(&self.version)
    }

    fn permit(&self) -> Option<&Permit> {
        let own = self.permits.1.permit_of(self.own.0).filter(|permit| permit.life == self.own.1);
        own.filter(|permit| permit.requested_at > self.discarded_until && self.leaving.is_none())
    }

    fn expiry(&self, permit: &Permit) -> Option<Ms> {
        let order = &self.order.as_ref()?.1;
        Some(self.born + Ms(permit.requested_at.0 as f64 + f64::from(order.use_ms)))
    }

    /// The permit that can be used now. The daemon stops taking viewings and then calls
    /// [`PermitHolder::confirm_leaving`].
    pub fn usable_permit(&self, now: Ms) -> Option<UsablePermit> {
        let order = &self.order.as_ref()?.1;
        let permit = self.permit().filter(|permit| order.leads_to() == Some(&permit.version))?;
        let in_time = now < self.expiry(permit)? || !self.guards.check_expiry();
        let useful = order.wants(&self.version);
        (in_time && useful)
            .then(|| UsablePermit { requested_at: permit.requested_at, version: permit.version.clone() })
    }

    /// Called with a fresh clock once no viewings are taken any more. If it returns true, the member leaves now and
    /// does not turn back. If it returns false, the member takes viewings again and the permit is never used.
    pub fn confirm_leaving(&mut self, now: Ms, permit: &UsablePermit) -> bool {
        // The process may have been paused since the permit was checked, and the release halted meanwhile.
        if self.guards.recheck_before_leaving() && self.usable_permit(now).as_ref() != Some(permit) {
            self.discarded_until = self.discarded_until.max(permit.requested_at);
            self.next_status = now;
            return false;
        }
        self.leaving = Some(permit.requested_at);
        self.next_status = now;
        true
    }

    /// When [`PermitHolder::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        let status = if self.is_completed() { Ms(f64::INFINITY) } else { self.next_status };
        self.permit().and_then(|permit| self.expiry(permit)).map_or(status, |expiry| expiry.min(status))
    }

    /// Discards an expired permit and sends the status if it is due.
    pub fn on_timer(&mut self, now: Ms, effects: &mut dyn Effects) {
        // Unless the expiry is reported, the permit would stay in the table for ever.
        let expired = self
            .permit()
            .filter(|permit| self.expiry(permit).is_some_and(|expiry| now >= expiry))
            .map(|permit| permit.requested_at);
        if let Some(requested_at) = expired.filter(|_| self.guards.check_expiry()) {
            self.discarded_until = self.discarded_until.max(requested_at);
            self.next_status = now;
            effects.report(Event::PermitUnused);
        }
        if self.order.is_none() || self.is_completed() || now < self.next_status {
            return;
        }
        // Other members wait until the permit of the previous life is returned.
        let returned = self.permits.1.permit_of(self.own.0).is_some_and(|permit| permit.life != self.own.1);
        let periods = if returned { STATUS_EVERY_AFTER_RETURN } else { STATUS_EVERY };
        self.next_status = now + self.period * periods;
        // The time of a status always differs from those of discarded permits.
        let reported_at = self.member_time(now).max(MemberTime(self.discarded_until.0 + 1));
        effects.send_status(&MemberStatus {
            reported_at,
            version: self.version.clone(),
            ready: self.ready && self.leaving.is_none(),
            leaving: self.leaving,
            discarded_until: self.discarded_until,
            order_revision: self.order.as_ref().map_or(0, |(revision, _)| *revision),
            counts: self.counts,
        });
    }
}
