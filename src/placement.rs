//! All decisions of ottersail, each kind in a module of its own under src/placement/. The adapter calls one
//! method of [`Placement`] for each input; it notes what was told and then goes through `RULES` in order, again
//! from the top, until none fires. What is decided goes out through `Answers` (src/answers.rs); the shapes are
//! in src/state.rs, the start-up terms in src/terms.rs. docs/design.md says where each rule comes from and
//! which module to look in, docs/on-call.md what is seen in trouble.

mod constants;
mod ledger;
mod limits;
mod links;
mod notes;
mod pace;
mod pick;
mod probes;
mod rules;
mod split;
mod steps;
#[cfg(test)]
mod tests;
mod uplinks;

pub use self::constants::LIST_LAG;
use self::{constants::*, links::Pipe, pick::prefer};
use crate::actions::PlacementActions;
use crate::census::{added, moved, put, Asker, Counted, Own, Past, RecentMean};
use crate::chance::{along, Chance};
use crate::config::{DedupScope, PlacementConfig, RequestSemantics};
use crate::ids::{
    name_hash, Cell, PackageIndex, Rack, Rung, ServerId, TenantIndex, TimerTag, TitleId, TuneInIndex,
    ViewingId,
};
use crate::state::{
    Availability, ListMode, Load, Outcome, Phase, Seen, Server, ServerEntry, Topic, TuneIn, Uplink, Viewing,
    ViewingRequest,
};
use crate::time::{DecayingSum, Ms};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Out<'a> = &'a mut dyn PlacementActions;

#[derive(Default)]
pub struct Placement {
    terms: PlacementConfig,
    now: Ms,
    chance: Chance,
    /// This manager's slots, and of how many: its part of what all managers share.
    slots: (Vec<u64>, f64),
    /// Its parts before that, the first being none at all, and until when others may reckon with each.
    earlier: Vec<(Ms, (Vec<u64>, f64))>,
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
    seated: BTreeMap<(TitleId, PackageIndex), usize>,
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

impl Placement {
    pub fn new(now: Ms, seed: u64, terms: PlacementConfig, out: Out) -> Placement {
        if terms.must_subscribe {
            out.subscribe();
        }
        Placement {
            now,
            chance: Chance(seed | 1),
            slots: (vec![terms.manager.0], terms.manager_count.max(1.0)),
            earlier: vec![(now + terms.cold.send_window() * LIST_LAG, (Vec::new(), 1.0))],
            unsure_until: now + terms.cold.warm_up.min(terms.cold.fall_window * LIST_LAG),
            whole_since: now + terms.report_interval,
            arrivals: vec![DecayingSum::default(); terms.tenants.len()],
            usual_link: FILL,
            usual_uplink: FILL,
            mean_places: 1.0,
            terms,
            ..Placement::default()
        }
    }

    pub fn update_servers(&mut self, now: Ms, mode: ListMode, entries: &[ServerEntry], out: Out) {
        self.now = now;
        match mode {
            ListMode::Failed if self.terms.must_subscribe => out.subscribe(),
            ListMode::Full | ListMode::Saved => {
                self.servers.values_mut().for_each(|it| it.entry.availability = Availability::Gone);
            }
            _ => {}
        }
        entries.iter().for_each(|it| self.list(it));
        let cold = &self.terms.cold;
        self.forget_gone(cold.warm_up.max(cold.fall_window).max(self.terms.report_delay) * FORGOTTEN);
        self.count_places();
        self.settle(out);
    }

    pub fn adopt_viewing(&mut self, now: Ms, wish: ViewingRequest, server: ServerId, out: Out) {
        self.now = now;
        // A manager that takes viewings over did not restart: what it was told of starts is whole.
        (self.unsure_until, self.whole_since, self.past.apart) = (now, now, true);
        let vw = wish.viewing.clone();
        let tune_in = TuneIn { server, sent: now, outcome: None };
        self.take(wish, Phase::Playing, vec![tune_in], false);
        self.past.apart = false;
        self.amend(&vw, |it| it.started = now);
        self.settle(out);
    }

    pub fn request_viewing(&mut self, now: Ms, wish: ViewingRequest, out: Out) {
        self.now = now;
        let span = self.terms.budget.map_or(Ms(0.0), |it| it.window + self.terms.tick);
        for times in [&mut self.taken, &mut self.further] {
            times.drain(..times.partition_point(|at| now - *at > span));
        }
        self.taken.push_back(now);
        out.schedule(TimerTag(1), wish.deadline);
        let over_share = wish.tenant.is_some_and(|tenant| self.over_share(tenant));
        self.take(wish, Phase::Waiting, Vec::new(), over_share);
        self.settle(out);
    }

    pub fn timer_fired(&mut self, now: Ms, _tag: TimerTag, out: Out) {
        self.now = now;
        self.settle(out);
    }

    pub fn viewing_started(&mut self, now: Ms, vw: &ViewingId, server: &ServerId, out: Out) {
        self.now = now;
        self.amend(vw, |it| {
            it.started = now;
            it.phase = if it.phase == Phase::Over { Phase::Over } else { Phase::Playing };
        });
        self.judge(server, Outcome::Served);
        self.settle(out);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn tune_in_ended(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        no: TuneInIndex,
        server: &ServerId,
        outcome: Outcome,
        last: bool,
        load: Load,
        out: Out,
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
        self.note_load(server, load, now - self.terms.report_delay);
        self.settle(out);
    }

    pub fn note_received(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        out: Out,
    ) {
        self.now = now;
        // At set-up a note tells of now, else of some time ago.
        let fresh = self.viewings.get(vw).is_none_or(|it| it.phase != Phase::Playing || it.started == now);
        let at = if fresh { now } else { now - self.terms.report_delay };
        match topic {
            Topic::RungInForce => self.amend(vw, |it| it.rung = Rung(value.max(0.0) as usize)),
            Topic::ShareDelivered => self.note_delivered(server, value, at),
            Topic::LinkAsked => {
                self.note_on_link(server, value, at);
                self.note_link(server, value, at);
            }
            Topic::UplinkAsked => self.note_uplink(server, value, at),
        }
        // The share delivered is smoothed, and shows a change that much later.
        let smoothing = if topic == Topic::ShareDelivered { self.terms.report_delay } else { Ms(0.0) };
        if topic != Topic::RungInForce {
            self.draw_lot(server, at, smoothing);
        }
        self.settle(out);
    }

    pub fn viewer_left(&mut self, now: Ms, vw: &ViewingId, out: Out) {
        self.now = now;
        self.amend(vw, |it| it.phase = Phase::Over);
        self.settle(out);
    }

    pub fn probe_ended(&mut self, now: Ms, server: &ServerId, outcome: Outcome, load: Load, out: Out) {
        self.now = now;
        self.servers.get_mut(server).into_iter().for_each(|it| it.probe_out = false);
        // A server that loses the answers of tune-ins may still answer probes: only a failed one tells.
        if outcome == Outcome::Served {
            let at = now - self.terms.report_delay * REPORT_AGE;
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
}
