//! What the coordinating councillor proposes: the removal of returned permits, and new permits in turn.

use crate::coordinator::Coordinator;
use crate::effects::Effects;
use crate::events::Event;
use crate::order::Order;
use crate::order_file::halted_by_evidence;
use crate::permits::{Permit, PermitTable, MAX_PERMITS};
use crate::refusal::Refusal;
use ottersail::time::Ms;
use std::collections::BTreeSet;

impl Coordinator {
    /// The table to change, and its revision. After a proposal without effect this is the value that the local
    /// acceptor holds. Otherwise a value of a halted order that only this acceptor holds would be adopted by each
    /// round and refused by all other acceptors for ever. Permits of it that were not chosen are left out; if they
    /// were chosen, its other acceptors refuse that.
    fn proposal_base(&self) -> (u64, PermitTable) {
        let (revision, held) = &self.accepted;
        if !self.build_on_accepted || *revision <= self.permits.0 {
            return self.permits.clone();
        }
        let chosen = |permit: &&Permit| self.permits.1.permits.contains(permit);
        let permits = held.permits.iter().filter(chosen).cloned().collect();
        (*revision, PermitTable { permits, ended: false, ..held.clone() })
    }

    /// Proposes the next change of the permit table, if there is one.
    pub(crate) fn review(&mut self, now: Ms, revision: u64, order: &Order, effects: &mut dyn Effects) {
        self.report_overdue(now, order, effects);
        self.check_evidence(now, order);
        if let (Some(reason), Some(halted)) = (self.evidence_check.verdict.clone(), halted_by_evidence(order))
        {
            if self.evidence_check.report_once() {
                effects.report(Event::HaltedByEvidence { serial: order.serial, reason });
            }
            effects.halt(revision, &halted);
        }
        let (base_revision, mut table) = self.proposal_base();
        let removable = |permit: &Permit| self.may_remove(now, Some(order), permit).is_ok();
        let returned: Vec<Permit> =
            table.permits.iter().filter(|permit| removable(permit)).cloned().collect();
        table.permits.retain(|permit| !returned.contains(permit));
        for permit in &returned {
            self.report_return(order.serial, permit, effects);
        }
        let had_ended = table.ended && table.order_revision == revision;
        let changed = !returned.is_empty() || base_revision != self.permits.0;
        (table.order_revision, table.serial) = (revision, order.serial);
        let granted = self.grant_permits(now, order, &mut table, effects);
        table.ended = self.is_completed(now, order, &table, had_ended);
        let end_changed = had_ended != table.ended;
        if table.ended && end_changed {
            effects.report(Event::Ended { serial: order.serial });
        }
        if changed || granted || end_changed {
            effects.propose(base_revision, &table);
            self.proposal = Some((now, table));
        }
    }

    /// Adds permits in turn while the bounds allow it. Returns whether any was added.
    fn grant_permits(
        &mut self,
        now: Ms,
        order: &Order,
        table: &mut PermitTable,
        effects: &mut dyn Effects,
    ) -> bool {
        let limit = self.step_limit(now, order, table, effects);
        let Some(version) = order.leads_to().filter(|_| self.evidence_check.verdict.is_none()) else {
            return false;
        };
        let count_before = table.permits.len();
        let mut skipped = BTreeSet::new();
        while table.permits.len() < MAX_PERMITS {
            let Some((member, life, requested_at)) = self.next_member(now, order, table, limit, &skipped)
            else {
                break;
            };
            let permit = Permit { member, life, requested_at, version: version.clone() };
            let mut extended = table.clone();
            let position = extended.permits.partition_point(|permit| permit.member < member);
            extended.permits.insert(position, permit.clone());
            if let Err(refusal) = self.within_bounds(now, order, &extended, &[&permit]) {
                let fleet_bound = matches!(refusal, Refusal::FleetBound { .. });
                if skipped.is_empty() && self.reported_refusal.as_ref() != Some(&refusal) {
                    effects.report(Event::Refused(refusal.clone()));
                    self.reported_refusal = Some(refusal);
                }
                if fleet_bound {
                    break;
                }
                // The bound of its zone is reached or another councillor is out: members of other zones need not wait.
                skipped.insert(member);
                continue;
            }
            *table = extended;
            let serial = order.serial;
            effects.report(Event::PermitProposed { serial, member, version: version.clone() });
        }
        table.permits.len() > count_before
    }
}
