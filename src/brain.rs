//! All decisions of ottersail. The adapter calls one method of [`Brain`] for each input; it notes what was
//! told and then goes through `RULES` in order, again from the top, until none fires. What is decided goes
//! out through `Answers` (src/answers.rs); the shapes are in src/state.rs, the start-up terms in
//! src/terms.rs. docs/design.md says where each rule comes from, docs/on-call.md what is seen in trouble.

use crate::answers::Answers;
use crate::ids::{BellTag, ManagerIx, PackageIx, Rack, Rung, ServerId, TenantIx, TuneInNo, ViewingId};
use crate::state::{
    Availability, Entry, ListMode, Load, Outcome, Phase, Seen, Server, Topic, TuneIn, Uplink, Viewing, Wish,
};
use crate::terms::{Group, Repeat, Terms};
use crate::time::{DecayingSum, Ms};
use std::collections::BTreeMap;

/// Normal point of the root margin, for held counts.
const PHI: f64 = 0.2;
/// Parts of a link or uplink that may be asked: by new viewings, before playing ones step down, and after
/// a step up. Their distance keeps playing viewings from paying for each swing of the true rates.
const FILL: f64 = 0.92;
const DOWN_FILL: f64 = 1.0;
const UP_FILL: f64 = 0.85;
/// Between two steps down at a server, over the time between reports.
const DOWN_PACE: f64 = 0.05;
/// How long a server must have been settled before a step up, over the time between reports.
const SETTLED: f64 = 1.5;
/// A note older than this many report times counts no more.
const STALE: f64 = 2.5;
/// A tune-in that another can follow waits for this part of the join target.
const FIRST_WAIT: f64 = 0.5;
/// Use that a holder in another zone must be better by, for each point of the price of crossing.
const CROSS_HANDICAP: f64 = 5.0;
/// Wake-ups, over the shortest join target.
const BEAT: f64 = 0.1;
/// A first failure keeps a server out of the pick for this many join targets; each further one doubles it.
const SHUN: f64 = 1.0;

type Rule = fn(&mut Brain, &mut dyn Answers) -> bool;

/// Each is a condition and an effect; it tells whether it fired.
const RULES: [Rule; 7] = [
    Brain::forget_ended,
    Brain::end_overdue,
    Brain::give_up,
    Brain::tune_in,
    Brain::step_down,
    Brain::step_up,
    Brain::keep_awake,
];

/// A multiply-with-carry generator.
struct Chance(u64);

impl Chance {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        ((self.0 & 0xffff_ffff) * limit as u64 >> 32) as usize
    }
}

/// A viewing's part in the split of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Asker {
    package: PackageIx,
    best: Rung,
    rung: Rung,
    over_share: bool,
}

pub struct Brain {
    terms: Terms,
    now: Ms,
    chance: Chance,
    /// Until then any server may be cold: the list at start may be old.
    unsure_until: Ms,
    servers: BTreeMap<ServerId, Server>,
    uplinks: BTreeMap<Rack, Uplink>,
    viewings: BTreeMap<ViewingId, Viewing>,
    arrivals: Vec<DecayingSum>,
    taken: Vec<Ms>,
    further: Vec<Ms>,
    bell_at: Option<Ms>,
}

impl Brain {
    pub fn born(now: Ms, seed: u64, terms: Terms, out: &mut dyn Answers) -> Brain {
        if terms.must_subscribe {
            out.subscribe();
        }
        Brain {
            now,
            chance: Chance(seed | 1),
            unsure_until: now + terms.cold.lasts,
            servers: BTreeMap::new(),
            uplinks: BTreeMap::new(),
            viewings: BTreeMap::new(),
            arrivals: vec![DecayingSum::default(); terms.tenants.len()],
            taken: Vec::new(),
            further: Vec::new(),
            bell_at: None,
            terms,
        }
    }

    pub fn package_named(&self, name: &str) -> Option<PackageIx> {
        self.terms
            .packages
            .iter()
            .position(|package| package.name == name)
            .map(PackageIx)
    }

    pub fn tenant_named(&self, name: &str) -> Option<TenantIx> {
        self.terms
            .tenants
            .iter()
            .position(|tenant| tenant.name == name)
            .map(TenantIx)
    }

    // Inputs.

    pub fn members(&mut self, now: Ms, mode: ListMode, entries: &[Entry], out: &mut dyn Answers) {
        self.now = now;
        match mode {
            ListMode::Failed if self.terms.must_subscribe => out.subscribe(),
            ListMode::Full | ListMode::Saved => {
                for server in self.servers.values_mut() {
                    server.entry.availability = Availability::Gone;
                }
            }
            _ => {}
        }
        for entry in entries {
            let cold_until = entry
                .started
                .map_or(Ms::LONG_AGO, |start| start + self.terms.cold.lasts);
            match self.servers.get_mut(&entry.server) {
                Some(server) => {
                    if server.entry.started < entry.started {
                        server.cold_until = server.cold_until.max(cold_until);
                        server.shunned_until = Ms::LONG_AGO;
                        server.seen = None;
                    }
                    server.entry = entry.clone();
                }
                None => {
                    self.servers
                        .insert(entry.server.clone(), Server::new(entry.clone(), cold_until));
                }
            }
        }
        self.settle(out);
    }

    pub fn preexisting(&mut self, now: Ms, wish: Wish, server: ServerId, out: &mut dyn Answers) {
        self.now = now;
        let tune_in = TuneIn {
            server: server.clone(),
            sent: now,
            outcome: None,
        };
        self.take(wish, Phase::Playing, vec![tune_in]);
        self.book(&server);
        self.settle(out);
    }

    pub fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        self.now = now;
        self.taken.push(now);
        out.schedule(BellTag(1), wish.due);
        self.take(wish, Phase::Waiting, Vec::new());
        self.settle(out);
    }

    pub fn bell(&mut self, now: Ms, _tag: BellTag, out: &mut dyn Answers) {
        self.now = now;
        self.settle(out);
    }

    pub fn first(&mut self, now: Ms, vw: &ViewingId, no: TuneInNo, out: &mut dyn Answers) {
        self.now = now;
        if let Some(viewing) = self.viewings.get_mut(vw) {
            if viewing.phase != Phase::Over {
                viewing.phase = Phase::Playing;
            }
            viewing.started = now;
            if let Some(server) = viewing
                .tune_ins
                .get(no.0)
                .and_then(|it| self.servers.get_mut(&it.server))
            {
                server.well(now, &self.terms);
            }
        }
        self.settle(out);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn answer(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        no: TuneInNo,
        server: &ServerId,
        outcome: Outcome,
        last: bool,
        load: Load,
        out: &mut dyn Answers,
    ) {
        self.now = now;
        self.judge(server, outcome);
        if let Some(viewing) = self.viewings.get_mut(vw) {
            if let Some(tune_in) = viewing.tune_ins.get_mut(no.0) {
                tune_in.outcome = Some(outcome);
            }
            viewing.phase = match viewing.phase {
                _ if last => Phase::Over,
                Phase::Over => Phase::Over,
                _ => Phase::Waiting,
            };
        }
        self.book(server);
        self.note_load(server, load);
        self.settle(out);
    }

    pub fn change(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        out: &mut dyn Answers,
    ) {
        self.now = now;
        // At set-up a note tells of now, else of some time ago.
        let fresh = self
            .viewings
            .get(vw)
            .is_none_or(|it| it.phase != Phase::Playing || it.started == now);
        let at = if fresh { now } else { now - self.terms.seen_after };
        match topic {
            Topic::RungInForce => {
                if let Some(viewing) = self.viewings.get_mut(vw) {
                    viewing.rung = Rung(value.max(0.0) as usize);
                }
                self.book(server);
            }
            Topic::ShareDelivered => self.note_delivered(server, value, at),
            Topic::LinkAsked => self.note_link(server, value, at),
            Topic::UplinkAsked => self.note_uplink(server, value, at),
        }
        self.settle(out);
    }

    pub fn dropped(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn Answers) {
        self.now = now;
        if let Some(viewing) = self.viewings.get_mut(vw) {
            viewing.phase = Phase::Over;
        }
        self.settle(out);
    }

    pub fn echo(&mut self, now: Ms, server: &ServerId, outcome: Outcome, load: Load, out: &mut dyn Answers) {
        self.now = now;
        self.judge(server, outcome);
        self.note_load(server, load);
        self.settle(out);
    }

    pub fn datagram(&mut self, now: Ms, _from: ManagerIx, _payload: &[u8], out: &mut dyn Answers) {
        self.now = now;
        self.settle(out);
    }

    fn settle(&mut self, out: &mut dyn Answers) {
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    // Rules.

    fn forget_ended(&mut self, _out: &mut dyn Answers) -> bool {
        let before = self.viewings.len();
        self.viewings.retain(|_, it| it.phase != Phase::Over || it.out());
        before != self.viewings.len()
    }

    /// Rule 1: a viewing with nothing out whose patience ends is answered now.
    fn end_overdue(&mut self, out: &mut dyn Answers) -> bool {
        let overdue = self.waiting(|brain, it| brain.now >= it.wish.due);
        overdue.is_some_and(|vw| self.finish(&vw, out))
    }

    /// What can't be tuned in any more, or has waited in vain for its join target, gets its answer at once.
    fn give_up(&mut self, out: &mut dyn Answers) -> bool {
        let hopeless = self.waiting(|brain, it| {
            !brain.may_tune_in(it)
                || (brain.eligible(it).is_empty()
                    && (brain.now - it.taken >= brain.package(it).join_target || !brain.may_hope(it)))
        });
        hopeless.is_some_and(|vw| self.finish(&vw, out))
    }

    /// The ordinary path: two holders at random, the less used of them, a rung drawn by its split.
    fn tune_in(&mut self, out: &mut dyn Answers) -> bool {
        let Some(vw) = self.waiting(|brain, it| brain.may_tune_in(it) && !brain.eligible(it).is_empty())
        else {
            return false;
        };
        let mut holders = self.eligible(&self.viewings[&vw]);
        let one = holders.swap_remove(self.chance.below(holders.len()));
        let server = match holders.len() {
            0 => one,
            count => {
                let other = holders.swap_remove(self.chance.below(count));
                if self.used(&other) < self.used(&one) {
                    other
                } else {
                    one
                }
            }
        };
        let rung = self.draw(&self.viewings[&vw].clone(), &server);
        let time_out = self.time_out(&self.viewings[&vw], &server);
        let now = self.now;
        if let Some(viewing) = self.viewings.get_mut(&vw) {
            if viewing.rung != rung {
                out.step_to(&vw, rung);
            }
            viewing.rung = rung;
            viewing.phase = Phase::TuningIn;
            if !viewing.tune_ins.is_empty() {
                self.further.push(now);
            }
            viewing.tune_ins.push(TuneIn {
                server: server.clone(),
                sent: now,
                outcome: None,
            });
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.push(now);
        }
        out.relay(&vw, &server, time_out);
        self.book(&server);
        true
    }

    /// While the bound is broken at a server, its top-rung viewings step down, at a pace.
    fn step_down(&mut self, out: &mut dyn Answers) -> bool {
        let pace = self.terms.reports_every * DOWN_PACE;
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let server = &self.servers[&id];
            if server.own_kb <= 0.0 || self.now - server.last_step < pace {
                continue;
            }
            let held = self.askers(&id);
            if self.bound(&held.iter().map(|it| it.1).collect::<Vec<_>>()) <= self.capacity(&id, DOWN_FILL) {
                continue;
            }
            let playing = held
                .into_iter()
                .filter(|it| self.viewings[&it.0].phase == Phase::Playing);
            let top = playing
                .filter(|it| it.1.rung > self.terms.packages[it.1.package.0].floor)
                .max_by(|a, b| self.moves_first(&a.1, &b.1));
            let now = self.now;
            let server = self.servers.get_mut(&id).expect("listed above");
            server.tight_at = now;
            if let Some((vw, asker)) = top {
                server.last_step = now;
                self.set_rung(&vw, Rung(asker.rung.0 - 1), out);
                return true;
            }
        }
        false
    }

    /// Once a whole step fits for a settled spell, the viewing furthest below its request steps up.
    fn step_up(&mut self, out: &mut dyn Answers) -> bool {
        let spell = self.terms.reports_every * SETTLED;
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let server = &self.servers[&id];
            if server.own_kb <= 0.0 || self.now - server.tight_at.max(server.last_step) < spell {
                continue;
            }
            let held = self.askers(&id);
            let below = held
                .iter()
                .enumerate()
                .filter(|(_, it)| self.viewings[&it.0].phase == Phase::Playing && it.1.rung < it.1.best)
                .min_by(|a, b| self.moves_first(&a.1 .1, &b.1 .1));
            let Some((ix, (vw, asker))) = below else {
                continue;
            };
            let mut after: Vec<Asker> = held.iter().map(|it| it.1).collect();
            after[ix].rung = Rung(asker.rung.0 + 1);
            if self.bound(&after) > self.capacity(&id, UP_FILL) {
                continue;
            }
            let (vw, rung, now) = (vw.clone(), after[ix].rung, self.now);
            self.servers.get_mut(&id).expect("listed above").last_step = now;
            self.set_rung(&vw, rung, out);
            return true;
        }
        false
    }

    fn keep_awake(&mut self, out: &mut dyn Answers) -> bool {
        if self.viewings.is_empty() || self.bell_at.is_some_and(|at| self.now < at) {
            return false;
        }
        let shortest = self
            .terms
            .packages
            .iter()
            .map(|it| it.join_target)
            .fold(Ms(1e3), Ms::min);
        let at = self.now + (shortest * BEAT).max(self.terms.tick).max(Ms(1.0));
        out.schedule(BellTag(0), at);
        self.bell_at = Some(at);
        true
    }

    // Conditions and effects that the rules share.

    fn package(&self, viewing: &Viewing) -> &crate::terms::Package {
        &self.terms.packages[viewing.wish.package.0]
    }

    fn take(&mut self, wish: Wish, phase: Phase, tune_ins: Vec<TuneIn>) {
        let rung = self.terms.packages[wish.package.0].floor;
        let over_share = wish.tenant.is_some_and(|tenant| self.over_share(tenant));
        let (taken, started) = (self.now, Ms::LONG_AGO);
        let vw = wish.vw.clone();
        self.viewings.insert(
            vw,
            Viewing {
                wish,
                taken,
                phase,
                rung,
                started,
                tune_ins,
                over_share,
            },
        );
    }

    /// Counts an arrival; true while a tenant's viewings come faster than its share allows.
    fn over_share(&mut self, tenant: TenantIx) -> bool {
        let fade = self.terms.cold.lasts.max(Ms(1e3));
        let sum = &mut self.arrivals[tenant.0];
        sum.add(self.now, fade, 1.0);
        let rate = sum.read(self.now, fade) / (fade / Ms(1e3)) * self.terms.managers;
        rate > self.terms.tenants[tenant.0].allowance_per_s
    }

    fn waiting(&self, holds: impl Fn(&Brain, &Viewing) -> bool) -> Option<ViewingId> {
        let mut waiting = self.viewings.iter().filter(|(_, it)| it.phase == Phase::Waiting);
        waiting.find(|(_, it)| holds(self, it)).map(|(vw, _)| vw.clone())
    }

    /// The final answer: blocked where that is harmless, else aborted.
    fn finish(&mut self, vw: &ViewingId, out: &mut dyn Answers) -> bool {
        let Some(viewing) = self.viewings.get_mut(vw) else {
            return false;
        };
        viewing.phase = Phase::Over;
        let package = &self.terms.packages[viewing.wish.package.0];
        let harmless = match package.repeat {
            Repeat::Idempotent
            | Repeat::Deduplicated {
                group: Group::All, ..
            } => true,
            _ => viewing.never_ran(),
        };
        if harmless && self.now < viewing.wish.due {
            out.shed(vw, None);
        } else {
            out.abort(vw);
        }
        true
    }

    /// Rules 2 and 6, and the limit on tune-ins.
    fn may_tune_in(&self, viewing: &Viewing) -> bool {
        let count = viewing.tune_ins.len();
        if count == 0 {
            return true;
        }
        let safe = self.package(viewing).repeat != Repeat::AtMostOnce || viewing.never_ran();
        let within = self.terms.budget.is_none_or(|budget| {
            let recent =
                |times: &[Ms]| times.iter().filter(|at| self.now - **at < budget.span).count() as f64;
            recent(&self.further) + 1.0 <= budget.free + budget.ratio * recent(&self.taken)
        });
        safe && within && count < self.terms.max_tune_ins
    }

    /// A holder that is only shunned or paced may be had again soon.
    fn may_hope(&self, viewing: &Viewing) -> bool {
        self.servers
            .values()
            .any(|it| it.entry.availability == Availability::Up && self.holds(it, &viewing.wish))
            && self.seat_free(viewing)
    }

    fn holds(&self, server: &Server, wish: &Wish) -> bool {
        let cells = self.terms.cells.max(1);
        (server.entry.cell.0 % cells + cells - wish.base % cells) % cells < wish.copies
    }

    /// Rule 5: seats, set-ups included.
    fn seat_free(&self, viewing: &Viewing) -> bool {
        let seats = self.package(viewing).seats;
        let same = |it: &&Viewing| {
            it.out() && it.wish.title == viewing.wish.title && it.wish.package == viewing.wish.package
        };
        seats == 0 || self.viewings.values().filter(same).count() < seats
    }

    /// Holders that may get this viewing now; those not tried yet, where there are any.
    fn eligible(&self, viewing: &Viewing) -> Vec<ServerId> {
        if !self.seat_free(viewing) {
            return Vec::new();
        }
        let fits = |(id, it): &(&ServerId, &Server)| {
            it.entry.availability == Availability::Up
                && self.holds(it, &viewing.wish)
                && self.now >= it.shunned_until
                && self.pace_allows(it)
                && self.same_group(viewing, it)
                && self.has_room(viewing, id)
        };
        let all: Vec<ServerId> = self.servers.iter().filter(fits).map(|it| it.0.clone()).collect();
        let fresh = |id: &&ServerId| !viewing.tune_ins.iter().any(|it| it.server == **id);
        let untried: Vec<ServerId> = all.iter().filter(fresh).cloned().collect();
        if untried.is_empty() {
            all
        } else {
            untried
        }
    }

    /// Rule 2 for a deduplicated package: what may have run goes on only in its group and its window.
    fn same_group(&self, viewing: &Viewing, server: &Server) -> bool {
        let Repeat::Deduplicated { group, window } = self.package(viewing).repeat else {
            return true;
        };
        viewing.tune_ins.iter().filter(|it| it.may_have_run()).all(|it| {
            let earlier = self.servers.get(&it.server).map(|it| &it.entry);
            self.now - it.sent < window
                && match group {
                    Group::All => true,
                    Group::SameZone => earlier.is_some_and(|it| it.zone == server.entry.zone),
                    Group::SameCell => earlier.is_some_and(|it| it.cell == server.entry.cell),
                }
        })
    }

    /// Rule 4: this manager's part of what a cold server takes in any window. Where the part is under one,
    /// managers take turns by the clock, two turns touching any window.
    fn pace_allows(&self, server: &Server) -> bool {
        if server.failures == 0 && self.now >= server.cold_until.max(self.unsure_until) {
            return true;
        }
        let cold = &self.terms.cold;
        let places = self.terms.places.get(&server.entry.kind).copied().unwrap_or(0.0);
        // Set-ups of a package may weigh more than the mean of all.
        let weight = if self.terms.packages.len() > 1 { 1.5 } else { 1.0 };
        let pace = places / cold.lasts.0 * cold.start_capacity * cold.fall_multiple / weight;
        let all = pace * cold.fall_window.0;
        let since = |start: Ms| server.sent.iter().filter(|at| **at > start).count() as f64;
        let mine = (all / self.terms.managers.max(1.0)).floor();
        if mine >= 1.0 {
            return since(self.now - cold.fall_window) < mine;
        }
        let turn = (self.now / cold.fall_window).floor();
        let my_turn = turn.rem_euclid(self.terms.managers.max(1.0)) == self.terms.me.0 as f64;
        my_turn && all >= 2.0 && since(cold.fall_window * turn - Ms(1e-6)) + 1.0 <= (all / 2.0).floor()
    }

    fn time_out(&self, viewing: &Viewing, server: &ServerId) -> Ms {
        let left = viewing.wish.due - self.now;
        let others = self.eligible(viewing).iter().any(|it| it != server);
        let again = viewing.tune_ins.len() + 1 < self.terms.max_tune_ins && others;
        if !again || self.package(viewing).repeat == Repeat::AtMostOnce {
            return left;
        }
        (self.package(viewing).join_target * FIRST_WAIT).min(left)
    }

    fn set_rung(&mut self, vw: &ViewingId, rung: Rung, out: &mut dyn Answers) {
        if let Some(viewing) = self.viewings.get_mut(vw) {
            viewing.rung = rung;
            out.step_to(vw, rung);
            if let Some(server) = viewing.place().cloned() {
                self.book(&server);
            }
        }
    }

    /// Takes note of how a tune-in, a viewing or a probe ended.
    fn judge(&mut self, server: &ServerId, outcome: Outcome) {
        let join = self
            .terms
            .packages
            .iter()
            .map(|it| it.join_target)
            .fold(Ms(1e3), Ms::min);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        match outcome {
            Outcome::Served => server.well(self.now, &self.terms),
            Outcome::TurnedAway => server.shunned_until = self.now + self.terms.reports_every * 0.5,
            Outcome::NoConnection | Outcome::ConnectionLost | Outcome::NoAnswer => {
                if self.now >= server.shunned_until {
                    server.failures += 1;
                    let spell = join * SHUN * 2f64.powi(server.failures.min(8) as i32 - 1);
                    server.shunned_until = self.now + spell.min(self.terms.cold.lasts);
                }
            }
            Outcome::ServerError | Outcome::CalledOff | Outcome::NotSent => {}
        }
    }

    // The split, its bound and the capacity it is held to.

    fn rate(&self, package: PackageIx, rung: Rung) -> f64 {
        let package = &self.terms.packages[package.0];
        self.terms.ladder_kb.get(rung.0).copied().unwrap_or(0.0) * package.scale
    }

    fn asker(&self, viewing: &Viewing) -> Asker {
        let package = viewing.wish.package;
        let Viewing { rung, over_share, .. } = *viewing;
        let best = viewing.wish.best.min(self.package(viewing).top);
        Asker {
            package,
            best,
            rung,
            over_share,
        }
    }

    /// The viewings that a server holds or sets up for this manager.
    fn askers(&self, server: &ServerId) -> Vec<(ViewingId, Asker)> {
        let there = self.viewings.iter().filter(|(_, it)| it.place() == Some(server));
        there.map(|(vw, it)| (vw.clone(), self.asker(it))).collect()
    }

    /// Summed over rungs: rate x (count + phi x root of count).
    fn bound(&self, askers: &[Asker]) -> f64 {
        let mut counts: BTreeMap<(PackageIx, Rung), f64> = BTreeMap::new();
        for asker in askers {
            *counts.entry((asker.package, asker.rung)).or_default() += 1.0;
        }
        counts
            .iter()
            .map(|((package, rung), n)| self.rate(*package, *rung) * (n + PHI * n.sqrt()))
            .sum()
    }

    /// Who steps down first is greatest: over its tenant's share, then the top rung, then the lower value,
    /// then the one least below its request.
    fn moves_first(&self, a: &Asker, b: &Asker) -> std::cmp::Ordering {
        let value = |it: &Asker| self.terms.packages[it.package.0].value;
        let below = |it: &Asker| it.best.0.saturating_sub(it.rung.0);
        a.over_share
            .cmp(&b.over_share)
            .then(below(b).cmp(&below(a)))
            .then(a.rung.cmp(&b.rung))
            .then(value(b).total_cmp(&value(a)))
    }

    /// Who the split moves down first: the top rung, over-share and lower value first.
    fn split(&self, askers: &mut [Asker], capacity: f64) {
        for asker in askers.iter_mut() {
            asker.rung = asker.best;
        }
        while self.bound(askers) > capacity {
            let floor = |it: &Asker| self.terms.packages[it.package.0].floor;
            let movable = (0..askers.len()).filter(|ix| askers[*ix].rung > floor(&askers[*ix]));
            let key = |it: &Asker| (it.over_share, it.rung);
            let value = |it: &Asker| self.terms.packages[it.package.0].value;
            let first = movable.max_by(|a, b| {
                let (a, b) = (&askers[*a], &askers[*b]);
                key(a).cmp(&key(b)).then(value(b).total_cmp(&value(a)))
            });
            match first {
                Some(ix) => askers[ix].rung.0 -= 1,
                None => return,
            }
        }
    }

    /// A new viewing's rung, drawn by the shares of those who ask for the same at the server.
    fn draw(&mut self, viewing: &Viewing, server: &ServerId) -> Rung {
        let mine = self.asker(viewing);
        let mut askers: Vec<Asker> = self.askers(server).into_iter().map(|it| it.1).collect();
        askers.push(mine);
        self.split(&mut askers, self.capacity(server, FILL));
        let same =
            |it: &&Asker| (it.package, it.best, it.over_share) == (mine.package, mine.best, mine.over_share);
        let rungs: Vec<Rung> = askers.iter().filter(same).map(|it| it.rung).collect();
        rungs[self.chance.below(rungs.len())]
    }

    /// False if even the lowest rung for all breaks the bound, at what the manager may ever claim there.
    fn has_room(&self, viewing: &Viewing, server: &ServerId) -> bool {
        let rack = self.rack(&self.servers[server]);
        let lowest = |here: &dyn Fn(&ServerId) -> bool| {
            let held = self.viewings.values().filter(|it| it.place().is_some_and(here));
            let mut askers: Vec<Asker> = held.map(|it| self.asker(it)).collect();
            askers.push(self.asker(viewing));
            for asker in &mut askers {
                asker.rung = self.terms.packages[asker.package.0].floor;
            }
            self.bound(&askers)
        };
        let link = lowest(&|it| it == server);
        let uplink = lowest(&|it| self.servers.get(it).is_some_and(|it| self.rack(it) == rack));
        let parts = self.terms.managers.max(1.0);
        link <= self.link_claim(server, DOWN_FILL).max(self.link_kb(server) / parts)
            && uplink <= self.uplink_claim(rack, DOWN_FILL).max(self.terms.uplink_kb / parts)
    }

    fn rack(&self, server: &Server) -> Rack {
        Rack(server.entry.cell.0 % self.terms.racks.max(1))
    }

    fn link_kb(&self, server: &ServerId) -> f64 {
        self.servers
            .get(server)
            .map_or(0.0, |it| it.entry.weight * self.terms.link_unit_kb)
    }

    fn own_in(&self, rack: Rack) -> f64 {
        self.servers
            .values()
            .filter(|it| self.rack(it) == rack)
            .map(|it| it.own_kb)
            .sum()
    }

    /// What this manager may use of a link: the told capacity less others' use. Free room is shared among the
    /// managers, who all see the same note; what is missing is given up by each in proportion.
    fn claim(&self, told: f64, seen: Option<Seen>, own_now: f64, guess: f64, fill: f64) -> f64 {
        let fresh =
            seen.filter(|it| self.now - it.at < self.terms.reports_every * STALE + self.terms.seen_after);
        let (asked, own) = fresh.map_or((guess, own_now), |it| (it.asked, it.own_kb));
        // More of one's own than the whole that is seen: the link is larger than told, or titles run low.
        let capacity = if asked > 0.0 { told.max(own / asked) } else { told };
        let total = asked * capacity;
        let room = capacity * fill - total;
        if room >= 0.0 {
            own + room / self.terms.managers.max(1.0)
        } else {
            own * capacity * fill / total
        }
    }

    /// With no note: as many others' viewings as one's own, for each manager.
    fn guess(&self) -> f64 {
        let own: f64 = self.servers.values().map(|it| it.own_kb).sum();
        let up = self
            .servers
            .values()
            .filter(|it| it.entry.availability == Availability::Up);
        let links: f64 = up.map(|it| it.entry.weight * self.terms.link_unit_kb).sum();
        if links > 0.0 {
            (own * self.terms.managers / links).min(FILL)
        } else {
            FILL
        }
    }

    fn link_claim(&self, server: &ServerId, fill: f64) -> f64 {
        let it = &self.servers[server];
        self.claim(self.link_kb(server), it.seen, it.own_kb, self.guess(), fill)
    }

    fn uplink_claim(&self, rack: Rack, fill: f64) -> f64 {
        let own = self.own_in(rack);
        let seen = self.uplinks.get(&rack).and_then(|it| it.seen);
        let guess = (own * self.terms.managers / self.terms.uplink_kb.max(1.0)).min(FILL);
        self.claim(self.terms.uplink_kb, seen, own, guess, fill)
    }

    /// The lesser of the link and the server's share of its rack's uplink.
    fn capacity(&self, server: &ServerId, fill: f64) -> f64 {
        let it = &self.servers[server];
        let rack = self.rack(it);
        let (claim, own) = (self.uplink_claim(rack, fill), self.own_in(rack));
        let share = if claim >= own {
            it.own_kb + claim - own
        } else {
            it.own_kb * claim / own
        };
        self.link_claim(server, fill).min(share)
    }

    /// Part of a holder's link or uplink that is asked, whichever is fuller.
    fn used(&self, server: &ServerId) -> f64 {
        let it = &self.servers[server];
        let rack = self.rack(it);
        let link = part_used(self.link_kb(server), it.seen, it.own_kb, self.guess());
        let seen = self.uplinks.get(&rack).and_then(|it| it.seen);
        let uplink = part_used(self.terms.uplink_kb, seen, self.own_in(rack), self.guess());
        let crossing = if it.entry.zone == self.terms.zone {
            0.0
        } else {
            self.terms.cross_price
        };
        link.max(uplink) + crossing * CROSS_HANDICAP
    }

    // What is told of links and uplinks.

    /// Brings the ledger of a server up to date with the viewings there.
    fn book(&mut self, server: &ServerId) {
        let there = self.viewings.values().filter(|it| it.place() == Some(server));
        let own: f64 = there.map(|it| self.rate(it.wish.package, it.rung)).sum();
        let (now, keep) = (self.now, self.terms.seen_after * 2.0);
        if let Some(server) = self.servers.get_mut(server) {
            if own != server.own_kb {
                server.ledger.retain(|it| now - it.0 <= keep);
                server.ledger.push((now, own - server.own_kb));
                server.own_kb = own;
            }
            server.sent.retain(|at| now - *at <= self.terms.cold.fall_window);
        }
        let span = self.terms.budget.map_or(Ms(0.0), |it| it.span);
        self.taken.retain(|at| now - *at <= span);
        self.further.retain(|at| now - *at <= span);
    }

    fn note_link(&mut self, server: &ServerId, asked: f64, at: Ms) {
        if let Some(server) = self.servers.get_mut(server) {
            if server.seen.is_none_or(|it| it.at <= at) {
                server.seen = Some(Seen {
                    asked,
                    own_kb: server.own_at(at),
                    at,
                });
            }
        }
    }

    fn note_uplink(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(rack) = self.servers.get(server).map(|it| self.rack(it)) else {
            return;
        };
        let there = self.servers.values().filter(|it| self.rack(it) == rack);
        let own_kb = there.map(|it| it.own_at(at)).sum();
        let uplink = self.uplinks.entry(rack).or_default();
        if uplink.seen.is_none_or(|it| it.at <= at) {
            uplink.seen = Some(Seen { asked, own_kb, at });
        }
    }

    /// Short delivery that the link does not explain comes from the uplink.
    fn note_delivered(&mut self, server: &ServerId, share: f64, at: Ms) {
        let link = self
            .servers
            .get(server)
            .and_then(|it| it.seen)
            .map_or(0.0, |it| it.asked);
        let asked = 1.0 / share.max(0.05);
        if share >= 0.98 {
            return;
        }
        if link >= asked * 0.95 {
            self.note_link(server, asked.max(link), at);
        } else {
            self.note_uplink(server, asked, at);
        }
    }

    /// Reports in answers are rougher than notes and stand in only where those are old.
    fn note_load(&mut self, server: &ServerId, load: Load) {
        let old = |seen: Option<Seen>| seen.is_none_or(|it| self.now - it.at > self.terms.reports_every);
        let Some(it) = self.servers.get(server) else {
            return;
        };
        let uplink_old = old(self.uplinks.get(&self.rack(it)).and_then(|it| it.seen));
        if let Some(asked) = load.link_uncapped.or(load.link).filter(|_| old(it.seen)) {
            self.note_link(server, asked, self.now - self.terms.seen_after);
        }
        if let Some(asked) = load.uplink.filter(|_| uplink_old) {
            self.note_uplink(server, asked, self.now - self.terms.seen_after);
        }
    }
}

fn part_used(told: f64, seen: Option<Seen>, own_now: f64, guess: f64) -> f64 {
    if told <= 0.0 {
        return f64::MAX;
    }
    seen.map_or(guess, |it| it.asked + (own_now - it.own_kb) / told)
}

impl Viewing {
    fn out(&self) -> bool {
        self.tune_ins.last().is_some_and(|it| it.outcome.is_none())
    }

    /// Where its tune-in is out or it plays.
    fn place(&self) -> Option<&ServerId> {
        self.tune_ins
            .last()
            .filter(|it| it.outcome.is_none())
            .map(|it| &it.server)
    }

    fn never_ran(&self) -> bool {
        !self.tune_ins.iter().any(TuneIn::may_have_run)
    }
}

impl TuneIn {
    fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
        )
    }
}

impl Server {
    fn new(entry: Entry, cold_until: Ms) -> Server {
        Server {
            entry,
            seen: None,
            delivered: None,
            ledger: Vec::new(),
            own_kb: 0.0,
            sent: Vec::new(),
            cold_until,
            failures: 0,
            shunned_until: Ms::LONG_AGO,
            last_step: Ms::LONG_AGO,
            tight_at: Ms::LONG_AGO,
        }
    }

    /// It answers: if it had failed it may have restarted, at the latest just now.
    fn well(&mut self, now: Ms, terms: &Terms) {
        if self.failures > 0 {
            self.failures = 0;
            self.cold_until = self.cold_until.max(now + terms.cold.lasts);
        }
        self.shunned_until = Ms::LONG_AGO;
    }

    fn own_at(&self, at: Ms) -> f64 {
        self.own_kb
            - self
                .ledger
                .iter()
                .filter(|it| it.0 > at)
                .map(|it| it.1)
                .sum::<f64>()
    }
}
