//! What a viewing may be given at all: rules 2, 5 and 6, and its tenant's share.

use super::*;

impl Placement {
    /// From now on this manager's part is these slots, of so many that all managers hold together. The others
    /// may be told later, and cold servers get no more than either part allows until then.
    pub fn set_slots(&mut self, now: Ms, slots: &[u64], of: f64) {
        let told = (slots.to_vec(), of.max(1.0));
        if told != self.slots {
            let before = std::mem::replace(&mut self.slots, told);
            self.earlier.retain(|it| now < it.0);
            self.earlier.push((now + self.terms.cold.send_window() * LIST_LAG, before));
        }
    }

    /// This manager's part of what all managers share.
    pub(super) fn share(&self) -> f64 {
        self.slots.0.len() as f64 / self.slots.1
    }

    /// True for an arrival past its tenant's share: this manager's part of it, with a root margin,
    /// since tenants lean. Only what is within is counted, so that a crowd still gets the share itself.
    pub(super) fn over_share(&mut self, tenant: TenantIndex) -> bool {
        let fade = self.terms.cold.warm_up.max(Ms(1e3));
        let allowed = self.terms.tenants[tenant.0].allowance_per_s * (fade / Ms(1e3));
        let part = allowed * self.share();
        let over = self.arrivals[tenant.0].read(self.now, fade) >= part + SHARE_PHI * part.sqrt();
        if !over {
            self.arrivals[tenant.0].add(self.now, fade, 1.0);
        }
        over
    }

    /// Rules 2 and 6, and the limit on tune-ins.
    pub(super) fn may_tune_in(&self, viewing: &Viewing) -> bool {
        let count = viewing.tune_ins.len();
        let safe = self.package(viewing).semantics != RequestSemantics::AtMostOnce || viewing.never_ran();
        count == 0 || (safe && self.budget_left() && count < self.terms.max_tune_ins)
    }

    pub(super) fn budget_left(&self) -> bool {
        self.terms.budget.is_none_or(|budget| {
            // What lies on a window's edge counts against it: no clock tells on which side.
            let recent = |times: &VecDeque<Ms>, span: Ms| {
                (times.len() - times.partition_point(|at| self.now - *at >= span)) as f64
            };
            let (tick, span) = (self.terms.tick, budget.window);
            let taken = recent(&self.taken, span - tick);
            recent(&self.further, span + tick) + 1.0 <= budget.free_resends + budget.ratio * taken
        })
    }

    /// Rule 5: seats, set-ups included; and no rung is both the floor's and one that the viewer can use.
    pub(super) fn seat_free(&self, viewing: &Viewing) -> bool {
        let (wish, package) = (&viewing.wish, self.package(viewing));
        let taken = self.seated.get(&(wish.title.clone(), wish.package)).copied().unwrap_or(0);
        wish.max_rung >= package.floor && (package.seats == 0 || taken < package.seats)
    }

    /// Rule 2 for a deduplicated package: what may have run goes on only in its group and its window.
    pub(super) fn same_group(&self, viewing: &Viewing, server: &Server) -> bool {
        let RequestSemantics::Deduplicated { group, window } = self.package(viewing).semantics else {
            return true;
        };
        viewing.tune_ins.iter().filter(|it| it.may_have_run()).all(|it| {
            let earlier = self.servers.get(&it.server).map(|it| &it.entry);
            self.now - it.sent < window
                && match group {
                    DedupScope::All => true,
                    DedupScope::SameZone => earlier.is_some_and(|it| it.zone == server.entry.zone),
                    DedupScope::SameCell => earlier.is_some_and(|it| it.cell == server.entry.cell),
                }
        })
    }
}
