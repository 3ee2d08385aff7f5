//! The rules, in order, and the answers that end a viewing.

use super::*;

type Rule = fn(&mut Placement, Out) -> bool;

/// Each is a condition and an effect; it tells whether it fired.
const RULES: [Rule; 5] =
    [Placement::give_up, Placement::tune_in, Placement::hold, Placement::step, Placement::keep_awake];

impl Placement {
    pub(super) fn settle(&mut self, out: Out) {
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    /// Rule 1: what has nothing out when its patience ends, can't be tuned in any more, finds no room or has
    /// waited in vain for its join target, gets its answer at once.
    pub(super) fn give_up(&mut self, out: Out) -> bool {
        let vw = self.waiting_now().filter(|vw| {
            let it = &self.viewings[vw];
            let late = self.now - it.taken >= self.package(it).join_target;
            let over = self.now >= it.wish.deadline || !self.may_tune_in(it);
            over || (self.eligible(it).is_empty() && (late || !self.may_hope(it)))
        });
        vw.is_some_and(|vw| self.finish(&vw, out))
    }

    /// The ordinary path: two holders at random, the less used of them, a rung drawn by its split.
    pub(super) fn tune_in(&mut self, out: Out) -> bool {
        let Some(vw) = self.waiting_now() else { return false };
        let mut holders = self.eligible(&self.viewings[&vw]);
        let others = holders.len() > 1;
        let mut viewing = self.viewings[&vw].clone();
        prefer(&mut holders, |id| self.gathers(&viewing, id));
        viewing.picks.retain(|it| holders.contains(it));
        if viewing.picks.is_empty() {
            while viewing.picks.len() < 2 && !holders.is_empty() {
                let drawn = self.draw_holder(&holders);
                viewing.picks.push(holders.swap_remove(drawn));
            }
            if viewing.tune_ins.is_empty() && self.inquire(&viewing, out) {
                return true;
            }
        }
        let used = |id: &ServerId| self.used(&self.servers[id]);
        let less = |a: &&ServerId, b: &&ServerId| used(a).total_cmp(&used(b));
        let Some(server) = viewing.picks.iter().min_by(less).cloned() else { return false };
        let rung = self.draw(&viewing, &server);
        if viewing.rung != rung {
            out.step_to(&vw, rung);
        }
        out.tune_in(&vw, &server, self.time_out(&viewing, others));
        let now = self.now;
        if !viewing.tune_ins.is_empty() {
            self.further.push_back(now);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.retain(|at| now - *at <= self.terms.cold.send_window());
            server.sent.push(now);
        }
        self.amend(&vw, |it| {
            it.rung = rung;
            it.phase = Phase::TuningIn;
            it.picks.clear();
            it.tune_ins.push(TuneIn { server, sent: now, outcome: None });
        });
        true
    }

    /// Where load is told to probes only, what is not known of the two picks is asked first, not for long.
    fn inquire(&mut self, viewing: &Viewing, out: Out) -> bool {
        let wait = self.now + self.package(viewing).join_target * PROBE_WAIT;
        let known = viewing.picks.iter().filter(|id| !self.probe(id, self.note_gap(), out)).count();
        if known == viewing.picks.len() || wait >= viewing.wish.deadline {
            return false;
        }
        self.amend(&viewing.wish.viewing, |it| (it.look_at, it.picks) = (wait, viewing.picks.clone()));
        true
    }

    /// All holders are shunned, paced or without a seat: look again after a beat.
    pub(super) fn hold(&mut self, _out: Out) -> bool {
        let (vw, next) = (self.waiting_now(), self.now + self.beat());
        vw.map(|vw| self.amend(&vw, |it| it.look_at = next.min(it.wish.deadline))).is_some()
    }

    fn keep_awake(&mut self, out: Out) -> bool {
        if self.viewings.is_empty() || self.bell_at.is_some_and(|at| self.now < at) {
            return false;
        }
        let at = self.now + self.beat();
        out.schedule(TimerTag(0), *self.bell_at.insert(at));
        true
    }

    /// The final answer: blocked where that is harmless, else aborted.
    pub(super) fn finish(&mut self, vw: &ViewingId, out: Out) -> bool {
        let viewing = &self.viewings[vw];
        let repeat = self.package(viewing).semantics;
        let always = matches!(
            repeat,
            RequestSemantics::Idempotent | RequestSemantics::Deduplicated { group: DedupScope::All, .. }
        );
        if (always || viewing.never_ran()) && self.now < viewing.wish.deadline {
            // By the next note there may be room again.
            out.shed(vw, self.terms.max_stay_away.map(|most| most.min(self.note_gap())));
        } else {
            out.abort(vw);
        }
        self.amend(vw, |it| it.phase = Phase::Over);
        true
    }

    pub(super) fn time_out(&self, viewing: &Viewing, others: bool) -> Ms {
        let left = viewing.wish.deadline - self.now;
        let again = viewing.tune_ins.len() + 1 < self.terms.max_tune_ins && others && self.budget_left();
        if !again || self.package(viewing).semantics == RequestSemantics::AtMostOnce {
            return left;
        }
        (self.package(viewing).join_target * FIRST_WAIT).min(left)
    }
}
