//! Limits on what a viewing may be given: rules 2, 5 and 6, and its tenant's allowance.

use super::*;

/// A manager's slots among those of all managers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SlotSet {
    pub mine: Vec<u64>,
    /// Number of the slots of all managers together.
    pub total: f64,
}

impl Placement {
    /// Replaces this manager's slots. Other managers may learn of the change later; until then cold servers
    /// get no more than either the old or the new share allows.
    pub fn set_slots(&mut self, now: Ms, mine: &[u64], total: f64) {
        let slots = SlotSet { mine: mine.to_vec(), total: total.max(1.0) };
        if slots != self.slots {
            let previous = std::mem::replace(&mut self.slots, slots);
            self.earlier_slots.retain(|(until, _)| now < *until);
            let until = now + self.config.cold.send_window() * LIST_LAG_FALL_WINDOWS;
            self.earlier_slots.push((until, previous));
        }
    }

    /// This manager's fraction of the common limits.
    pub(super) fn slot_fraction(&self) -> f64 {
        self.slots.mine.len() as f64 / self.slots.total
    }

    /// Whether an arrival exceeds this manager's part of the tenant's allowance. The margin allows for
    /// tenants whose viewers are spread unevenly over the managers. Only arrivals within the allowance are
    /// counted, so that the allowance itself is granted even in a crowd.
    pub(super) fn over_share(&mut self, tenant: TenantIndex) -> bool {
        let time_constant = self.config.cold.warm_up.max(Ms(1e3));
        let allowed = self.config.tenants[tenant.0].allowance_per_s * (time_constant / Ms(1e3));
        let expected = allowed * self.slot_fraction();
        let arrivals = &mut self.tenant_arrivals[tenant.0];
        let over = arrivals.read(self.now, time_constant) >= expected + ALLOWANCE_QUANTILE * expected.sqrt();
        if !over {
            arrivals.add(self.now, time_constant, 1.0);
        }
        over
    }

    /// Rules 2 and 6, and the limit on tune-ins.
    pub(super) fn may_tune_in(&self, viewing: &Viewing) -> bool {
        let count = viewing.tune_ins.len();
        let safe =
            self.package(viewing).semantics != RequestSemantics::AtMostOnce || viewing.never_took_effect();
        count == 0 || (safe && self.budget_left() && count < self.config.max_tune_ins)
    }

    /// Whether the resend budget allows another tune-in for a viewing that had one.
    pub(super) fn budget_left(&self) -> bool {
        self.config.budget.is_none_or(|budget| {
            // Events within one clock tick of the window's edge count against the budget, since the clock
            // cannot tell on which side they lie.
            let recent = |times: &VecDeque<Ms>, span: Ms| {
                (times.len() - times.partition_point(|at| self.now - *at >= span)) as f64
            };
            let (tick, window) = (self.config.tick, budget.window);
            let accepted = recent(&self.accepted_times, window - tick);
            let allowed = budget.free_resends + budget.ratio * accepted;
            recent(&self.resend_times, window + tick) + 1.0 <= allowed
        })
    }

    /// Rule 5: a seat is free, set-ups included, and the viewer can use a rung at or above the package's
    /// floor.
    pub(super) fn seat_free(&self, viewing: &Viewing) -> bool {
        let (request, package) = (&viewing.request, self.package(viewing));
        let taken = self.seats_taken.get(&(request.title.clone(), request.package)).copied().unwrap_or(0);
        request.max_rung >= package.floor && (package.seats == 0 || taken < package.seats)
    }

    /// Rule 2 for a deduplicated package: after a tune-in that may have taken effect, the next one must go to
    /// a server in the same scope, within the window.
    pub(super) fn in_dedup_scope(&self, viewing: &Viewing, server: &Server) -> bool {
        let RequestSemantics::Deduplicated { group, window } = self.package(viewing).semantics else {
            return true;
        };
        viewing.tune_ins.iter().filter(|tune_in| tune_in.may_have_run()).all(|tune_in| {
            let earlier = self.servers.get(&tune_in.server).map(|server| &server.entry);
            self.now - tune_in.sent_at < window
                && match group {
                    DedupScope::All => true,
                    DedupScope::SameZone => earlier.is_some_and(|entry| entry.zone == server.entry.zone),
                    DedupScope::SameCell => earlier.is_some_and(|entry| entry.cell == server.entry.cell),
                }
        })
    }
}
