//! The council and the parts over the members: the machines of `ottersail-consensus` and `ottersail-leases` with
//! their messages, time and disk. Each input is gone through until nothing follows from it; what is to be
//! sent, kept and told comes out as [`Outs`]. Nothing is decided here but when a new slot may be used, in
//! `share.rs`.

mod carry;
mod figures;
mod keeper;
mod keys;
#[cfg(test)]
mod leave_tests;
mod lines;
mod orders;
mod post;
mod release_figures;
mod release_guard;
mod releases;
mod seat;
mod settle;
mod share;
#[cfg(test)]
mod share_tests;
mod wants;

use crate::settings::manager::ManagerSettings;
pub(super) use carry::Counsel;
use figures::Tally;
use keeper::Keeper;
use keys::Head;
use ottersail::time::Ms;
use ottersail_consensus as council;
use ottersail_consensus::CouncilConfig;
use ottersail_leases::{Counters, Demand, Holder, LeaseConfig, LeaseGrants, SlotBalancer};
use ottersail_membership::{InstanceId, MemberId, MemberView, State, Topic};
use post::{Out, Post, NEED, REVISIONS};
use releases::Releases;
use seat::Seat;
use share::Share;
use std::cell::Cell;
use std::collections::BTreeMap;
use wants::{Input, Wants};

/// How often needs and the roster are looked at, as a part of the lease.
const LOOKS: f64 = 0.05;

/// What is to be done outside, in this order.
#[derive(Debug, Default)]
pub(super) struct Outs {
    pub tells: Vec<Out>,
    pub keeps: Vec<keeper::Wish>,
    pub part: Option<ottersail_front::SlotShare>,
    /// The module is told less: once it is, [`Council::shrunk`].
    pub shrunk: bool,
    pub riders: Vec<(Topic, Vec<u8>)>,
}

pub(super) struct Council {
    me: (MemberId, InstanceId),
    names: BTreeMap<MemberId, String>,
    own: Head,
    seed: u64,
    terms: CouncilConfig,
    seat: Seat,
    /// Name and zone.
    home: (String, String),
    releases: Option<Releases>,
    /// Once the founding's figures are known.
    held: Option<Held>,
    share: Share,
    /// With when it was asked.
    asked: BTreeMap<u64, (keys::Ask, Ms)>,
    number: u64,
    look_at: Ms,
    arrivals: Cell<u32>,
    /// The living, by what the members believe.
    alive: BTreeMap<MemberId, InstanceId>,
    figures: Counters,
    tally: Tally,
}

/// What rests on the founding's figures.
struct Held {
    holder: Holder,
    needs: SlotBalancer,
    /// A councillor's.
    renewals: LeaseGrants,
    terms: LeaseConfig,
}

impl Council {
    /// `None` without `[council]`; with it, a keeper if this is a councillor whose store can be read.
    pub fn born(
        now: Ms,
        seed: u64,
        life: InstanceId,
        manager: &ManagerSettings,
    ) -> Option<(Council, Option<Keeper>)> {
        let (members, told) = (manager.members.as_ref()?, manager.council.as_ref()?);
        let id = |name: &String| MemberId::of(&members.cluster, name);
        let me = (id(&members.name), life);
        let councillors: Vec<MemberId> = told.councillors.iter().map(id).collect();
        let mut terms = CouncilConfig::new(me.0, life, &councillors, seed);
        // A holder waits half a lease for an answer, and then asks anew.
        terms.request_timeout = terms.request_timeout.min(Ms(f64::from(told.lease_ms) * 0.5));
        let opened = told.store.as_ref().and_then(|path| keeper::open(path));
        let (seat, keeper) = Seat::born(now, &terms, opened);
        let own = Head { slots: told.slots, lease_ms: told.lease_ms, drift_ppm: told.drift_ppm };
        let cold = manager.terms.cold.send_window();
        let number = (manager.terms.manager.0, manager.terms.manager_count);
        lines::begins(&told.councillors, &seat);
        let born = |it: &crate::settings::releases::Releases| {
            Releases::born(now, me, it.version.clone(), (&terms.councillors, members.period))
        };
        let releases = manager.releases.as_ref().map(born);
        let council = Council {
            me,
            names: told.councillors.iter().map(|it| (id(it), it.clone())).collect(),
            own,
            seed,
            terms,
            seat,
            home: (members.name.clone(), manager.terms.zone.to_string()),
            releases,
            held: None,
            share: Share::new(number, told.slots, cold),
            asked: BTreeMap::new(),
            number: 0,
            look_at: now,
            arrivals: Cell::new(0),
            alive: BTreeMap::new(),
            figures: Counters::default(),
            tally: Tally::default(),
        };
        Some((council, keeper))
    }

    /// A viewing was asked for.
    pub fn viewing_requested(&self) {
        self.arrivals.set(self.arrivals.get().saturating_add(1));
    }

    pub fn bell_at(&self) -> Ms {
        let holder = self.held.as_ref().map_or(Ms(f64::INFINITY), |it| it.holder.next_deadline());
        let releases = self.releases.as_ref().map_or(Ms(f64::INFINITY), Releases::bell_at);
        self.look_at.min(self.seat.next_timer()).min(holder).min(self.share.bell_at()).min(releases)
    }

    /// What the members believe, and what they carry.
    pub fn roster<'a>(
        &mut self,
        now: Ms,
        all: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
        out: &mut Outs,
    ) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + Ms(f64::from(self.own.lease_ms)) * LOOKS;
        let up = |it: &(&MemberId, &MemberView)| matches!(it.1.state, State::Alive | State::Suspect);
        let living: Vec<_> = all.filter(up).collect();
        self.alive = living.iter().map(|(id, known)| (**id, known.instance)).collect();
        let set = self.alive.keys().copied().chain([self.me.0]).collect();
        self.seat.set_living(&set);
        let mut wants = Wants::default();
        for (id, known) in &living {
            if let Some(rider) = known.piggybacks.get(&REVISIONS) {
                self.seat.on_digest(now, **id, rider, &mut wants);
            }
        }
        if let Some(held) = &mut self.held {
            let rider = |known: &MemberView| Demand::decode(known.piggybacks.get(&NEED)?).ok();
            held.needs.set_others(living.iter().map(|(id, known)| (**id, rider(known))).collect());
            held.needs.record_arrivals(now, self.arrivals.take());
            held.holder.set_alive(self.alive.clone());
            let wanted = held.needs.next_target(now, held.holder.retained_slots());
            held.holder.set_target(now, wanted, &mut wants);
            if let Ok(bytes) = held.needs.demand(now, held.holder.retained_slots()).encode() {
                out.riders.push((NEED, bytes));
            }
        } else if self.asked.is_empty() {
            self.ask(now, keys::Ask::Head, council::Change::Read, &mut wants);
        }
        self.release(now, living.iter().copied(), &mut wants);
        out.riders.push((REVISIONS, self.seat.follower().revision_digest()));
        self.settle(now, wants, out);
    }

    pub fn bell(&mut self, now: Ms, out: &mut Outs) {
        self.settle(now, Wants::of(Input::Bell), out);
    }

    /// Bytes of another member's council or parts.
    pub fn heard(&mut self, now: Ms, from: MemberId, topic: Topic, bytes: &[u8], out: &mut Outs) {
        match Post::read(topic, bytes) {
            Some(post) => self.settle(now, Wants::of(Input::Heard(from, post)), out),
            None => self.tally.unread(),
        }
    }

    /// The disk has it.
    pub fn kept(&mut self, now: Ms, done: keeper::Done, out: &mut Outs) {
        self.tally.kept(done.took);
        self.settle(now, Wants::of(Input::Kept(done.token)), out);
    }

    /// The store failed: this councillor is silent from here on, and follows like any other member.
    pub fn lost_store(&mut self, now: Ms) {
        self.seat.abstain(now, &self.terms);
    }

    /// The module goes by the smaller part now.
    pub fn shrunk(&mut self, now: Ms, out: &mut Outs) {
        let mut wants = Wants::default();
        if let Some(held) = &mut self.held {
            held.holder.finish_shrink(now, &mut wants);
        }
        self.settle(now, wants, out);
    }

    /// This manager ends: the module goes by the kept slot alone, and the rest is given back by
    /// [`Council::shrunk`], as with any smaller part.
    pub fn leave(&mut self, now: Ms, out: &mut Outs) {
        let mut wants = Wants::default();
        if let Some(held) = &mut self.held {
            held.holder.leave(now, &mut wants);
        }
        self.settle(now, wants, out);
    }

    /// No register has a slot in this member's name, as far as is known here.
    pub fn gave_all_back(&self) -> bool {
        self.held.as_ref().is_none_or(|it| it.holder.has_released_all())
    }
}
