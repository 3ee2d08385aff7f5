//! All decisions of ottersail. The adapter calls one method of [`Brain`] for each input; it notes what was
//! told and then goes through `RULES` in order, again from the top, until none fires. What is decided goes
//! out through `Answers` (src/answers.rs); the shapes are in src/state.rs, the start-up terms in
//! src/terms.rs. docs/design.md says where each rule comes from, docs/on-call.md what is seen in trouble.

use crate::answers::Answers;
use crate::census::{moved, Asker, Counted, Past, RecentMean};
use crate::chance::Chance;
use crate::ids::{
    name_sum, BellTag, Cell, PackageIx, Rack, Rung, ServerId, TenantIx, TitleId, TuneInNo, ViewingId,
};
use crate::state::{
    added, Availability, Entry, ListMode, Load, Outcome, Own, Phase, Seen, Server, Topic, TuneIn, Uplink,
    Viewing, Wish,
};
use crate::terms::{Group, Repeat, Terms};
use crate::time::{DecayingSum, Ms};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Normal point of the root margin, for held counts.
const PHI: f64 = 0.1;
/// The same for the steps up of all managers after one note, which are drawn apart.
const DRAWN_PHI: f64 = 1.645;
/// Parts of a link or uplink that may be asked: by new viewings, before playing ones step down, after that,
/// and after a step up. Their distance keeps playing viewings from paying for each swing of the true rates.
const FILL: f64 = 0.92;
const DOWN_FILL: f64 = 1.04;
const EASED: f64 = 1.0;
const UP_FILL: f64 = 0.85;
/// A newcomer is taken while what all could go down to, with it, asks no more than this part.
const ROOM: f64 = 0.65;
/// An uplink asked for more than this is brought down.
const SHORT: f64 = 1.04;
/// Short delivery is explained by a link that was asked for this much of what would cause it.
const EXPLAINED: f64 = 0.92;
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
const TRUST: f64 = 20.0;
/// A tune-in that another can follow waits for this part of the join target.
const FIRST_WAIT: f64 = 0.35;
/// Use that a holder in another zone must be better by, for each point of the price of crossing.
const CROSS_HANDICAP: f64 = 2.0;
/// Each server is weighed, and each held viewing looked at, once in this part of the shortest join target.
const BEAT: f64 = 0.1;
/// A server that turned a set-up away is left out for this part of the time between notes.
const AWAY: f64 = 0.5;
/// Where load is told to probes only: a report counts as known for so many times the lateness of notes, and a
/// new viewing waits for it for this part of its join target.
const PROBE_GAP: f64 = 14.0;
const PROBE_WAIT: f64 = 0.2;
/// Reports on probes are noisy, and the lowest of many is acted on: a step up must fit this part.
const PROBED_FILL: f64 = 0.65;
/// After a step up there may be room for another: it is probed again after so many times that lateness.
const PROBE_AGAIN: f64 = 1.5;
/// How old such a report is, over the lateness of notes.
const REPORT_AGE: f64 = 0.5;
/// What had started before this manager did is listed within so many windows of the rule on cold servers.
const LIST_LAG: f64 = 2.0;
/// What this manager holds tells how others' part grows: with so many more that stay, up to so many times.
const ALIKE: f64 = 4.0;
const GROWN: f64 = 2.0;

type Rule = fn(&mut Brain, &mut dyn Answers) -> bool;

/// Each is a condition and an effect; it tells whether it fired.
const RULES: [Rule; 5] = [Brain::give_up, Brain::tune_in, Brain::hold, Brain::step, Brain::keep_awake];

pub struct Brain {
    terms: Terms,
    now: Ms,
    chance: Chance,
    /// Until then any server may be cold: the list at start may be old.
    unsure_until: Ms,
    servers: BTreeMap<ServerId, Server>,
    cells: BTreeMap<Cell, BTreeSet<ServerId>>,
    /// Servers where this manager holds a viewing or sets one up, by when they are weighed.
    held_at: BTreeSet<(Ms, ServerId)>,
    uplinks: BTreeMap<Rack, Uplink>,
    own: Own,
    past: Past,
    /// Since when what this manager holds tells of what others do.
    whole_since: Ms,
    /// What all that is held would ask at its floors.
    least_kb: f64,
    /// What is asked, each part times what it spares.
    spared_all: f64,
    viewings: BTreeMap<ViewingId, Viewing>,
    /// Viewings without a tune-in out, by when they are looked at again.
    waiting: BTreeSet<(Ms, ViewingId)>,
    arrivals: Vec<DecayingSum>,
    taken: VecDeque<Ms>,
    further: VecDeque<Ms>,
    /// Viewings held or set up, by title and package.
    seated: BTreeMap<(TitleId, PackageIx), usize>,
    /// What was lately noted of links and of uplinks, of servers where a viewing is held.
    links: RecentMean<ServerId>,
    shared: RecentMean<Rack>,
    bell_at: Option<Ms>,
    /// Mean parts of links and of uplinks that are asked, where they are known.
    usual_link: f64,
    usual_uplink: f64,
    /// Of a server that is up: where no weights are told, places stand in for them.
    mean_places: f64,
}

impl Brain {
    pub fn born(now: Ms, seed: u64, terms: Terms, out: &mut dyn Answers) -> Brain {
        if terms.must_subscribe {
            out.subscribe();
        }
        Brain {
            now,
            chance: Chance(seed | 1),
            unsure_until: now + terms.cold.lasts.min(terms.cold.fall_window * LIST_LAG),
            servers: BTreeMap::new(),
            cells: BTreeMap::new(),
            held_at: BTreeSet::new(),
            uplinks: BTreeMap::new(),
            own: (0.0, 0.0),
            past: Past::default(),
            whole_since: now + terms.reports_every,
            least_kb: 0.0,
            spared_all: 0.0,
            viewings: BTreeMap::new(),
            waiting: BTreeSet::new(),
            arrivals: vec![DecayingSum::default(); terms.tenants.len()],
            taken: VecDeque::new(),
            further: VecDeque::new(),
            seated: BTreeMap::new(),
            links: RecentMean::default(),
            shared: RecentMean::default(),
            bell_at: None,
            usual_link: FILL,
            usual_uplink: FILL,
            mean_places: 1.0,
            terms,
        }
    }

    // Inputs.

    pub fn members(&mut self, now: Ms, mode: ListMode, entries: &[Entry], out: &mut dyn Answers) {
        self.now = now;
        match mode {
            ListMode::Failed if self.terms.must_subscribe => out.subscribe(),
            ListMode::Full | ListMode::Saved => {
                self.servers.values_mut().for_each(|it| it.entry.availability = Availability::Gone);
            }
            _ => {}
        }
        for entry in entries {
            self.list(entry);
        }
        self.count_places();
        self.settle(out);
    }

    pub fn preexisting(&mut self, now: Ms, wish: Wish, server: ServerId, out: &mut dyn Answers) {
        self.now = now;
        // A manager that takes viewings over did not restart: what it was told of starts is whole.
        (self.unsure_until, self.whole_since, self.past.apart) = (now, now, true);
        let tune_in = TuneIn { server, sent: now, outcome: None };
        let vw = wish.vw.clone();
        self.take(wish, Phase::Playing, vec![tune_in]);
        self.past.apart = false;
        self.amend(&vw, |it| it.started = now);
        self.settle(out);
    }

    pub fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        self.now = now;
        let span = self.terms.budget.map_or(Ms(0.0), |it| it.span + self.terms.tick);
        for times in [&mut self.taken, &mut self.further] {
            times.drain(..times.partition_point(|at| now - *at > span));
        }
        self.taken.push_back(now);
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
        self.past.apart = last && outcome == Outcome::ConnectionLost;
        self.amend(vw, |it| {
            if let Some(tune_in) = it.tune_ins.get_mut(no.0) {
                tune_in.outcome = Some(outcome);
            }
            it.look_at = now;
            it.phase = if last || it.phase == Phase::Over { Phase::Over } else { Phase::Waiting };
        });
        self.past.apart = false;
        self.note_load(server, load, now - self.terms.seen_after);
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
            Topic::RungInForce => {}
            // The share delivered is smoothed, and shows a change that much later.
            Topic::ShareDelivered => self.draw_lot(server, at, self.terms.seen_after),
            Topic::LinkAsked | Topic::UplinkAsked => self.draw_lot(server, at, Ms(0.0)),
        }
        match topic {
            Topic::RungInForce => self.amend(vw, |it| it.rung = Rung(value.max(0.0) as usize)),
            Topic::ShareDelivered => self.note_delivered(server, value, at),
            Topic::LinkAsked => {
                self.note_on_link(server, value, at);
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
        if let Some(it) = self.servers.get_mut(server) {
            it.probe_out = false;
        }
        // A server that loses the answers of tune-ins may still answer probes: only a failed one tells.
        if outcome == Outcome::Served {
            let at = now - self.terms.seen_after * REPORT_AGE;
            let load = self.not_short(server, load);
            let asked = load.link_uncapped.or(load.link);
            asked.into_iter().for_each(|x| self.note_on_link(server, x, at));
            self.note_load(server, load, at);
            self.draw_lot(server, at, Ms(0.0));
        } else if outcome != Outcome::TurnedAway {
            self.judge(server, outcome);
        }
        let heard = |it: &&(Ms, ViewingId)| {
            let picks = &self.viewings[&it.1].picks;
            picks.contains(server) && !picks.iter().any(|id| self.servers[id].probe_out)
        };
        for (_, vw) in self.waiting.iter().filter(heard).cloned().collect::<Vec<_>>() {
            self.amend(&vw, |it| it.look_at = now);
        }
        self.settle(out);
    }

    fn settle(&mut self, out: &mut dyn Answers) {
        while RULES.iter().any(|rule| rule(self, out)) {}
    }

    // Rules.

    /// Rule 1: what has nothing out when its patience ends, can't be tuned in any more, finds no room or has
    /// waited in vain for its join target, gets its answer at once.
    fn give_up(&mut self, out: &mut dyn Answers) -> bool {
        let vw = self.waiting_now().filter(|vw| {
            let it = &self.viewings[vw];
            let late = self.now - it.taken >= self.package(it).join_target;
            let over = self.now >= it.wish.due || !self.may_tune_in(it);
            over || (self.eligible(it).is_empty() && (late || !self.may_hope(it)))
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
        let mut viewing = self.viewings[&vw].clone();
        if holders.iter().any(|id| self.gathers(&viewing, id)) {
            holders.retain(|id| self.gathers(&viewing, id));
        }
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
        let less = |a: &&ServerId, b: &&ServerId| self.used(a).total_cmp(&self.used(b));
        let Some(server) = viewing.picks.iter().min_by(less).cloned() else {
            return false;
        };
        let rung = self.draw(&viewing, &server);
        if viewing.rung != rung {
            out.step_to(&vw, rung);
        }
        out.relay(&vw, &server, self.time_out(&viewing, others));
        let now = self.now;
        if !viewing.tune_ins.is_empty() {
            self.further.push_back(now);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.retain(|at| now - *at <= self.terms.cold.fall_window);
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

    /// Most holders a manager has not heard of lately: they are drawn by what they can give.
    fn draw_holder(&mut self, holders: &[ServerId]) -> usize {
        let told = |id| if self.terms.reports_on_probe { 1.0 } else { self.link_kb(&self.servers[id]) };
        let gives: Vec<f64> = holders.iter().map(told).collect();
        let mut left = self.chance.part() * gives.iter().sum::<f64>();
        let drawn = gives.iter().position(|it| {
            left -= it;
            left < 0.0
        });
        drawn.unwrap_or(0)
    }

    /// Where load is told to probes only, what is not known of the two picks is asked first, not for long.
    fn inquire(&mut self, viewing: &Viewing, out: &mut dyn Answers) -> bool {
        let wait = self.now + self.package(viewing).join_target * PROBE_WAIT;
        let known = viewing.picks.iter().filter(|id| !self.probe(id, self.note_gap(), out)).count();
        if known == viewing.picks.len() || wait >= viewing.wish.due {
            return false;
        }
        self.amend(&viewing.wish.vw, |it| (it.look_at, it.picks) = (wait, viewing.picks.clone()));
        true
    }

    /// Asks a server for its load, once in a gap; true while the report is out.
    fn probe(&mut self, id: &ServerId, gap: Ms, out: &mut dyn Answers) -> bool {
        let (now, asks) = (self.now, self.terms.reports_on_probe);
        let may = |it: &&mut Server| asks && it.entry.availability == Availability::Up;
        let Some(it) = self.servers.get_mut(id).filter(may) else {
            return false;
        };
        if !it.probe_out && now - it.probed_at >= gap {
            (it.probe_out, it.probed_at) = (true, now);
            out.inspect(id);
        }
        it.probe_out
    }

    /// All holders are shunned, paced or without a seat: look again after a beat.
    fn hold(&mut self, _out: &mut dyn Answers) -> bool {
        let next = self.now + self.beat();
        self.waiting_now().is_some_and(|vw| {
            self.amend(&vw, |it| it.look_at = next.min(it.wish.due));
            true
        })
    }

    /// Each server is weighed once a beat. While the bound is broken, its top-rung viewing steps down; once a
    /// step fits for a settled spell, the one furthest below its request steps up. A step of which only a
    /// part is this manager's is made with that chance: one lot is drawn for each note, so that all managers
    /// together change by what the note asks.
    fn step(&mut self, out: &mut dyn Answers) -> bool {
        let due = self.held_at.iter().take_while(|it| it.0 <= self.now).map(|it| &it.1);
        let Some(id) = due.min().cloned() else {
            return false;
        };
        let (now, next) = (self.now, self.now + self.beat());
        let asks = self.terms.reports_on_probe;
        let silence = self.note_gap() * if asks { 1.0 } else { STALE };
        let (before, next_probe) = (&self.servers[&id], self.servers[&id].next_probe);
        if asks && next_probe <= now {
            // Those who are handed viewings at the same moment must not ask, and act, in step.
            let first = next_probe == Ms::LONG_AGO;
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
        let own_asks = self.bound(&held);
        // A step into what is free may outgrow a part: nobody steps down for it while the whole holds.
        let over = own_asks - it.own.0 > self.free_kb(&id, DOWN_FILL);
        let broken = over && own_asks > self.capacity(&id, DOWN_FILL);
        let settled = now - it.unsettled_at >= self.note_gap() * SETTLED + self.terms.change_cost * PAID_BACK;
        // Alone at a server a manager can't see whose step there costs least worth: its other viewings tell.
        let leans = |it: &Asker| self.spared(it) * self.own.0 / self.spared_all;
        let changed = if broken {
            let may = |it: &(Asker, &ViewingId)| it.0.rung > self.terms.packages[it.0.package.0].floor;
            let top = it.census.playing().filter(may);
            let top = top.max_by(|a, b| self.goes_down(&a.0, &b.0).then(a.1.cmp(b.1)));
            let short = own_asks - self.capacity(&id, EASED);
            let part = |it: &(Asker, &ViewingId)| {
                let less = self.bound(&moved(&held, it.0, 1.0, it.0.rung.0 - 1));
                short * leans(&it.0) >= lot * (own_asks - less)
            };
            top.filter(part).map(|(asker, vw)| (vw.clone(), asker.rung.0 - 1))
        } else if settled {
            let low = it.census.playing().filter(|it| it.0.rung < it.0.best && self.pays_back(it));
            let low = low.max_by(|a, b| self.goes_up(&a.0, &b.0).then(a.1.cmp(b.1)));
            let free = self.free_kb(&id, if asks { PROBED_FILL } else { UP_FILL });
            let room =
                if asks { free / self.seen_together(&id) } else { self.capacity(&id, UP_FILL) - own_asks };
            let part = |it: &(Asker, &ViewingId)| {
                let step = self.bound(&moved(&held, it.0, 1.0, it.0.rung.0 + 1)) - own_asks;
                let root = ((DRAWN_PHI * DRAWN_PHI + 4.0 * free / step).max(0.0).sqrt() - DRAWN_PHI) / 2.0;
                free >= step && room * (root * root * step / free) >= lot * step * leans(&it.0)
            };
            low.filter(part).map(|(asker, vw)| (vw.clone(), asker.rung.0 + 1))
        } else {
            None
        };
        let raised = changed.is_some() && !broken;
        let again =
            self.terms.seen_after * PROBE_AGAIN * if asks && raised { self.chance.part() + 0.5 } else { 0.0 };
        if let Some(it) = self.servers.get_mut(&id) {
            it.unsettled_at = if broken { now } else { it.unsettled_at };
            it.next_probe = if raised { it.next_probe.min(now + again) } else { it.next_probe };
        }
        let at = match changed {
            Some(_) if broken => next,
            Some(_) => now + (self.terms.reports_every * UP_PACE).max(self.beat()),
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

    fn keep_awake(&mut self, out: &mut dyn Answers) -> bool {
        if self.viewings.is_empty() || self.bell_at.is_some_and(|at| self.now < at) {
            return false;
        }
        let at = self.now + self.beat();
        out.schedule(BellTag(0), *self.bell_at.insert(at));
        true
    }

    // Conditions and effects that the rules share.

    fn list(&mut self, entry: &Entry) {
        let cold_until = entry.started.map_or(Ms::LONG_AGO, |start| start + self.terms.cold.lasts);
        let server = self.servers.entry(entry.server.clone());
        let server = server.or_insert_with(|| Server::new(entry.clone(), cold_until));
        if server.entry.started < entry.started {
            server.cold_until = server.cold_until.max(cold_until);
            server.shunned_until = Ms::LONG_AGO;
            server.seen = None;
            self.links.forget(&entry.server);
        }
        let before = std::mem::replace(&mut server.entry, entry.clone());
        self.register(entry, &before);
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

    /// Time between two notes on a server, where any come; else between two probes.
    fn note_gap(&self) -> Ms {
        if self.terms.reports_on_probe {
            return (self.terms.seen_after * PROBE_GAP).max(self.join_target());
        }
        self.terms.reports_every.max(self.terms.seen_after).max(self.beat())
    }

    fn beat(&self) -> Ms {
        (self.join_target() * BEAT).max(self.terms.tick).max(Ms(1.0))
    }

    /// The final answer: blocked where that is harmless, else aborted.
    fn finish(&mut self, vw: &ViewingId, out: &mut dyn Answers) -> bool {
        let viewing = &self.viewings[vw];
        let harmless = match self.package(viewing).repeat {
            Repeat::Idempotent | Repeat::Deduplicated { group: Group::All, .. } => true,
            _ => viewing.never_ran(),
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
        let safe = self.package(viewing).repeat != Repeat::AtMostOnce || viewing.never_ran();
        safe && self.budget_left() && count < self.terms.max_tune_ins
    }

    fn budget_left(&self) -> bool {
        self.terms.budget.is_none_or(|budget| {
            // What lies on a window's edge counts against it: no clock tells on which side.
            let recent = |times: &VecDeque<Ms>, span: Ms| {
                (times.len() - times.partition_point(|at| self.now - *at >= span)) as f64
            };
            let (tick, span) = (self.terms.tick, budget.span);
            let taken = recent(&self.taken, span - tick);
            recent(&self.further, span + tick) + 1.0 <= budget.free + budget.ratio * taken
        })
    }

    /// A holder that is only shunned or paced may be had again soon; one without room refuses.
    fn may_hope(&self, viewing: &Viewing) -> bool {
        self.seat_free(viewing) && self.holders(&viewing.wish).any(|it| self.has_room(viewing, it))
    }

    /// The servers that hold the title and are up.
    fn holders<'a>(&'a self, wish: &'a Wish) -> impl Iterator<Item = &'a Server> + 'a {
        let cells = (0..wish.copies.min(self.terms.cells.max(1))).map(|j| self.cell(wish.base + j));
        let all = cells.flat_map(|cell| self.cells.get(&cell)).flatten();
        all.map(|id| &self.servers[id]).filter(|it| it.entry.availability == Availability::Up)
    }

    /// Rule 5: seats, set-ups included; and no rung is both the floor's and one that the viewer can use.
    fn seat_free(&self, viewing: &Viewing) -> bool {
        let seats = self.package(viewing).seats;
        if viewing.wish.best < self.package(viewing).floor {
            return false;
        }
        let of = (viewing.wish.title.clone(), viewing.wish.package);
        seats == 0 || self.seated.get(&of).is_none_or(|it| *it < seats)
    }

    /// Holders that may get this viewing now; those not tried yet, where there are any.
    fn eligible(&self, viewing: &Viewing) -> Vec<ServerId> {
        if !self.seat_free(viewing) {
            return Vec::new();
        }
        let fits = |it: &&Server| {
            self.now >= it.shunned_until
                && self.pace_allows(it)
                && self.same_group(viewing, it)
                && self.has_room(viewing, it)
        };
        let all = self.holders(&viewing.wish).filter(fits).map(|it| it.entry.server.clone());
        let all: Vec<ServerId> = all.collect();
        let fresh = |id: &&ServerId| !viewing.tune_ins.iter().any(|it| it.server == **id);
        let untried: Vec<ServerId> = all.iter().filter(fresh).cloned().collect();
        if untried.is_empty() {
            all
        } else {
            untried
        }
    }

    /// Viewers of a live title at one server share a stream, so each server gathers one of the live titles
    /// that this manager holds; all managers see the same names, and so scatter them less without a word.
    fn gathers(&self, viewing: &Viewing, server: &ServerId) -> bool {
        let live = |package: PackageIx| self.terms.join < 1.0 && self.terms.packages[package.0].live;
        if !live(viewing.wish.package) {
            return true;
        }
        let rank = |title: &TitleId| name_sum(&format!("{title}{server}"));
        let mine = rank(&viewing.wish.title);
        self.seated.keys().filter(|it| live(it.1)).all(|it| rank(&it.0) <= mine)
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

    /// Rule 4: this manager's part of what a cold server takes in any window. Where that is under one, as
    /// many managers as half a window bears have a turn together, a window long: any window touches two.
    fn pace_allows(&self, server: &Server) -> bool {
        let (cold, managers) = (&self.terms.cold, self.terms.managers.max(1.0));
        let sure = server.failures == 0 && self.now >= self.unsure_until;
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
        let length = cold.fall_window * if all >= 2.0 { 1.0 } else { 2.0 };
        let turn = (self.now / length).floor();
        let early = all >= 2.0 || self.now - length * turn < cold.fall_window;
        let together = (all / 2.0).floor().max(1.0);
        let shift = name_sum(&server.entry.server.to_string());
        let whose = (turn + shift as f64).rem_euclid((managers / together).ceil());
        let my_turn = whose == (self.terms.me.0 as f64 / together).floor();
        my_turn && early && since(length * turn - Ms(1e-6)) < 1.0
    }

    fn time_out(&self, viewing: &Viewing, others: bool) -> Ms {
        let left = viewing.wish.due - self.now;
        let again = viewing.tune_ins.len() + 1 < self.terms.max_tune_ins && others && self.budget_left();
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
                    let spell = join * 2f64.powi(server.failures.min(8) as i32 - 1);
                    server.shunned_until = self.now + spell.min(self.terms.cold.lasts);
                }
            }
            Outcome::ServerError | Outcome::CalledOff | Outcome::NotSent => {}
        }
    }

    // The split, its bound and the capacity it is held to.

    /// What a viewing asks over the ladder's rate. A live one is taken as a further one on its stream: the
    /// stream itself, whoever began it, shows in what others ask.
    fn size(&self, package: PackageIx) -> f64 {
        let package = &self.terms.packages[package.0];
        package.scale * if package.live { self.terms.join } else { 1.0 }
    }

    fn link_kb(&self, server: &Server) -> f64 {
        let places = |kind| self.terms.places.get(kind).copied().unwrap_or(1.0);
        let size = if self.terms.weights_told { 1.0 } else { places(&server.entry.kind) / self.mean_places };
        server.entry.weight * size * self.terms.link_unit_kb
    }

    /// Worth of the step between a rung and the one under it, for each kB a second that it takes; where worth
    /// is not told, as if a rung earned the same for any rate.
    fn earns(&self, package: PackageIx, upper: usize) -> f64 {
        let worth = |rung: usize| self.terms.worth.get(rung).copied();
        let value = self.terms.packages[package.0].value;
        let (high, low) =
            (self.rate(package, Rung(upper)), self.rate(package, Rung(upper.saturating_sub(1))));
        match (worth(upper), worth(upper.saturating_sub(1))) {
            (Some(more), Some(less)) => value * (more - less) / (high - low).max(1e-9),
            _ => value / high.max(1e-9),
        }
    }

    /// Summed over rungs: rate x (count + phi x root of count).
    fn bound(&self, askers: &[Counted]) -> f64 {
        let mut counts: BTreeMap<(PackageIx, Rung), f64> = BTreeMap::new();
        for (asker, n) in askers {
            *counts.entry((asker.package, asker.rung)).or_default() += n;
        }
        counts.iter().map(|((package, rung), n)| self.rate(*package, *rung) * (n + PHI * n.sqrt())).sum()
    }

    /// False for a viewing that, by its hint, ends before a step up has earned twice what a change costs.
    fn pays_back(&self, (asker, vw): &(Asker, &ViewingId)) -> bool {
        let it = &self.viewings[*vw];
        let worth = |rung: usize| self.terms.worth.get(rung).copied().unwrap_or(rung as f64);
        let gain = worth(asker.rung.0 + 1) - worth(asker.rung.0);
        let needs = self.terms.change_cost * (2.0 / gain.max(1e-3));
        it.wish.lasts.is_none_or(|lasts| it.started + lasts - self.now >= needs)
    }

    /// Rate that a step down from here frees for each worth lost.
    fn spared(&self, asker: &Asker) -> f64 {
        1.0 / self.earns(asker.package, asker.rung.0.max(1)).max(1e-12)
    }

    /// Who goes down first is greatest: the one over its tenant's share, then the one whose step costs least
    /// worth for the rate that it frees. In one package, whose ladder earns less the higher it goes, that is
    /// the top rung.
    fn goes_down(&self, a: &Asker, b: &Asker) -> Ordering {
        let costs = |it: &Asker| self.earns(it.package, it.rung.0);
        let first = a.over_share.cmp(&b.over_share).then(costs(b).total_cmp(&costs(a)));
        first.then(b.below().cmp(&a.below()))
    }

    /// Who goes up first is greatest: the one furthest below its request, within its tenant's share, whose
    /// step earns most for the rate that it takes.
    fn goes_up(&self, a: &Asker, b: &Asker) -> Ordering {
        let earns = |it: &Asker| self.earns(it.package, it.rung.0 + 1);
        let low = a.below().cmp(&b.below()).then(b.over_share.cmp(&a.over_share));
        low.then(earns(a).total_cmp(&earns(b)))
    }

    /// The design's split: those who go down first move a rung, one at a time, until the bound holds; those
    /// alike at once, since the bound over their number is concave: once it holds, it holds for more of them.
    /// The last one moves only if what is still over is more than the lot's part of its step.
    fn split(&self, askers: &[Counted], capacity: f64, lot: f64) -> Vec<Counted> {
        let mut split: Vec<Counted> = Vec::new();
        for (asker, n) in askers {
            let asker = Asker { rung: asker.best, ..*asker };
            match split.iter_mut().find(|it| it.0 == asker) {
                Some(same) => same.1 += n,
                None => split.push((asker, *n)),
            }
        }
        while self.bound(&split) > capacity {
            let movable = split.iter().filter(|it| it.0.rung > self.terms.packages[it.0.package.0].floor);
            let Some((asker, n)) = movable.max_by(|a, b| self.goes_down(&a.0, &b.0)).copied() else {
                return split;
            };
            let after = |count: f64| self.bound(&moved(&split, asker, count, asker.rung.0 - 1));
            let (mut breaks, mut holds) = (0.0, n);
            while after(n) <= capacity && holds - breaks > 1.0 {
                let middle = ((breaks + holds) / 2.0_f64).floor();
                *(if after(middle) > capacity { &mut breaks } else { &mut holds }) = middle;
            }
            let (asks, less) = (after(holds - 1.0), after(holds));
            let last = less <= capacity && asks - capacity < lot * (asks - less);
            split = moved(&split, asker, if last { holds - 1.0 } else { holds }, asker.rung.0 - 1);
            if last {
                return split;
            }
        }
        split
    }

    /// A new viewing's rung, drawn by the shares of those who ask for the same at the server.
    fn draw(&mut self, viewing: &Viewing, server: &ServerId) -> Rung {
        let mine = self.asker(viewing);
        let it = &self.servers[server];
        let mut askers = it.census.counts();
        askers.push((mine, 1.0));
        let size = self.size(viewing.wish.package);
        let (uplink, n) = (self.uplink_of(it), it.own.1 + size);
        let link = self.claim(self.link_kb(it), self.link_seen(it), n, FILL);
        let all = uplink.own.1 + size;
        let part = link.min(self.uplink_claim(self.uplink_seen(uplink), all, FILL) * n / all);
        // In a crowd others do not step down in time: a newcomer asks for no more than is free now.
        let capacity = part.min(it.own.0 + self.free_kb(server, EASED).max(0.0));
        let lot = self.chance.part();
        let split = self.split(&askers, capacity, lot);
        let same = |it: &&Counted| {
            (it.0.package, it.0.best, it.0.over_share) == (mine.package, mine.best, mine.over_share)
        };
        let count: f64 = split.iter().filter(same).map(|it| it.1).sum();
        let mut drawn = self.chance.below(count as usize) as f64;
        let rung = split.iter().filter(same).find(|it| {
            drawn -= it.1;
            drawn < 0.0
        });
        rung.map_or(mine.best, |it| it.0.rung)
    }

    /// False if even the lowest rung for all who are there breaks a bound. How far others can go down is not
    /// seen: the manager's own viewings, wherever they play, stand for them.
    fn has_room(&self, viewing: &Viewing, server: &Server) -> bool {
        let floor = self.package(viewing).floor;
        let lowest = self.rate(viewing.wish.package, floor);
        let kb = self.own.0 + self.middle_kb();
        let least = (self.least_kb + self.plain_rate(floor)) / kb.max(1e-6);
        let fits = |told: f64, seen: Seen, own: Own, free: f64| {
            let (capacity, others) = (capacity_of(told, seen), others_kb(told, seen));
            if viewing.over_share {
                // Past its share a viewing takes only what is free: none of the others steps down for it.
                others + own.0 + lowest <= capacity * free
            } else {
                let n = 1.0 + (others + own.0) * least.min(1.0) / lowest.max(1e-6);
                lowest * (n + PHI * n.sqrt()) <= capacity * ROOM
            }
        };
        let uplink = self.uplink_of(server);
        let rack = (self.terms.uplink_kb, self.uplink_seen(uplink), uplink.own, self.pooled(UP_FILL));
        fits(self.link_kb(server), self.link_seen(server), server.own, UP_FILL)
            && (rack.0 <= 0.0 || fits(rack.0, rack.1, rack.2, rack.3))
    }

    /// Mean rate of the ladder: of this manager's viewings there, else of all it holds and a middle one.
    fn mean_kb(&self, seen: Seen) -> f64 {
        let (kb, n) = if seen.own.1 > 0.0 { seen.own } else { added(self.own, (self.middle_kb(), 1.0)) };
        (kb / n).max(1e-6)
    }

    /// What n of this manager's viewings may ask of a link or uplink: their part of its capacity. The others
    /// are counted by what they ask over the mean rate, whether they belong to one manager or to hundreds.
    fn claim(&self, told: f64, seen: Seen, n: f64, fill: f64) -> f64 {
        let others = others_kb(told, seen) / self.mean_kb(seen);
        capacity_of(told, seen) * fill * n / (n + others).max(1e-6)
    }

    /// An uplink pools the swings of many viewings: where it is reported it may be filled further than a
    /// link, and a shortage of it is sooner more than a swing. One that is not told at all limits nothing.
    fn uplink_claim(&self, seen: Seen, n: f64, fill: f64) -> f64 {
        match self.terms.uplink_kb {
            told if told > 0.0 => self.claim(told, seen, n, self.pooled(fill)),
            _ => f64::INFINITY,
        }
    }

    fn fresh(&self, seen: Option<Seen>) -> Option<Seen> {
        seen.filter(|it| it.at > self.fresh_from())
    }

    /// What was noted after this counts as known.
    fn fresh_from(&self) -> Ms {
        self.now - (self.note_gap() * STALE + self.terms.seen_after)
    }

    /// What was seen, carried on to now: with hundreds of managers nearly all that happens since is others',
    /// and what comes to all of them shows in what this one holds.
    fn carried(&self, told: f64, seen: Seen) -> Seen {
        let few = ALIKE * (self.own.0 + self.middle_kb()) / (self.own.1 + 1.0);
        let before = if seen.at >= self.whole_since { self.past.at(seen.at, self.own).0 } else { self.own.0 };
        let grown = ((self.own.0 + few) / (before + few).max(1e-6)).min(GROWN);
        let others = others_kb(told, seen) / capacity_of(told, seen).max(1e-6);
        Seen { asked: seen.asked + others * (grown - 1.0), ..seen }
    }

    /// The last note on a link; without one, the other managers' part is as elsewhere.
    fn link_seen(&self, server: &Server) -> Seen {
        let known = self.fresh(server.seen).map(|it| self.carried(self.link_kb(server), it));
        known.unwrap_or(self.usually(self.usual_link, self.link_kb(server), server.own))
    }

    /// What was told of an uplink, or shown by short delivery. Only this takes from viewings that play.
    fn uplink_known(&self, uplink: &Uplink) -> Option<Seen> {
        let short = |it: &Seen| self.now - it.at < self.terms.seen_after * 3.0;
        let known = self.fresh(uplink.seen).filter(|it| self.terms.uplinks_reported || short(it));
        known.map(|it| self.carried(self.terms.uplink_kb, it))
    }

    /// Else what is usual; where none is reported, what the links of its rack ask of it, times what short
    /// delivery lately showed to be missing from that.
    fn uplink_seen(&self, uplink: &Uplink) -> Seen {
        let guess = || {
            if self.terms.uplinks_reported {
                return self.usually(self.usual_uplink, self.terms.uplink_kb, uplink.own);
            }
            let asked = self.counted(uplink) * (1.0 + self.missing(uplink));
            Seen { asked, own: uplink.own, at: self.now }
        };
        self.uplink_known(uplink).unwrap_or_else(guess)
    }

    fn missing(&self, uplink: &Uplink) -> f64 {
        uplink.missing.0 * (-((self.now - uplink.missing.1) / (self.note_gap() * TRUST))).exp()
    }

    fn usually(&self, usual: f64, told: f64, own: Own) -> Seen {
        let asked = usual * (1.0 - 1.0 / self.terms.managers.max(1.0)) + own.0 / told.max(1.0);
        Seen { asked, own, at: self.now }
    }

    fn pooled(&self, fill: f64) -> f64 {
        let least = if self.terms.uplinks_reported && !self.terms.reports_on_probe { FILL } else { 0.0 };
        fill.clamp(least, SHORT)
    }

    /// The lesser of the link and the server's share of its rack's uplink.
    fn capacity(&self, server: &ServerId, fill: f64) -> f64 {
        let it = &self.servers[server];
        let uplink = self.uplink_of(it);
        let link = self.claim(self.link_kb(it), self.link_seen(it), it.own.1, fill);
        let guess = Some(self.uplink_seen(uplink)).filter(|_| fill < 1.0);
        let Some(seen) = self.uplink_known(uplink).or(guess) else {
            return link;
        };
        let (claim, own) = (self.uplink_claim(seen, uplink.own.1, fill), uplink.own.0);
        link.min(if claim >= own { it.own.0 + claim - own } else { it.own.0 * claim / own })
    }

    fn free_kb(&self, server: &ServerId, fill: f64) -> f64 {
        let free = |told: f64, seen: Seen, own: Own, fill: f64| {
            capacity_of(told, seen) * fill - others_kb(told, seen) - own.0
        };
        let it = &self.servers[server];
        let (link, uplink) = (free(self.link_kb(it), self.link_seen(it), it.own, fill), self.uplink_of(it));
        if self.terms.uplink_kb <= 0.0 {
            return link;
        }
        let seen = self.uplink_seen(uplink);
        link.min(free(self.terms.uplink_kb, seen, uplink.own, self.pooled(fill)))
    }

    /// Each manager probes at times of its own: so many viewings on the link or uplink, with one's own, act
    /// on a report before it shows what the others made of theirs.
    fn seen_together(&self, server: &ServerId) -> f64 {
        let it = &self.servers[server];
        let others = |told: f64, seen: Seen| others_kb(told, seen) / self.mean_kb(seen);
        let link = others(self.link_kb(it), self.link_seen(it));
        let rack = others(self.terms.uplink_kb, self.uplink_seen(self.uplink_of(it)));
        1.0 + link.max(rack) * (self.terms.seen_after * REPORT_AGE / self.note_gap())
    }

    fn link_used(&self, server: &Server) -> f64 {
        let seen = self.link_seen(server);
        seen.asked + (server.own.0 - seen.own.0) / self.link_kb(server).max(1.0)
    }

    /// Part of a holder's link or uplink that is asked, whichever is fuller.
    fn used(&self, server: &ServerId) -> f64 {
        let it = &self.servers[server];
        let uplink = self.uplink_of(it);
        let seen = self.uplink_seen(uplink);
        let rack = seen.asked + (uplink.own.0 - seen.own.0) / self.terms.uplink_kb.max(1.0);
        let crossing = if it.entry.zone == self.terms.zone { 0.0 } else { self.terms.cross_price };
        self.link_used(it).max(rack) + crossing * CROSS_HANDICAP
    }

    // What is told of links and uplinks.

    /// A lot decides what is made of a note. One of a time before the last lot adds to what was known then
    /// and is weighed with that lot; one of soon after it shows only a part of what all managers made of
    /// that.
    fn draw_lot(&mut self, server: &ServerId, at: Ms, smoothing: Ms) {
        let (lot, next) = (self.chance.part(), self.now + self.beat());
        if let Some(it) = self.servers.get_mut(server) {
            let sooner = it.look_at.min(next);
            if it.lot_at + smoothing <= at {
                (it.lot, it.lot_at) = (lot, self.now);
                self.look(server, next);
            } else if at < it.lot_at {
                self.look(server, sooner);
            }
        }
    }

    /// Reports are noisy, and short delivery is told: where viewings play and none was, no more is asked than
    /// is given.
    fn not_short(&self, server: &ServerId, load: Load) -> Load {
        let whole = |it: &Server| it.delivered.0 >= 0.98 && it.census.playing().next().is_some();
        if !self.servers.get(server).is_some_and(whole) {
            return load;
        }
        let most = |asked: f64| asked.min(1.0);
        Load { link_uncapped: load.link_uncapped.map(most), uplink: load.uplink.map(most), ..load }
    }

    fn note_link(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(it) = self.servers.get_mut(server) else {
            return;
        };
        if it.seen.is_none_or(|it| it.at <= at) {
            it.seen = Some(Seen { asked, own: it.own_at(at), at });
            self.links.note(server, at, asked);
        }
        self.usual_link = self.links.mean(self.fresh_from()).unwrap_or(asked);
    }

    fn note_uplink(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(rack) = self.servers.get(server).map(|it| self.rack(it)) else {
            return;
        };
        let there = self.uplinks[&rack].servers.iter().map(|id| self.servers[id].own_at(at));
        let own = there.fold((0.0, 0.0), added);
        if let Some(uplink) = self.uplinks.get_mut(&rack) {
            if uplink.seen.is_none_or(|it| it.at <= at) {
                uplink.seen = Some(Seen { asked, own, at });
                self.shared.note(&rack, at, asked);
            }
        }
        self.usual_uplink = self.shared.mean(self.fresh_from()).unwrap_or(asked);
    }

    /// Short delivery is the link's, unless a note on the link that is no older than the shortage does not
    /// explain it: then it is the uplink's.
    fn note_delivered(&mut self, server: &ServerId, share: f64, at: Ms) {
        let Some(it) = self.servers.get_mut(server) else {
            return;
        };
        it.delivered = (share, at);
        if share >= 0.98 {
            it.short_since = None;
            return;
        }
        let since = *it.short_since.get_or_insert(at);
        let explained = it.link_note.1 < since || it.link_note.0 >= EXPLAINED;
        // An uplink gives each of its servers no less than the best of them gets.
        let rack = self.rack(&self.servers[server]);
        let there = self.uplinks[&rack].servers.iter().map(|id| &self.servers[id]);
        let told = |it: &Server| at - it.delivered.1 < self.terms.seen_after * 2.0;
        let best = there.filter(|it| told(it)).map(|it| it.delivered.0).fold(share, f64::max);
        if explained || share < best * EXPLAINED {
            self.note_link(server, 1.0 / share.max(0.05), at);
        } else {
            self.note_uplink(server, 1.0 / best, at);
            let before = self.missing(&self.uplinks[&rack]);
            let missing = 1.0 / best / self.counted(&self.uplinks[&rack]).max(1e-6) - 1.0;
            if let Some(uplink) = self.uplinks.get_mut(&rack) {
                uplink.missing = (missing.max(before), self.now);
            }
        }
    }

    /// Reports in answers are rougher than notes and stand in only where those are old.
    fn note_load(&mut self, server: &ServerId, load: Load, at: Ms) {
        let old = |seen: Option<Seen>| seen.is_none_or(|it| self.now - it.at > self.terms.reports_every);
        let Some(it) = self.servers.get(server) else {
            return;
        };
        let uplink_old = old(self.uplink_of(it).seen);
        if let Some(asked) = load.link_uncapped.or(load.link).filter(|_| old(it.seen)) {
            self.note_link(server, asked, at);
        }
        if let Some(asked) = load.uplink.filter(|_| uplink_old) {
            self.note_uplink(server, asked, at);
        }
    }
}

/// More of one's own than the whole that is seen: the link is larger than told, or titles run low.
fn capacity_of(told: f64, seen: Seen) -> f64 {
    told.max(if seen.asked > 0.0 { seen.own.0 / seen.asked } else { 0.0 })
}

fn others_kb(told: f64, seen: Seen) -> f64 {
    (seen.asked * capacity_of(told, seen) - seen.own.0).max(0.0)
}

/// It answers: if it had failed it may have restarted, at the latest just now.
fn well(server: &mut Server, now: Ms, terms: &Terms) {
    if server.failures > 0 {
        server.failures = 0;
        server.cold_until = server.cold_until.max(now + terms.cold.lasts);
    }
    server.shunned_until = Ms::LONG_AGO;
}

mod ledger;
#[cfg(test)]
mod tests;
