//! The order in which members leave, and how many may in each step.

use crate::coordinator::Coordinator;
use crate::effects::Effects;
use crate::events::Event;
use crate::fleet_status::{RosterEntry, StatusRecord};
use crate::order::{Name, Order, Scope, State};
use crate::permits::{MemberTime, PermitTable};
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// An odd multiplier that spreads values over all bits (from the golden ratio).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

fn hash(id: MemberId, salt: u64) -> u64 {
    let mut hash = (id.0 ^ salt.wrapping_mul(SPREAD)).wrapping_mul(SPREAD);
    hash ^= hash >> 29;
    hash.wrapping_mul(SPREAD) >> 16
}

impl Order {
    /// The version that a permit under the order leads to; `None` while it is halted.
    pub fn leads_to(&self) -> Option<&Name> {
        match self.state {
            State::Go => Some(&self.version),
            State::Back => Some(&self.previous_version),
            State::Halt | State::HaltedByEvidence => None,
        }
    }

    /// Whether a member of that version still has to leave under the order.
    pub fn wants(&self, current: &Name) -> bool {
        match self.state {
            State::Go => *current != self.version,
            // Only released members are taken back; a member with any third version is left alone.
            State::Back => *current == self.version,
            State::Halt | State::HaltedByEvidence => false,
        }
    }

    /// Whether the member is in that part of the fleet, in thousandths. The part is the same at every member and
    /// through all serials of an order.
    fn in_part(&self, id: MemberId, part: u16) -> bool {
        let salt =
            self.name.as_str().bytes().fold(0, |sum: u64, byte| sum.wrapping_mul(31) + u64::from(byte));
        hash(id, salt) % 1_000 < u64::from(part)
    }
}

impl Coordinator {
    fn is_targeted(&self, order: &Order, id: MemberId, entry: &RosterEntry) -> bool {
        let targeted = match &order.scope {
            Scope::All => true,
            Scope::Zone(zone) => entry.zone.as_ref() == Some(zone),
            Scope::Named(names) => names.contains(&entry.name),
            Scope::PerMille(part) => order.in_part(id, *part),
        };
        targeted && !self.is_struck(order, id)
    }

    /// How many members the order is about, as far as that is known here.
    pub(crate) fn targeted_count(&self, order: &Order) -> usize {
        let seen =
            || self.fleet.roster.iter().filter(|(id, entry)| self.is_targeted(order, **id, entry)).count();
        let stated = match &order.scope {
            Scope::All => Some(usize::from(order.bounds.fleet)),
            Scope::Zone(zone) => order.bounds.zones.get(zone).map(|(members, _)| usize::from(*members)),
            Scope::Named(names) => {
                return names.iter().filter(|name| !order.struck.contains(name)).count();
            }
            Scope::PerMille(_) => None,
        };
        // Struck members are not waited for. With a scope of one zone, all of them are assumed to belong to it.
        stated.map_or_else(seen, |members| members.saturating_sub(order.struck.len()))
    }

    /// How many targeted members are ready and have nothing to do any more.
    pub(crate) fn done_count(&self, now: Ms, order: &Order, table: &PermitTable) -> usize {
        let done = |(id, entry, record): &(MemberId, &RosterEntry, &StatusRecord)| {
            table.permit_of(*id).is_none()
                && self.is_targeted(order, *id, entry)
                && !order.wants(&record.status.version)
        };
        self.fleet.all_ready(now, settling_time(order)).filter(done).count()
    }

    /// How many members may be out or done. The way back has no steps, since a bad version should be gone quickly.
    pub(crate) fn step_limit(
        &mut self,
        now: Ms,
        order: &Order,
        table: &PermitTable,
        effects: &mut dyn Effects,
    ) -> usize {
        let (targeted, done) = (self.targeted_count(order), self.done_count(now, order, table));
        if order.state != State::Go {
            return usize::MAX;
        }
        loop {
            let (level, done_since) = self.step;
            let count = order.steps.get(level).map_or(targeted, |step| step.of(targeted));
            if done < count {
                self.step.1 = None;
                return count;
            }
            let done_since = done_since.unwrap_or(now);
            self.step.1 = Some(done_since);
            // If more are done than the step has, the next step had begun before this councillor coordinated.
            let settled = now - done_since >= settling_time(order) || done > count;
            if !settled || level + 1 >= order.steps.len() {
                return count;
            }
            self.step = (level + 1, None);
            let (serial, steps) = (order.serial, order.steps.len());
            effects.report(Event::Step { serial, step: level + 2, steps });
        }
    }

    /// How many members have to be done in the end.
    pub(crate) fn target_count(&self, order: &Order) -> usize {
        let targeted = self.targeted_count(order);
        match (order.state, order.steps.last()) {
            (State::Go, Some(last)) => last.of(targeted),
            _ => targeted,
        }
    }

    /// The member that leaves next: of the zone with the fewest members out or done, then by a hash; councillors last.
    /// On the way back the order is reversed.
    pub(crate) fn next_member(
        &self,
        now: Ms,
        order: &Order,
        table: &PermitTable,
        limit: usize,
        skipped: &BTreeSet<MemberId>,
    ) -> Option<(MemberId, InstanceId, MemberTime)> {
        if table.permits.len() + self.done_count(now, order, table) >= limit {
            return None;
        }
        let revision = self.order.as_ref().map_or(0, |(revision, _)| *revision);
        let ready: Vec<_> = self.fleet.all_ready(now, settling_time(order)).collect();
        let mut out_or_done: BTreeMap<&Option<Name>, usize> = BTreeMap::new();
        let out = table.permits.iter().filter_map(|permit| self.fleet.roster.get(&permit.member));
        let done = |(id, _, record): &&(MemberId, &RosterEntry, &StatusRecord)| {
            table.permit_of(*id).is_none() && !order.wants(&record.status.version)
        };
        let entries = out.chain(ready.iter().filter(done).map(|(_, entry, _)| *entry));
        for zone in entries.map(|entry| &entry.zone) {
            *out_or_done.entry(zone).or_default() += 1;
        }
        let may_leave = |candidate: &&(MemberId, &RosterEntry, &StatusRecord)| {
            let (id, entry, StatusRecord { status, sent_at, .. }) = **candidate;
            let in_time = now - *sent_at <= Ms(f64::from(order.use_ms)) * 0.5;
            table.permit_of(id).is_none()
                && !skipped.contains(&id)
                && self.is_targeted(order, id, entry)
                && order.wants(&status.version)
                && !self.wrong_version.contains(&id)
                && (status.order_revision, status.leaving) == (revision, None)
                && status.reported_at > status.discarded_until
                && in_time
        };
        let forward = order.state == State::Go;
        let sort_key = |(id, entry, _): &&(MemberId, &RosterEntry, &StatusRecord)| {
            let hash = hash(*id, if forward { order.serial.0 } else { order.serial.0.wrapping_sub(1) });
            let councillor = self.councillors.contains(id) == forward;
            // The coordinating councillor leaves last of all, since each change of it settles the step again.
            (
                councillor,
                (*id == self.own_id) == forward,
                out_or_done.get(&entry.zone).copied().unwrap_or(0),
                if forward { hash } else { u64::MAX - hash },
            )
        };
        let (id, entry, record) = ready.iter().filter(may_leave).min_by_key(sort_key)?;
        Some((*id, entry.life, record.status.reported_at))
    }

    /// Whether no member has to act under that order any more. Once that is chosen, members stop sending their status,
    /// so it stays so until one of them reports that it has to act.
    pub(crate) fn is_completed(&self, now: Ms, order: &Order, table: &PermitTable, had_ended: bool) -> bool {
        if !table.permits.is_empty() {
            return false;
        }
        if matches!(order.state, State::Halt | State::HaltedByEvidence) {
            return true;
        }
        let (targeted, target) = (self.targeted_count(order), self.target_count(order));
        // Members beyond the last step still have to leave, but not under this order. Both conditions are needed: if the
        // operator stated too small a fleet, the order would otherwise end and begin again at each review, with a write
        // to every councillor's disk each time.
        let has_to_leave = |(id, entry, record): (MemberId, &RosterEntry, &StatusRecord)| {
            self.is_targeted(order, id, entry) && order.wants(&record.status.version)
        };
        let nobody_has_to =
            target < targeted || !self.fleet.all_ready(now, settling_time(order)).any(has_to_leave);
        nobody_has_to && (had_ended || self.done_count(now, order, table) >= target)
    }
}

/// How long a member has to be seen ready, and a step has to be done.
pub(crate) fn settling_time(order: &Order) -> Ms {
    Ms(f64::from(order.settle_ms))
}
