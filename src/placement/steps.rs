//! Steps of playing viewings to another rung, and how often they are made.

use super::*;

/// The step of one viewing to another rung.
struct Step {
    viewing: ViewingId,
    rung: usize,
    up: bool,
}

impl Placement {
    /// Reviews the servers that are due. If the rate bound exceeds the capacity, one viewing steps down; if
    /// it has held for a while and a step up fits, one viewing steps up. Where only a part of a step is due
    /// to this manager, it makes the step with that probability: the threshold is drawn once for each note,
    /// so that all managers together make the change that the note calls for.
    pub(super) fn change_rung(&mut self, actions: Actions) -> bool {
        let due = self.review_queue.iter().take_while(|(at, _)| *at <= self.now).map(|(_, id)| id);
        let Some(id) = due.min().cloned() else { return false };
        let (now, next) = (self.now, self.now + self.review_interval());
        let reports_on_probe = self.config.reports_on_probe;
        let max_silence = self.note_gap() * if reports_on_probe { 1.0 } else { STALE_NOTE_GAPS };
        let (server, next_probe) = (&self.servers[&id], self.servers[&id].next_probe);
        if reports_on_probe && next_probe <= now {
            // Managers that take over viewings at the same moment must not probe, and step, at the same
            // times.
            let first = next_probe == Ms::DISTANT_PAST;
            let below_max = |(class, _): (DemandClass, _)| class.rung < class.max_rung;
            let wanted = !first && server.viewings.playing().any(below_max);
            let wait = max_silence * (self.rng.unit() + if first { 0.0 } else { 0.5 });
            if let Some(server) = self.servers.get_mut(&id) {
                server.next_probe = now + wait;
            }
            if wanted && self.request_probe(&id, Ms(0.0), actions) {
                self.review_at(&id, now + wait);
                return true;
            }
        } else if !reports_on_probe && now - server.threshold_drawn_at >= max_silence {
            // Without notes the mean load of other servers is assumed; a shortage would still be noted.
            self.draw_step_threshold(&id, now, Ms(0.0));
        }
        let server = &self.servers[&id];
        let bound = self.rate_bound(&server.viewings.counts());
        // Viewings may exceed this manager's share by steps into free capacity. Nobody steps down for that
        // while the server as a whole has enough.
        let over_whole = bound - server.demand.kb > self.free_kb(server, STEP_DOWN_LOAD);
        let exceeded = over_whole && bound > self.capacity_kb(server, STEP_DOWN_LOAD);
        let settle_time =
            self.note_gap() * SETTLED_NOTE_GAPS + self.config.change_cost * SETTLED_CHANGE_COSTS;
        let step = if exceeded {
            self.step_down(server, bound)
        } else if now - server.unsettled_at >= settle_time {
            self.step_up(server, bound)
        } else {
            None
        };
        let raised = step.as_ref().is_some_and(|step| step.up);
        let probe_after = if reports_on_probe && raised { self.rng.unit() + 0.5 } else { 0.0 };
        let probe_after = self.config.report_delay * REPROBE_DELAYS * probe_after;
        if let Some(server) = self.servers.get_mut(&id) {
            server.unsettled_at = if exceeded { now } else { server.unsettled_at };
            server.next_probe =
                if raised { server.next_probe.min(now + probe_after) } else { server.next_probe };
        }
        let next_review = match step {
            Some(_) if exceeded => next,
            Some(_) => now + (self.config.report_interval * STEP_UP_SPACING).max(self.review_interval()),
            None if reports_on_probe => self.servers[&id].next_probe.max(next),
            None => now + max_silence,
        };
        self.review_at(&id, next_review);
        if let Some(Step { viewing, rung, .. }) = step {
            actions.step_to(&viewing, Rung(rung));
            self.update_viewing(&viewing, |viewing| viewing.rung = Rung(rung));
        }
        true
    }

    /// The step down that a server with this rate bound needs, if it is due to this manager.
    fn step_down(&self, server: &Server, bound: f64) -> Option<Step> {
        let above_floor =
            |(class, _): &(DemandClass, &ViewingId)| class.rung > self.config.packages[class.package.0].floor;
        let movable = server.viewings.playing().filter(above_floor);
        let (class, viewing) = movable.max_by(|(class_a, id_a), (class_b, id_b)| {
            self.step_down_order(class_a, class_b).then(id_a.cmp(id_b))
        })?;
        let excess = bound - self.capacity_kb(server, RELIEVED_LOAD);
        let rung = class.rung.0 - 1;
        let freed = bound - self.rate_bound(&with_moved(&server.viewings.counts(), class, 1.0, rung));
        let due = excess * self.relative_rate_per_value(&class) >= server.step_threshold * freed;
        due.then(|| Step { viewing: viewing.clone(), rung, up: false })
    }

    /// The step up for which a server with this rate bound has room, if it is due to this manager.
    fn step_up(&self, server: &Server, bound: f64) -> Option<Step> {
        let reports_on_probe = self.config.reports_on_probe;
        let raisable = server
            .viewings
            .playing()
            .filter(|playing| playing.0.rung < playing.0.max_rung && self.pays_back(playing));
        let (class, viewing) = raisable.max_by(|(class_a, id_a), (class_b, id_b)| {
            self.step_up_order(class_a, class_b).then(id_a.cmp(id_b))
        })?;
        let free = self.free_kb(server, if reports_on_probe { PROBED_STEP_UP_LOAD } else { STEP_UP_LOAD });
        let room = if reports_on_probe {
            free / self.concurrent_viewings(server)
        } else {
            self.capacity_kb(server, STEP_UP_LOAD) - bound
        };
        let rung = class.rung.0 + 1;
        let needed = self.rate_bound(&with_moved(&server.viewings.counts(), class, 1.0, rung)) - bound;
        // The expected number n of steps that fits with its margin: n + z * sqrt(n) = free / needed.
        let margin = (STEP_UP_QUANTILE * STEP_UP_QUANTILE + 4.0 * free / needed).max(0.0).sqrt();
        let root = (margin - STEP_UP_QUANTILE) / 2.0;
        let own_room = room * (root * root * needed / free);
        let due_rate = server.step_threshold * needed * self.relative_rate_per_value(&class);
        let due = free >= needed && own_room >= due_rate;
        due.then(|| Step { viewing: viewing.clone(), rung, up: true })
    }

    /// Rate that a step of the class frees for its value, over the mean of all of this manager's viewings. A
    /// manager that is alone at a server cannot know whose step there costs the least value; its other
    /// viewings serve as an estimate.
    fn relative_rate_per_value(&self, class: &DemandClass) -> f64 {
        self.rate_per_value(class) * self.demand.kb / self.freed_rate_sum
    }

    /// False for a viewing that, by its expected duration, ends before a step up has earned twice its cost.
    pub(super) fn pays_back(&self, (class, id): &(DemandClass, &ViewingId)) -> bool {
        let viewing = &self.viewings[*id];
        let rung_value = |rung: usize| self.config.rung_values.get(rung).copied().unwrap_or(rung as f64);
        let gain = rung_value(class.rung.0 + 1) - rung_value(class.rung.0);
        let needed = self.config.change_cost * (2.0 / gain.max(1e-3));
        let time_left = |duration: Ms| viewing.started_at + duration - self.now;
        viewing.request.expected_duration.is_none_or(|duration| time_left(duration) >= needed)
    }
}
