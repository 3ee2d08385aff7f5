//! The rules in their order, and the answers to a request that does not succeed.

use super::*;

/// A condition with an effect; returns whether it fired.
type Rule = fn(&mut Placement, Actions) -> bool;

const RULES: [Rule; 5] = [
    Placement::give_up,
    Placement::tune_in,
    Placement::postpone,
    Placement::change_rung,
    Placement::schedule_review,
];

impl Placement {
    /// Applies the rules until none fires.
    pub(super) fn apply_rules(&mut self, actions: Actions) {
        while RULES.iter().any(|rule| rule(self, actions)) {}
    }

    /// Rule 1: gives a waiting viewing its final answer at once if its deadline has passed, it may not be
    /// tuned in any more, no holder has room for it, or none was eligible until its join target passed.
    pub(super) fn give_up(&mut self, actions: Actions) -> bool {
        let hopeless = self.next_waiting().filter(|id| {
            let viewing = &self.viewings[id];
            let late = self.now - viewing.accepted_at >= self.package(viewing).join_target;
            let over = self.now >= viewing.request.deadline || !self.may_tune_in(viewing);
            over || (self.eligible(viewing).is_empty() && (late || !self.may_fit_later(viewing)))
        });
        hopeless.is_some_and(|id| self.finish(&id, actions))
    }

    /// The regular case: draws two holders at random, takes the less loaded one and draws a rung by its
    /// split.
    pub(super) fn tune_in(&mut self, actions: Actions) -> bool {
        let Some(id) = self.next_waiting() else { return false };
        let mut holders = self.eligible(&self.viewings[&id]);
        let has_alternative = holders.len() > 1;
        let mut viewing = self.viewings[&id].clone();
        keep_preferred(&mut holders, |holder| self.is_preferred_for(&viewing, holder));
        viewing.candidates.retain(|candidate| holders.contains(candidate));
        if viewing.candidates.is_empty() {
            while viewing.candidates.len() < 2 && !holders.is_empty() {
                let drawn = self.draw_holder(&holders);
                viewing.candidates.push(holders.swap_remove(drawn));
            }
            if viewing.tune_ins.is_empty() && self.probe_candidates(&viewing, actions) {
                return true;
            }
        }
        let load = |id: &ServerId| self.load(&self.servers[id]);
        let by_load = |a: &&ServerId, b: &&ServerId| load(a).total_cmp(&load(b));
        let Some(server_id) = viewing.candidates.iter().min_by(by_load).cloned() else { return false };
        let rung = self.draw_rung(&viewing, &server_id);
        if viewing.rung != rung {
            actions.step_to(&id, rung);
        }
        actions.tune_in(&id, &server_id, self.tune_in_time_out(&viewing, has_alternative));
        let now = self.now;
        if !viewing.tune_ins.is_empty() {
            self.resend_times.push_back(now);
        }
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.set_ups_sent.retain(|at| now - *at <= self.config.cold.send_window());
            server.set_ups_sent.push(now);
        }
        self.update_viewing(&id, |viewing| {
            viewing.rung = rung;
            viewing.phase = Phase::TuningIn;
            viewing.candidates.clear();
            viewing.tune_ins.push(TuneIn { server: server_id, sent_at: now, outcome: None });
        });
        true
    }

    /// Where load is reported only to probes, probes the candidates without a recent report. Returns whether
    /// the viewing waits for them, which it does for a part of its join target and only if its deadline
    /// allows it.
    fn probe_candidates(&mut self, viewing: &Viewing, actions: Actions) -> bool {
        let wait_until = self.now + self.package(viewing).join_target * PROBE_WAIT_SHARE;
        let candidates = &viewing.candidates;
        let known = candidates.iter().filter(|id| !self.request_probe(id, self.note_gap(), actions)).count();
        if known == candidates.len() || wait_until >= viewing.request.deadline {
            return false;
        }
        self.update_viewing(&viewing.request.viewing, |waiting| {
            (waiting.next_review, waiting.candidates) = (wait_until, candidates.clone());
        });
        true
    }

    /// No holder is eligible at present: reviews the viewing again after an interval.
    pub(super) fn postpone(&mut self, _actions: Actions) -> bool {
        let (id, next) = (self.next_waiting(), self.now + self.review_interval());
        let postponed = id.map(|id| {
            self.update_viewing(&id, |viewing| viewing.next_review = next.min(viewing.request.deadline));
        });
        postponed.is_some()
    }

    /// Schedules the next review while there are viewings.
    fn schedule_review(&mut self, actions: Actions) -> bool {
        if self.viewings.is_empty() || self.next_timer.is_some_and(|at| self.now < at) {
            return false;
        }
        let at = self.now + self.review_interval();
        actions.schedule(TimerTag(0), *self.next_timer.insert(at));
        true
    }

    /// The final answer: blocked if a retry by the viewer is safe and the deadline has not passed, else
    /// aborted.
    pub(super) fn finish(&mut self, id: &ViewingId, actions: Actions) -> bool {
        let viewing = &self.viewings[id];
        let retry_is_safe = matches!(
            self.package(viewing).semantics,
            RequestSemantics::Idempotent | RequestSemantics::Deduplicated { group: DedupScope::All, .. }
        );
        if (retry_is_safe || viewing.never_took_effect()) && self.now < viewing.request.deadline {
            // The next note may show room again, so the viewer need not wait longer than until then.
            actions.shed(id, self.config.max_stay_away.map(|longest| longest.min(self.note_gap())));
        } else {
            actions.abort(id);
        }
        self.update_viewing(id, |viewing| viewing.phase = Phase::Over);
        true
    }

    /// Time-out of the next tune-in: short if another could follow, else all the time that is left.
    pub(super) fn tune_in_time_out(&self, viewing: &Viewing, has_alternative: bool) -> Ms {
        let time_left = viewing.request.deadline - self.now;
        let another_possible =
            viewing.tune_ins.len() + 1 < self.config.max_tune_ins && has_alternative && self.budget_left();
        if !another_possible || self.package(viewing).semantics == RequestSemantics::AtMostOnce {
            return time_left;
        }
        (self.package(viewing).join_target * RETRIABLE_TIME_OUT_SHARE).min(time_left)
    }
}
