//! All decisions of ottersail. The adapter calls one method of [`Brain`] for each input; it notes what was
//! told and then goes through `RULES` in order, again from the top, until none fires. What is decided goes
//! out through `Answers` (src/answers.rs); the shapes are in src/state.rs, the start-up terms in
//! src/terms.rs. docs/design.md says where each rule comes from, docs/on-call.md what is seen in trouble.

use crate::answers::Answers;
use crate::ids::{BellTag, ManagerIx, PackageIx, Rack, Rung, ServerId, TenantIx, TuneInNo, ViewingId};
use crate::state::{
    Availability, Entry, ListMode, Load, Outcome, Phase, Seen, Server, Told, Topic, TuneIn, Viewing, Wish,
};
use crate::terms::{Group, Repeat, Terms};
use crate::time::{DecayingSum, Ms};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Normal point of the root margin, for held counts.
const PHI: f64 = 0.1;
/// Parts of a link or uplink that may be asked: by new viewings, before playing ones step down, and after
/// a step up. Their distance keeps playing viewings from paying for each swing of the true rates.
const FILL: f64 = 0.92;
const DOWN_FILL: f64 = 1.15;
const UP_FILL: f64 = 0.85;
/// An uplink that is reported may be filled this far: it pools the swings of many viewings.
const POOLED_FILL: f64 = 0.95;
/// One that is never reported is filled so much less than a link.
const DOUBT: f64 = 0.1;
/// An uplink seen to be asked for more than this is short for all of its rack: it is brought down to this.
const SHORT: f64 = 1.04;
/// Short delivery is explained by a link that was asked for this much of what would cause it.
const EXPLAINED: f64 = 0.92;
/// So many of the servers held in a rack must show it before short delivery is laid to the uplink.
const MOST: f64 = 0.6;
/// Peers are told so often, over the time between notes, and of so many racks as a message holds.
const TELL: f64 = 0.25;
const MOST_TOLD: u64 = 64;
/// A server must have been settled before a step up for this part of the time between notes, and for this
/// many times what a change of rung costs, since steps up must be paid back.
const SETTLED: f64 = 0.5;
const PAID_BACK: f64 = 3.0;
/// Between two steps up at a server, over the time between notes.
const UP_PACE: f64 = 0.15;
/// Normal point of the margin on a tenant's share.
const SHARE_PHI: f64 = 2.0;
/// A note older than this many note times counts no more.
const STALE: f64 = 2.5;
/// What is known of an uplink that is never reported fades in about this many.
const TRUST: f64 = 3.0;
/// A tune-in that another can follow waits for this part of the join target.
const FIRST_WAIT: f64 = 0.5;
/// Use that a holder in another zone must be better by, for each point of the price of crossing.
const CROSS_HANDICAP: f64 = 2.0;
/// Each server is weighed, and each held viewing looked at, once in this part of the shortest join target.
const BEAT: f64 = 0.1;
/// A first failure keeps a server out of the pick for this many join targets; each further one doubles it.
const SHUN: f64 = 1.0;
/// A server that turned a set-up away is left out for this part of the time between notes.
const AWAY: f64 = 0.5;

type Rule = fn(&mut Brain, &mut dyn Answers) -> bool;

/// Each is a condition and an effect; it tells whether it fired.
const RULES: [Rule; 7] = [
    Brain::end_overdue,
    Brain::give_up,
    Brain::tune_in,
    Brain::hold,
    Brain::step,
    Brain::tell_peers,
    Brain::keep_awake,
];

/// A multiply-with-carry generator.
struct Chance(u64);

impl Chance {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
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
    uplinks: BTreeMap<Rack, Seen>,
    /// Of an uplink that is not reported: what is asked over what is counted, less one, and when it was seen.
    missing: BTreeMap<Rack, (f64, Ms)>,
    peers: BTreeMap<ManagerIx, Told>,
    tell_at: Ms,
    viewings: BTreeMap<ViewingId, Viewing>,
    /// Viewings without a tune-in out, by when they are looked at again.
    waiting: BTreeSet<(Ms, ViewingId)>,
    arrivals: Vec<DecayingSum>,
    taken: Vec<Ms>,
    further: Vec<Ms>,
    bell_at: Option<Ms>,
    /// Mean part of a link that is asked, where it is known.
    common_use: f64,
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
            missing: BTreeMap::new(),
            peers: BTreeMap::new(),
            tell_at: now,
            viewings: BTreeMap::new(),
            waiting: BTreeSet::new(),
            arrivals: vec![DecayingSum::default(); terms.tenants.len()],
            taken: Vec::new(),
            further: Vec::new(),
            bell_at: None,
            common_use: 0.5,
            terms,
        }
    }

    pub fn package_named(&self, name: &str) -> Option<PackageIx> {
        self.terms.packages.iter().position(|package| package.name == name).map(PackageIx)
    }

    pub fn tenant_named(&self, name: &str) -> Option<TenantIx> {
        self.terms.tenants.iter().position(|tenant| tenant.name == name).map(TenantIx)
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
            let cold_until = entry.started.map_or(Ms::LONG_AGO, |start| start + self.terms.cold.lasts);
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
                    self.servers.insert(entry.server.clone(), Server::new(entry.clone(), cold_until));
                }
            }
        }
        self.settle(out);
    }

    pub fn preexisting(&mut self, now: Ms, wish: Wish, server: ServerId, out: &mut dyn Answers) {
        self.now = now;
        let tune_in = TuneIn { server, sent: now, outcome: None };
        if let Some(server) = self.servers.get_mut(&tune_in.server) {
            server.proven = true;
        }
        self.take(wish, Phase::Playing, vec![tune_in]);
        self.settle(out);
    }

    pub fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        self.now = now;
        let span = self.terms.budget.map_or(Ms(0.0), |it| it.span);
        self.taken.retain(|at| now - *at <= span);
        self.further.retain(|at| now - *at <= span);
        self.taken.push(now);
        out.schedule(BellTag(1), wish.due);
        self.take(wish, Phase::Waiting, Vec::new());
        self.settle(out);
    }

    pub fn bell(&mut self, now: Ms, _tag: BellTag, out: &mut dyn Answers) {
        self.now = now;
        self.settle(out);
    }

    pub fn first(&mut self, now: Ms, vw: &ViewingId, server: &ServerId, out: &mut dyn Answers) {
        self.now = now;
        self.amend(vw, |it| {
            it.started = now;
            if it.phase != Phase::Over {
                it.phase = Phase::Playing;
            }
        });
        if let Some(server) = self.servers.get_mut(server) {
            well(server, now, &self.terms);
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
        self.amend(vw, |it| {
            if let Some(tune_in) = it.tune_ins.get_mut(no.0) {
                tune_in.outcome = Some(outcome);
            }
            it.look_at = now;
            it.phase = if last || it.phase == Phase::Over { Phase::Over } else { Phase::Waiting };
        });
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
        let fresh = self.viewings.get(vw).is_none_or(|it| it.phase != Phase::Playing || it.started == now);
        let at = if fresh { now } else { now - self.terms.seen_after };
        match topic {
            Topic::RungInForce => {
                self.amend(vw, |it| it.rung = Rung(value.max(0.0) as usize));
            }
            Topic::ShareDelivered => self.note_delivered(server, value, at),
            Topic::LinkAsked => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.link_note = value;
                }
                self.note_link(server, value, at);
            }
            Topic::UplinkAsked => self.note_uplink(server, value, at),
        }
        self.settle(out);
    }

    pub fn dropped(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn Answers) {
        self.now = now;
        self.amend(vw, |it| it.phase = Phase::Over);
        self.settle(out);
    }

    pub fn echo(&mut self, now: Ms, server: &ServerId, outcome: Outcome, load: Load, out: &mut dyn Answers) {
        self.now = now;
        self.judge(server, outcome);
        self.note_load(server, load);
        self.settle(out);
    }

    /// A peer tells what it asks of each rack's uplink, four bytes a rack.
    pub fn datagram(&mut self, now: Ms, from: ManagerIx, payload: &[u8], out: &mut dyn Answers) {
        self.now = now;
        let kb =
            payload.chunks_exact(4).map(|it| f64::from(u32::from_be_bytes([it[0], it[1], it[2], it[3]])));
        self.peers.insert(from, Told { kb: kb.collect(), at: now });
        self.settle(out);
    }

    fn settle(&mut self, out: &mut dyn Answers) {
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    // Rules.

    /// Rule 1: a viewing with nothing out whose patience ends is answered now.
    fn end_overdue(&mut self, out: &mut dyn Answers) -> bool {
        let vw = self.waiting_now().filter(|vw| self.now >= self.viewings[vw].wish.due);
        vw.is_some_and(|vw| self.finish(&vw, out))
    }

    /// What can't be tuned in any more, finds no room, or has waited in vain for its join target, gets its
    /// answer at once.
    fn give_up(&mut self, out: &mut dyn Answers) -> bool {
        let vw = self.waiting_now().filter(|vw| {
            let it = &self.viewings[vw];
            let late = self.now - it.taken >= self.package(it).join_target;
            !self.may_tune_in(it) || (self.eligible(it).is_empty() && (late || !self.may_hope(it)))
        });
        vw.is_some_and(|vw| self.finish(&vw, out))
    }

    /// The ordinary path: two holders at random, the less used of them, a rung drawn by its split.
    fn tune_in(&mut self, out: &mut dyn Answers) -> bool {
        let Some(vw) = self.waiting_now() else {
            return false;
        };
        let mut holders = self.eligible(&self.viewings[&vw]);
        if holders.is_empty() {
            return false;
        }
        let others = holders.len() > 1;
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
        let viewing = self.viewings[&vw].clone();
        let rung = self.draw(&viewing, &server);
        if viewing.rung != rung {
            out.step_to(&vw, rung);
        }
        out.relay(&vw, &server, self.time_out(&viewing, others));
        let now = self.now;
        if !viewing.tune_ins.is_empty() {
            self.further.push(now);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.retain(|at| now - *at <= self.terms.cold.fall_window);
            server.sent.push(now);
        }
        self.amend(&vw, |it| {
            it.rung = rung;
            it.phase = Phase::TuningIn;
            it.tune_ins.push(TuneIn { server, sent: now, outcome: None });
        });
        true
    }

    /// All holders are shunned, paced or without a seat: look again after a beat.
    fn hold(&mut self, _out: &mut dyn Answers) -> bool {
        let next = self.now + self.beat();
        let vw = self.waiting_now();
        vw.is_some_and(|vw| {
            self.amend(&vw, |it| it.look_at = next.min(it.wish.due));
            true
        })
    }

    /// Each server is weighed once a beat. While the bound is broken, its top-rung viewing steps down; once a
    /// whole step fits for a settled spell, the one furthest below its request steps up.
    fn step(&mut self, out: &mut dyn Answers) -> bool {
        let due = |it: &(&ServerId, &Server)| it.1.look_at <= self.now && !it.1.held.is_empty();
        let Some(id) = self.servers.iter().find(due).map(|it| it.0.clone()) else {
            return false;
        };
        let (now, next) = (self.now, self.now + self.beat());
        let (names, held): (Vec<ViewingId>, Vec<Asker>) = self.askers(&id).into_iter().unzip();
        let playing = |ix: &usize| self.viewings[&names[*ix]].phase == Phase::Playing;
        let broken = self.bound(&held) > self.capacity(&id, DOWN_FILL);
        let settled = now - self.servers[&id].unsettled_at
            >= self.note_gap() * SETTLED + self.terms.change_cost * PAID_BACK;
        let changed = if broken {
            let may = |ix: &usize| held[*ix].rung > self.terms.packages[held[*ix].package.0].floor;
            let top = (0..held.len()).filter(playing).filter(may);
            let top = top.max_by(|a, b| self.goes_down(&held[*a], &held[*b]));
            top.map(|ix| (ix, held[ix].rung.0 - 1))
        } else if settled {
            let low = (0..held.len()).filter(playing).filter(|ix| held[*ix].rung < held[*ix].best);
            let low = low.max_by(|a, b| self.goes_up(&held[*a], &held[*b]));
            let fits = |ix: &usize| {
                let mut after = held.clone();
                after[*ix].rung.0 += 1;
                self.bound(&after) <= self.capacity(&id, UP_FILL)
            };
            low.filter(fits).map(|ix| (ix, held[ix].rung.0 + 1))
        } else {
            None
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.look_at =
                if changed.is_some() && !broken { now + self.terms.reports_every * UP_PACE } else { next };
            if broken {
                server.unsettled_at = now;
            }
        }
        if let Some((ix, rung)) = changed {
            out.step_to(&names[ix], Rung(rung));
            self.amend(&names[ix], |it| it.rung = Rung(rung));
        }
        true
    }

    /// Where uplinks are not reported, the managers tell each other what they ask of them.
    fn tell_peers(&mut self, out: &mut dyn Answers) -> bool {
        let useful = self.terms.peer_messages && !self.terms.uplinks_reported && self.terms.managers > 1.0;
        if !useful || self.now < self.tell_at {
            return false;
        }
        let kb = (0..self.terms.racks.min(MOST_TOLD)).map(|rack| self.own_in(Rack(rack)) as u32);
        out.publish(None, &kb.flat_map(u32::to_be_bytes).collect::<Vec<u8>>());
        self.tell_at = self.now + self.note_gap() * TELL;
        true
    }

    fn keep_awake(&mut self, out: &mut dyn Answers) -> bool {
        if self.viewings.is_empty() || self.bell_at.is_some_and(|at| self.now < at) {
            return false;
        }
        let at = self.now + self.beat();
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
        let asked = wish.tenant.filter(|_| phase == Phase::Waiting);
        let over_share = asked.is_some_and(|tenant| self.over_share(tenant));
        let (taken, started) = (self.now, Ms::LONG_AGO);
        let vw = wish.vw.clone();
        let viewing = Viewing {
            wish,
            taken,
            phase: Phase::Over,
            rung,
            started,
            tune_ins: Vec::new(),
            over_share,
            look_at: taken,
        };
        self.viewings.insert(vw.clone(), viewing);
        self.amend(&vw, |it| (it.phase, it.tune_ins) = (phase, tune_ins));
    }

    /// True for an arrival past its tenant's share: this manager's equal part of it, with a root margin,
    /// since tenants lean. Only what is within is counted, so that a crowd still gets the share itself.
    fn over_share(&mut self, tenant: TenantIx) -> bool {
        let fade = self.terms.cold.lasts.max(Ms(1e3));
        let allowed = self.terms.tenants[tenant.0].allowance_per_s * (fade / Ms(1e3));
        let part = allowed / self.terms.managers.max(1.0);
        let over = self.arrivals[tenant.0].read(self.now, fade) >= part + SHARE_PHI * part.sqrt();
        if !over {
            self.arrivals[tenant.0].add(self.now, fade, 1.0);
        }
        over
    }

    /// Changes a viewing and keeps in step what is counted of it: the waiting, a server's held and its rates.
    fn amend(&mut self, vw: &ViewingId, change: impl FnOnce(&mut Viewing)) {
        let Some(mut viewing) = self.viewings.remove(vw) else {
            return;
        };
        self.count(&viewing, -1.0);
        self.waiting.remove(&(viewing.look_at, vw.clone()));
        change(&mut viewing);
        self.count(&viewing, 1.0);
        if viewing.phase == Phase::Waiting {
            self.waiting.insert((viewing.look_at, vw.clone()));
        }
        if viewing.phase != Phase::Over || viewing.out() {
            self.viewings.insert(vw.clone(), viewing);
        }
    }

    fn count(&mut self, viewing: &Viewing, sign: f64) {
        let package = viewing.wish.package;
        let rate = self.rate(package, viewing.rung) * sign;
        let (now, keep) = (self.now, self.terms.seen_after * 2.0);
        if let Some(server) = viewing.place().and_then(|place| self.servers.get_mut(place)) {
            if sign > 0.0 {
                server.held.insert(viewing.wish.vw.clone());
            } else {
                server.held.remove(&viewing.wish.vw);
            }
            *server.counts.entry(package).or_default() += sign;
            server.own_kb = if server.held.is_empty() { 0.0 } else { server.own_kb + rate };
            server.ledger.retain(|it| now - it.0 <= keep);
            server.ledger.push((now, rate));
        }
    }

    fn waiting_now(&self) -> Option<ViewingId> {
        self.waiting.first().filter(|it| it.0 <= self.now).map(|it| it.1.clone())
    }

    fn join_target(&self) -> Ms {
        self.terms.packages.iter().map(|it| it.join_target).min().unwrap_or(Ms(1e3))
    }

    /// Time between two notes on a server, where any come.
    fn note_gap(&self) -> Ms {
        self.terms.reports_every.max(self.terms.seen_after).max(self.terms.tick)
    }

    fn beat(&self) -> Ms {
        (self.join_target() * BEAT).max(self.terms.tick).max(Ms(1.0))
    }

    /// The final answer: blocked where that is harmless, else aborted.
    fn finish(&mut self, vw: &ViewingId, out: &mut dyn Answers) -> bool {
        let viewing = &self.viewings[vw];
        let harmless = match self.package(viewing).repeat {
            Repeat::Idempotent | Repeat::Deduplicated { group: Group::All, .. } => true,
            _ => never_ran(viewing),
        };
        if harmless && self.now < viewing.wish.due {
            // By the next note there may be room again.
            out.shed(vw, self.terms.max_stay_away.map(|most| most.min(self.note_gap())));
        } else {
            out.abort(vw);
        }
        self.amend(vw, |it| it.phase = Phase::Over);
        true
    }

    /// Rules 2 and 6, and the limit on tune-ins.
    fn may_tune_in(&self, viewing: &Viewing) -> bool {
        let count = viewing.tune_ins.len();
        if count == 0 {
            return true;
        }
        let safe = self.package(viewing).repeat != Repeat::AtMostOnce || never_ran(viewing);
        let within = self.terms.budget.is_none_or(|budget| {
            let recent =
                |times: &[Ms]| times.iter().filter(|at| self.now - **at < budget.span).count() as f64;
            recent(&self.further) + 1.0 <= budget.free + budget.ratio * recent(&self.taken)
        });
        safe && within && count < self.terms.max_tune_ins
    }

    /// A holder that is only shunned or paced may be had again soon; one without room refuses.
    fn may_hope(&self, viewing: &Viewing) -> bool {
        let up = |it: &Server| it.entry.availability == Availability::Up && self.holds(it, &viewing.wish);
        self.seat_free(viewing) && self.servers.iter().any(|(id, it)| up(it) && self.has_room(viewing, id))
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
        viewing.tune_ins.iter().filter(|it| may_have_run(it)).all(|it| {
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
    /// managers take turns by the clock, another at each cell, in turns so long that no window touches too
    /// many.
    fn pace_allows(&self, server: &Server) -> bool {
        let (cold, managers) = (&self.terms.cold, self.terms.managers.max(1.0));
        let sure = server.failures == 0 && (server.proven || self.now >= self.unsure_until);
        if cold.lasts <= Ms(0.0) || (sure && self.now >= server.cold_until) {
            return true;
        }
        let places = self.terms.places.get(&server.entry.kind).copied().unwrap_or(0.0);
        // Set-ups of a package may weigh more than the mean of all.
        let weight = if self.terms.packages.len() > 1 { 1.5 } else { 1.0 };
        let pace = places / cold.lasts.0 * cold.start_capacity * cold.fall_multiple / weight;
        let all = (pace * cold.fall_window.0).floor();
        let since = |start: Ms| server.sent.iter().filter(|at| **at > start).count() as f64;
        let mine = (all / managers).floor();
        if mine >= 1.0 {
            return since(self.now - cold.fall_window) < mine;
        }
        let length = if all >= 2.0 { cold.fall_window * (1.0 / (all - 1.0)) } else { cold.fall_window * 2.0 };
        let turn = (self.now / length).floor();
        let early = all >= 2.0 || self.now - length * turn < cold.fall_window;
        let my_turn = (turn + server.entry.cell.0 as f64).rem_euclid(managers) == self.terms.me.0 as f64;
        my_turn && early && since(length * turn - Ms(1e-6)) < 1.0
    }

    fn time_out(&self, viewing: &Viewing, others: bool) -> Ms {
        let left = viewing.wish.due - self.now;
        let again = viewing.tune_ins.len() + 1 < self.terms.max_tune_ins && others;
        if !again || self.package(viewing).repeat == Repeat::AtMostOnce {
            return left;
        }
        (self.package(viewing).join_target * FIRST_WAIT).min(left)
    }

    /// Takes note of how a tune-in, a viewing or a probe ended.
    fn judge(&mut self, server: &ServerId, outcome: Outcome) {
        let (join, gap) = (self.join_target(), self.note_gap());
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        match outcome {
            Outcome::Served => well(server, self.now, &self.terms),
            Outcome::TurnedAway => server.shunned_until = self.now + gap * AWAY,
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
        let package_terms = self.package(viewing);
        let best = viewing.wish.best.min(package_terms.top).max(package_terms.floor);
        Asker { package, best, rung, over_share }
    }

    /// The viewings that a server holds or sets up for this manager.
    fn askers(&self, server: &ServerId) -> Vec<(ViewingId, Asker)> {
        let held = self.servers.get(server).into_iter().flat_map(|it| &it.held);
        held.map(|vw| (vw.clone(), self.asker(&self.viewings[vw]))).collect()
    }

    /// Summed over rungs: rate x (count + phi x root of count).
    fn bound(&self, askers: &[Asker]) -> f64 {
        let mut counts: BTreeMap<(PackageIx, Rung), f64> = BTreeMap::new();
        for asker in askers {
            *counts.entry((asker.package, asker.rung)).or_default() += 1.0;
        }
        counts.iter().map(|((package, rung), n)| self.rate(*package, *rung) * (n + PHI * n.sqrt())).sum()
    }

    /// Who goes down first is greatest: the top rung, and there the one over its tenant's share, then the
    /// lower value, then the one least below its request.
    fn goes_down(&self, a: &Asker, b: &Asker) -> Ordering {
        let value = |it: &Asker| self.terms.packages[it.package.0].value;
        let top = a.rung.cmp(&b.rung).then(a.over_share.cmp(&b.over_share));
        top.then(value(b).total_cmp(&value(a))).then(below(b).cmp(&below(a)))
    }

    /// Who goes up first is greatest: the one furthest below its request, within its tenant's share, of
    /// value.
    fn goes_up(&self, a: &Asker, b: &Asker) -> Ordering {
        let value = |it: &Asker| self.terms.packages[it.package.0].value;
        let low = below(a).cmp(&below(b)).then(b.over_share.cmp(&a.over_share));
        low.then(value(a).total_cmp(&value(b)))
    }

    /// The design's split: those who go down first move a rung, one at a time, until the bound holds.
    fn split(&self, askers: &mut [Asker], capacity: f64) {
        for asker in askers.iter_mut() {
            asker.rung = asker.best;
        }
        while self.bound(askers) > capacity {
            let movable = askers.iter_mut().filter(|it| it.rung > self.terms.packages[it.package.0].floor);
            match movable.max_by(|a, b| self.goes_down(a, b)) {
                Some(asker) => asker.rung.0 -= 1,
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
        let lowest = |here: &dyn Fn(&ServerId, &Server) -> bool| -> f64 {
            let all = self.terms.packages.iter().enumerate().map(|(ix, package)| {
                let package_ix = PackageIx(ix);
                let held = self.servers.iter().filter(|(id, it)| here(id, it));
                let held: f64 = held.filter_map(|(_, it)| it.counts.get(&package_ix)).sum();
                let n = if viewing.wish.package == package_ix { held + 1.0 } else { held };
                self.rate(package_ix, package.floor) * (n + PHI * n.sqrt())
            });
            all.sum()
        };
        let link = lowest(&|id, _| id == server);
        let uplink = lowest(&|_, it| self.rack(it) == rack);
        if viewing.over_share {
            // Past its share a viewing takes only what is free: none of the others steps down for it.
            let mut held: Vec<Asker> = self.askers(server).into_iter().map(|it| it.1).collect();
            held.push(Asker { rung: self.package(viewing).floor, ..self.asker(viewing) });
            if self.bound(&held) > self.capacity(server, UP_FILL) {
                return false;
            }
        }
        let told = &self.servers[server];
        let ever = |told: f64, seen: Seen| told * self.part(seen.own_kb, seen.asked * told);
        let link_ever = ever(self.link_kb(told), self.link_seen(told));
        let uplink_ever = ever(self.terms.uplink_kb, self.uplink_seen(rack));
        link <= self.link_claim(server, DOWN_FILL).max(link_ever)
            && uplink <= self.uplink_claim(rack, DOWN_FILL).max(uplink_ever)
    }

    fn rack(&self, server: &Server) -> Rack {
        Rack(server.entry.cell.0 % self.terms.racks.max(1))
    }

    fn link_kb(&self, server: &Server) -> f64 {
        server.entry.weight * self.terms.link_unit_kb
    }

    fn own_in(&self, rack: Rack) -> f64 {
        self.servers.values().filter(|it| self.rack(it) == rack).map(|it| it.own_kb).sum()
    }

    /// What this manager may use of a link: the told capacity less others' use. Free room is shared among the
    /// managers, who all see the same note; what is missing is given up by each in proportion.
    fn claim(&self, told: f64, seen: Seen, fill: f64) -> f64 {
        // More of one's own than the whole that is seen: the link is larger than told, or titles run low.
        let capacity = if seen.asked > 0.0 { told.max(seen.own_kb / seen.asked) } else { told };
        let total = seen.asked * capacity;
        let room = capacity * fill - total;
        if room >= 0.0 {
            seen.own_kb + room * self.part(seen.own_kb, total)
        } else {
            seen.own_kb * capacity * fill / total
        }
    }

    /// A manager's part of what is free: an equal one, or nearly all where the others use nearly nothing, as
    /// when a zone is lost with its managers. Squared, so that uneven managers don't all claim more than an
    /// equal part.
    fn part(&self, own_kb: f64, total: f64) -> f64 {
        let equal = 1.0 / self.terms.managers.max(1.0);
        if total > 0.0 {
            (own_kb / total).min(1.0).powi(2).max(equal)
        } else {
            equal
        }
    }

    fn fresh(&self, seen: Option<Seen>) -> Option<Seen> {
        seen.filter(|it| self.now - it.at < self.note_gap() * STALE + self.terms.seen_after)
    }

    /// The last note on a link; without one, the other managers' part is as elsewhere.
    fn link_seen(&self, server: &Server) -> Seen {
        let own_kb = server.own_kb;
        let others = self.common_use * (1.0 - 1.0 / self.terms.managers.max(1.0));
        let asked = others + own_kb / self.link_kb(server).max(1.0);
        self.fresh(server.seen).unwrap_or(Seen { asked, own_kb, at: self.now })
    }

    /// The last note on an uplink. Where none are sent: what the managers count there, each as it last told
    /// or else as much as this one, times what short delivery showed to be missing from that count. One that
    /// told before and stopped is lost.
    fn uplink_seen(&self, rack: Rack) -> Seen {
        let own_kb = self.own_in(rack);
        let told = self.peers.values().filter(|it| self.now - it.at < self.note_gap() * STALE);
        let told: Vec<f64> = told.map(|it| it.kb.get(rack.0 as usize).copied().unwrap_or(0.0)).collect();
        let silent = (self.terms.managers - 1.0 - self.peers.len() as f64).max(0.0);
        let counted = (own_kb * (1.0 + silent) + told.iter().sum::<f64>()) / self.terms.uplink_kb.max(1.0);
        let missing = self.missing.get(&rack).map_or(0.0, |it| {
            let left = (-((self.now - it.1) / (self.note_gap() * TRUST))).exp();
            it.0 * left
        });
        let guess = Seen { asked: counted * (1.0 + missing), own_kb, at: self.now };
        self.fresh(self.uplinks.get(&rack).copied()).unwrap_or(guess)
    }

    fn link_claim(&self, server: &ServerId, fill: f64) -> f64 {
        let it = &self.servers[server];
        self.claim(self.link_kb(it), self.link_seen(it), fill)
    }

    fn uplink_claim(&self, rack: Rack, fill: f64) -> f64 {
        if self.terms.uplink_kb <= 0.0 {
            return f64::INFINITY;
        }
        let fill = if self.terms.uplinks_reported { fill.max(POOLED_FILL) } else { fill - DOUBT };
        let seen = self.uplink_seen(rack);
        let fill = if seen.asked > SHORT { fill.min(SHORT) } else { fill };
        self.claim(self.terms.uplink_kb, seen, fill)
    }

    /// The lesser of the link and the server's share of its rack's uplink.
    fn capacity(&self, server: &ServerId, fill: f64) -> f64 {
        let it = &self.servers[server];
        let rack = self.rack(it);
        let (claim, own) = (self.uplink_claim(rack, fill), self.own_in(rack));
        let share = if claim >= own { it.own_kb + claim - own } else { it.own_kb * claim / own };
        self.link_claim(server, fill).min(share)
    }

    fn link_used(&self, server: &Server) -> f64 {
        let seen = self.link_seen(server);
        seen.asked + (server.own_kb - seen.own_kb) / self.link_kb(server).max(1.0)
    }

    /// Part of a holder's link or uplink that is asked, whichever is fuller.
    fn used(&self, server: &ServerId) -> f64 {
        let it = &self.servers[server];
        let rack = self.rack(it);
        let seen = self.uplink_seen(rack);
        let uplink = seen.asked + (self.own_in(rack) - seen.own_kb) / self.terms.uplink_kb.max(1.0);
        let crossing = if it.entry.zone == self.terms.zone { 0.0 } else { self.terms.cross_price };
        self.link_used(it).max(uplink) + crossing * CROSS_HANDICAP
    }

    // What is told of links and uplinks.

    fn note_link(&mut self, server: &ServerId, asked: f64, at: Ms) {
        if let Some(server) = self.servers.get_mut(server) {
            if server.seen.is_none_or(|it| it.at <= at) {
                server.seen = Some(Seen { asked, own_kb: server.own_at(at), at });
            }
        }
        let known: Vec<f64> =
            self.servers.values().filter_map(|it| self.fresh(it.seen)).map(|it| it.asked).collect();
        if !known.is_empty() {
            self.common_use = (known.iter().sum::<f64>() / known.len() as f64).min(FILL);
        }
    }

    fn note_uplink(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(rack) = self.servers.get(server).map(|it| self.rack(it)) else {
            return;
        };
        let there = self.servers.values().filter(|it| self.rack(it) == rack);
        let own_kb: f64 = there.map(|it| it.own_at(at)).sum();
        if !self.terms.uplinks_reported {
            let before = self.missing.remove(&rack).map_or(f64::MAX, |it| it.0);
            // What was counted then; the others are taken to have changed as this one has since.
            let counted = self.uplink_seen(rack).asked * (own_kb / self.own_in(rack).max(1.0)).max(1.0);
            let missing = (asked / counted.max(1e-6) - 1.0).max(0.0);
            self.missing.insert(rack, (if asked > 1.0 { missing } else { missing.min(before) }, self.now));
            return;
        }
        if self.uplinks.get(&rack).is_none_or(|it| it.at <= at) {
            self.uplinks.insert(rack, Seen { asked, own_kb, at });
        }
    }

    /// Short delivery at one server is its link's; at several of a rack it is the uplink's, which gives no
    /// less than the best of them gets.
    fn note_delivered(&mut self, server: &ServerId, share: f64, at: Ms) {
        let (now, asked) = (self.now, 1.0 / share.max(0.05));
        let Some(it) = self.servers.get_mut(server) else {
            return;
        };
        it.delivered = (share, at);
        let rack = self.rack(&self.servers[server]);
        if share >= 0.98 {
            if self.missing.contains_key(&rack) {
                self.note_uplink(server, 1.0, at);
            }
            return;
        }
        let short = |it: &&Server| {
            let unexplained = it.link_note * it.delivered.0 < EXPLAINED;
            now - it.delivered.1 < self.terms.seen_after * 3.0 && it.delivered.0 < 0.98 && unexplained
        };
        let there = self.servers.values().filter(|it| self.rack(it) == rack && !it.held.is_empty());
        let there: Vec<&Server> = there.collect();
        let most = (there.len() as f64 * MOST).max(2.0);
        let short: Vec<f64> = there.into_iter().filter(short).map(|it| it.delivered.0).collect();
        let best = short.iter().fold(0.0, |best: f64, share| best.max(*share));
        let common = short.len() as f64 >= most;
        if common {
            self.note_uplink(server, 1.0 / best, at);
        }
        if share < best * 0.95 || !common {
            self.note_link(server, asked, at);
        }
    }

    /// Reports in answers are rougher than notes and stand in only where those are old.
    fn note_load(&mut self, server: &ServerId, load: Load) {
        let old = |seen: Option<Seen>| seen.is_none_or(|it| self.now - it.at > self.terms.reports_every);
        let Some(it) = self.servers.get(server) else {
            return;
        };
        let uplink_old = old(self.uplinks.get(&self.rack(it)).copied());
        if let Some(asked) = load.link_uncapped.or(load.link).filter(|_| old(it.seen)) {
            self.note_link(server, asked, self.now - self.terms.seen_after);
        }
        if let Some(asked) = load.uplink.filter(|_| uplink_old) {
            self.note_uplink(server, asked, self.now - self.terms.seen_after);
        }
    }
}

fn never_ran(viewing: &Viewing) -> bool {
    !viewing.tune_ins.iter().any(may_have_run)
}

fn below(asker: &Asker) -> usize {
    asker.best.0.saturating_sub(asker.rung.0)
}

fn may_have_run(tune_in: &TuneIn) -> bool {
    !matches!(tune_in.outcome, Some(Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent))
}

/// It answers: if it had failed it may have restarted, at the latest just now.
fn well(server: &mut Server, now: Ms, terms: &Terms) {
    if server.failures > 0 {
        server.failures = 0;
        server.cold_until = server.cold_until.max(now + terms.cold.lasts);
    }
    server.shunned_until = Ms::LONG_AGO;
}

#[cfg(test)]
mod tests;
