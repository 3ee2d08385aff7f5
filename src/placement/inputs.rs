//! The inputs: one method for each, which records it and applies the rules.

use super::*;

impl Placement {
    /// Starts without servers and viewings. The seed determines all random draws.
    pub fn new(now: Ms, seed: u64, config: PlacementConfig, actions: Actions) -> Placement {
        if config.must_subscribe {
            actions.subscribe();
        }
        let no_slots = SlotSet { mine: Vec::new(), total: 1.0 };
        let slots = SlotSet { mine: vec![config.manager.0], total: config.manager_count.max(1.0) };
        let list_lag = config.cold.fall_window * LIST_LAG_FALL_WINDOWS;
        Placement {
            now,
            rng: Rng(seed | 1),
            slots,
            earlier_slots: vec![(now + config.cold.send_window() * LIST_LAG_FALL_WINDOWS, no_slots)],
            starts_unknown_until: now + config.cold.warm_up.min(list_lag),
            history_valid_from: now + config.report_interval,
            tenant_arrivals: vec![DecayingSum::default(); config.tenants.len()],
            mean_link_load: ADMIT_LOAD,
            mean_uplink_load: ADMIT_LOAD,
            mean_places: 1.0,
            config,
            ..Placement::default()
        }
    }

    /// An update of the server list arrived, or could not be read.
    pub fn update_servers(&mut self, now: Ms, mode: ListMode, entries: &[ServerEntry], actions: Actions) {
        self.now = now;
        match mode {
            ListMode::Failed if self.config.must_subscribe => actions.subscribe(),
            ListMode::Full | ListMode::Saved => {
                for server in self.servers.values_mut() {
                    server.entry.availability = Availability::Gone;
                }
            }
            _ => {}
        }
        entries.iter().for_each(|entry| self.update_server(entry));
        let cold = &self.config.cold;
        let longest = cold.warm_up.max(cold.fall_window).max(self.config.report_delay);
        self.forget_gone(longest * FORGET_GONE_FACTOR);
        self.update_mean_places();
        self.apply_rules(actions);
    }

    /// Takes over a viewing that already plays at the server, from another manager.
    pub fn adopt_viewing(&mut self, now: Ms, request: ViewingRequest, server: ServerId, actions: Actions) {
        self.now = now;
        // A manager that takes over viewings did not restart, so it knows the starts of all servers.
        (self.starts_unknown_until, self.history_valid_from) = (now, now);
        self.demand_history.detached = true;
        let viewing_id = request.viewing.clone();
        let tune_in = TuneIn { server, sent_at: now, outcome: None };
        self.add_viewing(request, Phase::Playing, vec![tune_in], false);
        self.demand_history.detached = false;
        self.update_viewing(&viewing_id, |viewing| viewing.started_at = now);
        self.apply_rules(actions);
    }

    /// A viewer requests a viewing. It gets a tune-in that succeeds, `shed` or `abort` before its deadline.
    pub fn request_viewing(&mut self, now: Ms, request: ViewingRequest, actions: Actions) {
        self.now = now;
        let span = self.config.budget.map_or(Ms(0.0), |budget| budget.window + self.config.tick);
        for times in [&mut self.accepted_times, &mut self.resend_times] {
            times.drain(..times.partition_point(|at| now - *at > span));
        }
        self.accepted_times.push_back(now);
        actions.schedule(TimerTag(1), request.deadline);
        let over_share = request.tenant.is_some_and(|tenant| self.over_share(tenant));
        self.add_viewing(request, Phase::Waiting, Vec::new(), over_share);
        self.apply_rules(actions);
    }

    /// A time given to `schedule` has come.
    pub fn timer_fired(&mut self, now: Ms, _tag: TimerTag, actions: Actions) {
        self.now = now;
        self.apply_rules(actions);
    }

    /// The viewing's tune-in succeeded; it plays.
    pub fn viewing_started(&mut self, now: Ms, viewing_id: &ViewingId, server: &ServerId, actions: Actions) {
        self.now = now;
        self.update_viewing(viewing_id, |viewing| {
            viewing.started_at = now;
            viewing.phase = if viewing.phase == Phase::Over { Phase::Over } else { Phase::Playing };
        });
        self.record_outcome(server, Outcome::Served);
        self.apply_rules(actions);
    }

    /// A tune-in failed, or the viewing that it started ended. `last` if nothing more is expected of the
    /// viewing.
    #[allow(clippy::too_many_arguments)]
    pub fn tune_in_ended(
        &mut self,
        now: Ms,
        viewing_id: &ViewingId,
        tune_in: TuneInIndex,
        server: &ServerId,
        outcome: Outcome,
        last: bool,
        load: Load,
        actions: Actions,
    ) {
        self.now = now;
        self.record_outcome(server, outcome);
        self.demand_history.detached = last && outcome == Outcome::ConnectionLost;
        self.update_viewing(viewing_id, |viewing| {
            if let Some(tune_in) = viewing.tune_ins.get_mut(tune_in.0) {
                tune_in.outcome = Some(outcome);
            }
            viewing.next_review = now;
            viewing.phase = if last || viewing.phase == Phase::Over { Phase::Over } else { Phase::Waiting };
        });
        self.demand_history.detached = false;
        self.record_report(server, load, now - self.config.report_delay);
        self.apply_rules(actions);
    }

    /// A server sent a note that concerns the viewing, or the link or uplink that it uses.
    pub fn note_received(
        &mut self,
        now: Ms,
        viewing_id: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        actions: Actions,
    ) {
        self.now = now;
        // A note that comes with the set-up describes the present; any other lags by the report delay.
        let current = |viewing: &Viewing| viewing.phase != Phase::Playing || viewing.started_at == now;
        let is_current = self.viewings.get(viewing_id).is_none_or(current);
        let at = if is_current { now } else { now - self.config.report_delay };
        match topic {
            Topic::RungInForce => {
                self.update_viewing(viewing_id, |viewing| viewing.rung = Rung(value.max(0.0) as usize));
            }
            Topic::ShareDelivered => self.record_delivered(server, value, at),
            Topic::LinkAsked => {
                self.record_link_note(server, value, at);
                self.record_link_load(server, value, at);
            }
            Topic::UplinkAsked => self.record_uplink_load(server, value, at),
        }
        // The delivered share is smoothed over the report delay, so it reflects a change that much later.
        let smoothing = if topic == Topic::ShareDelivered { self.config.report_delay } else { Ms(0.0) };
        if topic != Topic::RungInForce {
            self.draw_step_threshold(server, at, smoothing);
        }
        self.apply_rules(actions);
    }

    /// The viewer is gone; the request needs no answer any more.
    pub fn viewer_left(&mut self, now: Ms, viewing_id: &ViewingId, actions: Actions) {
        self.now = now;
        self.update_viewing(viewing_id, |viewing| viewing.phase = Phase::Over);
        self.apply_rules(actions);
    }

    /// A probe was answered or failed.
    pub fn probe_ended(&mut self, now: Ms, id: &ServerId, outcome: Outcome, load: Load, actions: Actions) {
        self.now = now;
        if let Some(server) = self.servers.get_mut(id) {
            server.probe_pending = false;
        }
        // A server whose tune-ins get no answer may still answer probes, so only a failed probe says anything
        // about its health.
        if outcome == Outcome::Served {
            let at = now - self.config.report_delay * PROBE_REPORT_AGE_DELAYS;
            let load = self.capped_by_delivery(id, load);
            if let Some(link_load) = load.link_uncapped.or(load.link) {
                self.record_link_note(id, link_load, at);
            }
            self.record_report(id, load, at);
            self.draw_step_threshold(id, at, Ms(0.0));
        } else if outcome != Outcome::TurnedAway {
            self.record_outcome(id, outcome);
        }
        let all_reported = |(_, viewing_id): &&(Ms, ViewingId)| {
            let candidates = &self.viewings[viewing_id].candidates;
            candidates.contains(id)
                && !candidates.iter().any(|candidate| self.servers[candidate].probe_pending)
        };
        for (_, viewing_id) in self.waiting_queue.iter().filter(all_reported).cloned().collect::<Vec<_>>() {
            self.update_viewing(&viewing_id, |viewing| viewing.next_review = now);
        }
        self.apply_rules(actions);
    }
}
