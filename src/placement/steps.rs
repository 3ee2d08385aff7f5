//! Steps up and down of viewings that play, and their pace.

use super::*;

impl Placement {
    /// Each server is weighed once a beat. While the bound is broken, its top-rung viewing steps down; once a
    /// step fits for a settled spell, the one furthest below its request steps up. A step of which only a
    /// part is this manager's is made with that chance: one lot is drawn for each note, so that all managers
    /// together change by what the note asks.
    pub(super) fn step(&mut self, out: Out) -> bool {
        let due = self.held_at.iter().take_while(|it| it.0 <= self.now).map(|it| &it.1);
        let Some(id) = due.min().cloned() else { return false };
        let (now, next) = (self.now, self.now + self.beat());
        let asks = self.terms.reports_on_probe;
        let silence = self.note_gap() * if asks { 1.0 } else { STALE };
        let (before, next_probe) = (&self.servers[&id], self.servers[&id].next_probe);
        if asks && next_probe <= now {
            // Those who are handed viewings at the same moment must not ask, and act, in step.
            let first = next_probe == Ms::DISTANT_PAST;
            let wanted = !first && before.census.playing().any(|it| it.0.rung < it.0.best);
            let wait = silence * (self.chance.part() + if first { 0.0 } else { 0.5 });
            self.servers.get_mut(&id).into_iter().for_each(|it| it.next_probe = now + wait);
            if wanted && self.probe(&id, Ms(0.0), out) {
                self.look(&id, now + wait);
                return true;
            }
        } else if !asks && now - before.lot_at >= silence {
            // Notes stay out: what is usual elsewhere stands in for them, and shortage would still be told.
            self.draw_lot(&id, now, Ms(0.0));
        }
        let it = &self.servers[&id];
        let (lot, held) = (it.lot, it.census.counts());
        let asked = self.bound(&held);
        // A step into what is free may outgrow a part: nobody steps down for it while the whole holds.
        let over = asked - it.own.0 > self.free_kb(it, DOWN_FILL);
        let broken = over && asked > self.capacity(it, DOWN_FILL);
        let settled = now - it.unsettled_at >= self.note_gap() * SETTLED + self.terms.change_cost * PAID_BACK;
        // Alone at a server a manager can't see whose step there costs least worth: its other viewings tell.
        let leans = |it: &Asker| self.spared(it) * self.own.0 / self.spared_all;
        let changed = if broken {
            let may = |it: &(Asker, &ViewingId)| it.0.rung > self.terms.packages[it.0.package.0].floor;
            let top = it.census.playing().filter(may);
            let top = top.max_by(|a, b| self.goes_down(&a.0, &b.0).then(a.1.cmp(b.1)));
            let short = asked - self.capacity(it, EASED);
            let part = |it: &(Asker, &ViewingId)| {
                let less = self.bound(&moved(&held, it.0, 1.0, it.0.rung.0 - 1));
                short * leans(&it.0) >= lot * (asked - less)
            };
            top.filter(part).map(|(asker, vw)| (vw.clone(), asker.rung.0 - 1))
        } else if settled {
            let low = it.census.playing().filter(|it| it.0.rung < it.0.best && self.pays_back(it));
            let low = low.max_by(|a, b| self.goes_up(&a.0, &b.0).then(a.1.cmp(b.1)));
            let free = self.free_kb(it, if asks { PROBED_FILL } else { UP_FILL });
            let room = if asks { free / self.seen_together(it) } else { self.capacity(it, UP_FILL) - asked };
            let part = |it: &(Asker, &ViewingId)| {
                let step = self.bound(&moved(&held, it.0, 1.0, it.0.rung.0 + 1)) - asked;
                let root = ((DRAWN_PHI * DRAWN_PHI + 4.0 * free / step).max(0.0).sqrt() - DRAWN_PHI) / 2.0;
                free >= step && room * (root * root * step / free) >= lot * step * leans(&it.0)
            };
            low.filter(part).map(|(asker, vw)| (vw.clone(), asker.rung.0 + 1))
        } else {
            None
        };
        let raised = changed.is_some() && !broken;
        let again = self.terms.report_delay
            * PROBE_AGAIN
            * if asks && raised { self.chance.part() + 0.5 } else { 0.0 };
        if let Some(it) = self.servers.get_mut(&id) {
            it.unsettled_at = if broken { now } else { it.unsettled_at };
            it.next_probe = if raised { it.next_probe.min(now + again) } else { it.next_probe };
        }
        let at = match changed {
            Some(_) if broken => next,
            Some(_) => now + (self.terms.report_interval * UP_PACE).max(self.beat()),
            None if asks => self.servers[&id].next_probe.max(next),
            None => now + silence,
        };
        self.look(&id, at);
        if let Some((vw, rung)) = changed {
            out.step_to(&vw, Rung(rung));
            self.amend(&vw, |it| it.rung = Rung(rung));
        }
        true
    }

    /// False for a viewing that, by its hint, ends before a step up has earned twice what a change costs.
    pub(super) fn pays_back(&self, (asker, vw): &(Asker, &ViewingId)) -> bool {
        let it = &self.viewings[*vw];
        let worth = |rung: usize| self.terms.rung_values.get(rung).copied().unwrap_or(rung as f64);
        let gain = worth(asker.rung.0 + 1) - worth(asker.rung.0);
        let needs = self.terms.change_cost * (2.0 / gain.max(1e-3));
        it.wish.expected_duration.is_none_or(|lasts| it.started + lasts - self.now >= needs)
    }
}
