//! The acceptor's guard: which values a councillor accepts for the registers of releases, by what it sees itself.

use crate::coordinator::Coordinator;
use crate::fleet_status::{StatusRecord, MAX_CLOCK_DRIFT};
use crate::guards::Guards;
use crate::order::Order;
use crate::order_file::halted_by_evidence;
use crate::permits::{Permit, PermitTable};
use crate::refusal::Refusal;
use ottersail::time::Ms;
use ottersail_membership::MemberId;

/// Whether the order `to` may replace `from`: it has a greater serial, or is the same order halted. A halt by
/// evidence keeps the serial, so the operator's file of that serial cannot undo it when it is read again; the next
/// serial that the operator writes can.
///
/// # Errors
/// [`Refusal::StaleSerial`].
pub fn may_replace(from: Option<&Order>, to: &Order, guards: Guards) -> Result<(), Refusal> {
    let Some(from) = from.filter(|_| guards.serial_order()) else { return Ok(()) };
    let halts = halted_by_evidence(from).as_ref() == Some(to);
    // An unchanged order is a read that is written back.
    if to.serial > from.serial || halts || from == to {
        return Ok(());
    }
    Err(Refusal::StaleSerial { given: to.serial.0, current: from.serial.0 })
}

impl Coordinator {
    /// Whether this councillor accepts the permit table `to`. `order` is the value that it has itself accepted last
    /// in the order's register, with its revision; `from` is the one in the permits' register. The function has no
    /// side effects: each acceptor decides by what it sees itself.
    ///
    /// # Errors
    /// The first reason against it.
    pub fn allows(
        &self,
        now: Ms,
        order: Option<(u64, &Order)>,
        from: Option<&PermitTable>,
        to: &PermitTable,
    ) -> Result<(), Refusal> {
        let held = from.map_or(&[][..], |table| &table.permits);
        // A permit that the same life requested again counts as out as before. Otherwise each councillor could hold a
        // different request of one permit, none of them chosen, and refuse the others' for ever.
        let renewed = |permit: &Permit| {
            to.permit_of(permit.member)
                .is_some_and(|next| next.life == permit.life && next.requested_at >= permit.requested_at)
        };
        for permit in held.iter().filter(|permit| !to.permits.contains(permit) && !renewed(permit)) {
            self.may_remove(now, order.map(|(_, order)| order), permit)?;
        }
        // A majority has judged what is chosen already; a councillor that missed it must not refuse it.
        let known = |permit: &&Permit| held.contains(permit) || self.permits.1.permits.contains(permit);
        // A permit that nobody can use any more is not judged either. Otherwise a value of an older order that a few
        // councillors hold would be refused by all others, and nothing else could be chosen.
        let unusable = |permit: &&Permit| self.has_returned(now, order.map(|(_, order)| order), permit);
        let new: Vec<&Permit> =
            to.permits.iter().filter(|permit| !known(permit) && !unusable(permit)).collect();
        if new.is_empty() {
            return Ok(());
        }
        let (revision, order) = order.ok_or(Refusal::NoOrder)?;
        self.matches_order(revision, order, to, &new)?;
        self.within_bounds(now, order, to, &new)
    }

    fn matches_order(
        &self,
        revision: u64,
        order: &Order,
        to: &PermitTable,
        new: &[&Permit],
    ) -> Result<(), Refusal> {
        if !self.guards.current_order_only() {
            return Ok(());
        }
        if to.order_revision != revision || to.serial != order.serial {
            return Err(Refusal::OtherOrder { named: to.order_revision, accepted: revision });
        }
        let expected = order.leads_to().ok_or(Refusal::Halted { serial: order.serial })?;
        match new.iter().find(|permit| permit.version != *expected) {
            Some(permit) => {
                let (actual, expected) = (permit.version.clone(), expected.clone());
                Err(Refusal::WrongVersion { member: permit.member, actual, expected })
            }
            None => Ok(()),
        }
    }

    /// Whether enough members remain ready, by what is seen here, once all permits of the table are used.
    pub(crate) fn within_bounds(
        &self,
        now: Ms,
        order: &Order,
        to: &PermitTable,
        new: &[&Permit],
    ) -> Result<(), Refusal> {
        let permitted = |id: MemberId| to.permit_of(id).is_some();
        let settle = Ms(f64::from(order.settle_ms));
        let remains = |id: MemberId| !self.guards.count_permits_as_out() || !permitted(id);
        let belongs = |id: MemberId| !self.is_struck(order, id);
        let ready = || {
            self.fleet.all_ready(now, settle).filter(|(id, ..)| remains(*id)).filter(|(id, ..)| belongs(*id))
        };
        // Struck members no longer belong to the fleet. A member beyond the number that the operator stated raises the
        // size of the fleet, so that one more has to remain.
        let stated = usize::from(order.bounds.fleet).saturating_sub(order.struck.len());
        let fleet = stated.max(self.fleet.roster.keys().filter(|id| belongs(**id)).count());
        let max_out = usize::from(order.bounds.most_out);
        let remaining = |ready: usize, members: usize, out: usize| {
            if self.guards.count_unready_as_out() {
                ready
            } else {
                members - out.min(members)
            }
        };
        let ready_members = remaining(ready().count(), fleet, to.permits.len());
        if ready_members + max_out < fleet {
            return Err(Refusal::FleetBound { ready: ready_members, fleet, max_out });
        }
        for permit in new.iter().filter(|_| !order.bounds.zones.is_empty() && self.guards.zone_bounds()) {
            let zone_of = |id: MemberId| self.fleet.roster.get(&id).and_then(|entry| entry.zone.clone());
            let bound = zone_of(permit.member).and_then(|zone| Some((order.bounds.zones.get(&zone)?, zone)));
            let Some((&(members, max_out), zone)) = bound else {
                return Err(Refusal::UnknownZone { member: permit.member });
            };
            let (members, max_out) = (usize::from(members), usize::from(max_out));
            let out_in_zone =
                || to.permits.iter().filter(|permit| zone_of(permit.member).as_ref() == Some(&zone));
            let ready_in_zone = ready().filter(|(_, entry, _)| entry.zone.as_ref() == Some(&zone)).count();
            let ready = remaining(ready_in_zone, members, out_in_zone().count());
            if ready + max_out < members {
                return Err(Refusal::ZoneBound { zone, ready, members, max_out });
            }
        }
        self.keeps_councillors(now, settle, to, new)
    }

    /// Whether all other councillors are ready if one of the new permits is a councillor's.
    fn keeps_councillors(
        &self,
        now: Ms,
        settle: Ms,
        to: &PermitTable,
        new: &[&Permit],
    ) -> Result<(), Refusal> {
        let Some(leaving) = new.iter().find(|permit| self.councillors.contains(&permit.member)) else {
            return Ok(());
        };
        let out = |id: &MemberId| to.permit_of(*id).is_some() || self.fleet.ready(now, *id, settle).is_none();
        match self.councillors.iter().filter(|id| **id != leaving.member).find(|id| out(id)) {
            Some(&other) if self.guards.one_councillor_out() => {
                Err(Refusal::OtherCouncillorOut { member: leaving.member, other })
            }
            _ => Ok(()),
        }
    }

    /// Whether that permit may be removed from the table.
    pub(crate) fn may_remove(&self, now: Ms, order: Option<&Order>, permit: &Permit) -> Result<(), Refusal> {
        if order.is_none() {
            return Err(Refusal::NoOrder);
        }
        if self.has_returned(now, order, permit) || !self.guards.return_needs_evidence() {
            return Ok(());
        }
        Err(Refusal::NotReturned { member: permit.member })
    }

    /// Whether nobody leaves on that permit any more, nor is out on it.
    fn has_returned(&self, now: Ms, order: Option<&Order>, permit: &Permit) -> bool {
        let Some(order) = order else { return false };
        let member = permit.member;
        let (entry, identity) = (self.fleet.roster.get(&member), self.identities.get(&member));
        let settle = Ms(f64::from(order.settle_ms));
        let known_since = self.known_since.get(permit);
        // The life before the permitted one, gone but with a status that still counts here, must not be taken for the
        // life after it.
        let is_later_life = |record: &StatusRecord| {
            known_since.is_some_and(|known_since| record.sent_at > *known_since)
                || identity.is_some_and(|identity| identity.previous_life == Some(permit.life))
                // A life after the status's would have had to be ready for the settling time since, to be permitted.
                || now - record.sent_at < settle * 0.5
        };
        let returned = entry.is_some_and(|entry| entry.life != permit.life)
            && self.fleet.ready(now, member, settle).is_some_and(is_later_life);
        let discarded = self
            .fleet
            .last_status(member, permit.life)
            .is_some_and(|status| status.discarded_until >= permit.requested_at);
        // A permit that is removed while unused and used after that would be one more member out than counted.
        let expired = |since: Ms| now - since > Ms(f64::from(order.use_ms) * (1.0 + 2.0 * MAX_CLOCK_DRIFT));
        let alive = entry.is_some_and(|entry| entry.life == permit.life);
        let gone = !alive
            && identity.map_or(Some(self.started_at), |identity| identity.gone_since).is_some_and(expired);
        let struck = self.is_struck(order, member) && (gone || known_since.copied().is_some_and(expired));
        returned || discarded || struck
    }

    /// Whether the order strikes that member, by its name or by its id as events show it. The name of a member that
    /// died before this councillor started is not known here.
    pub(crate) fn is_struck(&self, order: &Order, member: MemberId) -> bool {
        let id = member.to_string();
        let identity = self.identities.get(&member);
        order
            .struck
            .iter()
            .any(|struck| struck.as_str() == id || identity.is_some_and(|identity| identity.name == *struck))
    }
}
