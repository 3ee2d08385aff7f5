//! The council and the slot leases over the members: connects the state machines of `ottersail-consensus` and
//! `ottersail-leases` with messages, time and disk. Each input is processed until nothing more follows from it; messages,
//! disk writes and the new part come out as [`Outputs`]. The only decision taken here is when a new slot may be used,
//! in `part.rs`.

mod inputs;
#[cfg(test)]
mod leave_tests;
mod log;
mod messages;
mod metrics;
mod outputs;
mod part;
#[cfg(test)]
mod part_tests;
mod process;
mod release_guard;
mod release_metrics;
mod releases;
mod requests;
mod role;
mod store_writer;
mod tasks;

use crate::settings::manager::ManagerSettings;
use messages::{CouncilMessage, OutgoingMessage, NEED, REVISIONS};
use metrics::CouncilMetrics;
use ottersail::time::Ms;
use ottersail_consensus as council;
use ottersail_consensus::CouncilConfig;
use ottersail_leases::{Counters, Demand, Holder, LeaseConfig, LeaseGrants, SlotBalancer};
use ottersail_membership::{InstanceId, MemberId, MemberView, State, Topic};
use outputs::{Input, PendingWork};
use part::PartInUse;
use releases::Releases;
use requests::FoundingConfig;
use role::Seat;
use std::cell::Cell;
use std::collections::BTreeMap;
use store_writer::StoreWriter;
pub(super) use tasks::CouncilTasks;

/// Interval at which demand and the roster are reviewed, as a fraction of the lease.
const REVIEW_INTERVAL: f64 = 0.05;

/// What the caller has to carry out, in this order.
#[derive(Debug, Default)]
pub(super) struct Outputs {
    pub messages: Vec<OutgoingMessage>,
    pub writes: Vec<store_writer::WriteRequest>,
    pub part: Option<ottersail_front::SlotShare>,
    /// The placement is given a smaller part; [`Council::shrunk`] has to be called once it has it.
    pub shrunk: bool,
    pub piggybacks: Vec<(Topic, Vec<u8>)>,
}

/// This member's council: its state machines and what connects them.
pub(super) struct Council {
    me: (MemberId, InstanceId),
    names: BTreeMap<MemberId, String>,
    own: FoundingConfig,
    seed: u64,
    terms: CouncilConfig,
    seat: Seat,
    /// This member's name and zone.
    home: (String, String),
    releases: Option<Releases>,
    /// Set once the founding configuration is known.
    leases: Option<LeaseState>,
    part: PartInUse,
    /// Own requests under way, with the time of the request.
    pending_requests: BTreeMap<u64, (requests::Request, Ms)>,
    last_request_number: u64,
    next_review: Ms,
    arrivals: Cell<u32>,
    /// The members believed alive.
    alive: BTreeMap<MemberId, InstanceId>,
    lease_counters: Counters,
    council_metrics: CouncilMetrics,
}

/// The state that depends on the founding configuration.
struct LeaseState {
    holder: Holder,
    needs: SlotBalancer,
    /// Used by councillors only.
    renewals: LeaseGrants,
    terms: LeaseConfig,
}

impl Council {
    /// `None` without `[council]`; with it, a store writer if this is a councillor whose store can be read.
    pub fn born(
        now: Ms,
        seed: u64,
        instance: InstanceId,
        manager: &ManagerSettings,
    ) -> Option<(Council, Option<StoreWriter>)> {
        let (members, settings) = (manager.members.as_ref()?, manager.council.as_ref()?);
        let id = |name: &String| MemberId::of(&members.cluster, name);
        let me = (id(&members.name), instance);
        let councillors: Vec<MemberId> = settings.councillors.iter().map(id).collect();
        let mut terms = CouncilConfig::new(me.0, instance, &councillors, seed);
        // A holder waits half a lease for an answer and then asks again.
        terms.request_timeout = terms.request_timeout.min(Ms(f64::from(settings.lease_ms) * 0.5));
        let opened = settings.store.as_ref().and_then(|path| store_writer::open(path));
        let (seat, store_writer) = Seat::born(now, &terms, opened);
        let own = FoundingConfig {
            slots: settings.slots,
            lease_ms: settings.lease_ms,
            drift_ppm: settings.drift_ppm,
        };
        let cold = manager.terms.cold.send_window();
        let number = (manager.terms.manager.0, manager.terms.manager_count);
        log::begins(&settings.councillors, &seat);
        let born = |releases: &crate::settings::releases::Releases| {
            Releases::born(now, me, releases.version.clone(), (&terms.councillors, members.period))
        };
        let releases = manager.releases.as_ref().map(born);
        let council = Council {
            me,
            names: settings.councillors.iter().map(|name| (id(name), name.clone())).collect(),
            own,
            seed,
            terms,
            seat,
            home: (members.name.clone(), manager.terms.zone.to_string()),
            releases,
            leases: None,
            part: PartInUse::new(number, settings.slots, cold),
            pending_requests: BTreeMap::new(),
            last_request_number: 0,
            next_review: now,
            arrivals: Cell::new(0),
            alive: BTreeMap::new(),
            lease_counters: Counters::default(),
            council_metrics: CouncilMetrics::default(),
        };
        Some((council, store_writer))
    }

    /// Counts a requested viewing.
    pub fn viewing_requested(&self) {
        self.arrivals.set(self.arrivals.get().saturating_add(1));
    }

    /// When [`Council::on_timer`] or [`Council::roster`] has to be called next.
    pub fn next_timer(&self) -> Ms {
        let holder = self.leases.as_ref().map_or(Ms(f64::INFINITY), |leases| leases.holder.next_deadline());
        let releases = self.releases.as_ref().map_or(Ms(f64::INFINITY), Releases::next_timer);
        self.next_review.min(self.seat.next_timer()).min(holder).min(self.part.next_timer()).min(releases)
    }

    /// Handles the roster and the data that members piggyback.
    pub fn roster<'a>(
        &mut self,
        now: Ms,
        all: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
        out: &mut Outputs,
    ) {
        if now < self.next_review {
            return;
        }
        self.next_review = now + Ms(f64::from(self.own.lease_ms)) * REVIEW_INTERVAL;
        let up = |(_, known): &(&MemberId, &MemberView)| matches!(known.state, State::Alive | State::Suspect);
        let living: Vec<_> = all.filter(up).collect();
        self.alive = living.iter().map(|(id, known)| (**id, known.instance)).collect();
        let set = self.alive.keys().copied().chain([self.me.0]).collect();
        self.seat.set_living(&set);
        let mut work = PendingWork::default();
        for (id, known) in &living {
            if let Some(rider) = known.piggybacks.get(&REVISIONS) {
                self.seat.on_digest(now, **id, rider, &mut work);
            }
        }
        if let Some(held) = &mut self.leases {
            let rider = |known: &MemberView| Demand::decode(known.piggybacks.get(&NEED)?).ok();
            held.needs.set_others(living.iter().map(|(id, known)| (**id, rider(known))).collect());
            held.needs.record_arrivals(now, self.arrivals.take());
            held.holder.set_alive(self.alive.clone());
            let target = held.needs.next_target(now, held.holder.retained_slots());
            held.holder.set_target(now, target, &mut work);
            if let Ok(bytes) = held.needs.demand(now, held.holder.retained_slots()).encode() {
                out.piggybacks.push((NEED, bytes));
            }
        } else if self.pending_requests.is_empty() {
            self.submit_request(now, requests::Request::FoundingConfig, council::Change::Read, &mut work);
        }
        self.release(now, living.iter().copied(), &mut work);
        out.piggybacks.push((REVISIONS, self.seat.follower().revision_digest()));
        self.process(now, work, out);
    }

    /// Handles the expiry of a timer.
    pub fn on_timer(&mut self, now: Ms, out: &mut Outputs) {
        self.process(now, PendingWork::of(Input::Timer), out);
    }

    /// Handles a message of another member.
    pub fn on_message(&mut self, now: Ms, from: MemberId, topic: Topic, bytes: &[u8], out: &mut Outputs) {
        match CouncilMessage::read(topic, bytes) {
            Some(message) => self.process(now, PendingWork::of(Input::Received(from, message)), out),
            None => self.council_metrics.unread(),
        }
    }

    /// Records have been written to disk.
    pub fn on_persisted(&mut self, now: Ms, done: store_writer::Written, out: &mut Outputs) {
        self.council_metrics.persisted(done.took);
        self.process(now, PendingWork::of(Input::Persisted(done.token)), out);
    }

    /// The store failed: this councillor abstains from here on and only follows.
    pub fn on_store_lost(&mut self, now: Ms) {
        self.seat.abstain(now, &self.terms);
    }

    /// The placement uses the smaller part now.
    pub fn shrunk(&mut self, now: Ms, out: &mut Outputs) {
        let mut work = PendingWork::default();
        if let Some(held) = &mut self.leases {
            held.holder.finish_shrink(now, &mut work);
        }
        self.process(now, work, out);
    }

    /// This manager ends: the placement is limited to the kept slot, and [`Council::shrunk`] returns the rest, as with
    /// any smaller part.
    pub fn leave(&mut self, now: Ms, out: &mut Outputs) {
        let mut work = PendingWork::default();
        if let Some(held) = &mut self.leases {
            held.holder.leave(now, &mut work);
        }
        self.process(now, work, out);
    }

    /// Whether no register assigns a slot to this member, as far as is known here.
    pub fn has_returned_all_slots(&self) -> bool {
        self.leases.as_ref().is_none_or(|leases| leases.holder.has_released_all())
    }
}
