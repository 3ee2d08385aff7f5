//! The front: one method for each thing that happens. What the methods do lies by concern in files below.

mod desk;
mod ends;
mod hand;
mod house;
mod lists;
mod notes;
mod owed;
mod playlists;
mod requests;
mod steps;
mod tune_ins;

pub use desk::Counts;
pub use house::FrontSettings;
pub use owed::PROBE_TIMEOUT;

use crate::decisions::Decisions;
use crate::effects::{Effects, SlotShare};
use desk::Desk;
use hand::Hand;
use ottersail::actions::PlacementActions;
use ottersail::config::PlacementConfig;
use ottersail::ids::{TimerTag, ViewingId};
use ottersail::placement::Placement;
use ottersail::state::{Load, Outcome};
use ottersail::time::Ms;
use owed::{Alarm, Place};
use tracing::info;

/// The session manager without its sockets: the decisions, and what is held for them.
pub struct Front {
    placement: Box<dyn Decisions>,
    desk: Desk,
}

impl Front {
    /// A front whose decisions are those of this project.
    pub fn new(
        now: Ms,
        seed: u64,
        terms: PlacementConfig,
        house: FrontSettings,
        out: &mut dyn Effects,
    ) -> Front {
        Front::with_decisions(now, terms, house, out, |terms, out| {
            Box::new(Placement::new(now, seed, terms, out))
        })
    }

    /// A front with other decisions, for comparison.
    pub fn with_decisions(
        now: Ms,
        terms: PlacementConfig,
        house: FrontSettings,
        out: &mut dyn Effects,
        decisions: impl FnOnce(PlacementConfig, &mut dyn PlacementActions) -> Box<dyn Decisions>,
    ) -> Front {
        let mut desk = Desk::new(now, &terms, house);
        let placement = decisions(terms, &mut Hand { desk: &mut desk, out });
        Front { placement, desk }
    }

    /// Carries out all that is due; see [`Front::next_timer`].
    pub fn run_due_timers(&mut self, now: Ms, out: &mut dyn Effects) {
        self.at(now);
        while let Some(alarm) = self.desk.timers.due(now) {
            match alarm {
                Alarm::Bell(tag, _) => {
                    let Front { placement, desk } = self;
                    placement.timer_fired(now, TimerTag(tag), &mut Hand { desk, out });
                }
                Alarm::TuneIn(vw) => {
                    let Some(seat) = self.desk.seats.get_mut(&vw).filter(|it| it.place == Place::Out) else {
                        continue;
                    };
                    seat.late = true;
                    let (no, server, address) =
                        (seat.tune_ins - 1, seat.server.clone(), seat.address.clone());
                    let cause = "no answer in time";
                    info!(viewing = %vw, server = %server, no, cause, "tune-in called off");
                    out.cancel_set_up(&vw, no, &server, &address);
                    self.tune_in_failed(&vw, Outcome::NoAnswer, Load::default(), out);
                }
                Alarm::Silent(id) => self.over(&id, "no reload", Outcome::CalledOff, out),
                Alarm::Over(id) => self.over(&id, "played to its end", Outcome::Served, out),
                Alarm::Linger(vw) => self.end_confirmed(now, &vw, out),
                Alarm::Probe(server) => self.probe_ended(now, &server, None, out),
            }
        }
    }

    /// From now on nothing new is taken.
    pub fn drain(&mut self, now: Ms) {
        self.at(now).draining = true;
        info!(waiting = self.desk.asks.len(), watches = self.desk.watches.len(), "draining");
    }

    pub fn is_draining(&self) -> bool {
        self.desk.draining
    }

    /// It is not to go after all: viewings are taken again.
    pub fn resume(&mut self, now: Ms) {
        self.at(now).draining = false;
        info!("takes viewings again");
    }

    /// Whether viewings are taken with all that is needed for it: titles and servers are told, and the first
    /// doubts of servers have ended.
    pub fn is_ready(&self, now: Ms) -> bool {
        let Desk { draining, titles, roster, doubts_until, .. } = &self.desk;
        !draining && titles.is_some() && !roster.is_empty() && now >= *doubts_until
    }

    /// This manager's part of what all managers share; with a lease that has run out already, what is kept.
    pub fn set_slot_share(&mut self, now: Ms, part: SlotShare) {
        let slots: Vec<u64> = [part.own_slot].into_iter().chain(part.leased_slots.iter().copied()).collect();
        self.placement.set_slots(now, &slots, part.total_slots);
        self.desk.part = Some(part);
        self.at(now);
    }

    /// What of the settings may change while it runs.
    pub fn update_settings(&mut self, house: FrontSettings) {
        self.desk.house = house;
    }

    /// When [`Front::run_due_timers`] is to be called next.
    pub fn next_timer(&self) -> Option<Ms> {
        self.desk.timers.next()
    }

    /// Requests that wait for their answer.
    pub fn waiting_requests(&self) -> usize {
        self.desk.asks.len()
    }

    pub fn watch_count(&self) -> usize {
        self.desk.watches.len()
    }

    pub fn viewing_count(&self) -> usize {
        self.desk.seats.len()
    }

    /// True while anything is owed or held for a viewing.
    pub fn holds_viewing(&self, vw: &ViewingId) -> bool {
        self.desk.seats.contains_key(vw)
    }

    pub fn server_count(&self) -> usize {
        self.desk.roster.len()
    }

    pub fn counts(&self) -> Counts {
        self.desk.counts
    }

    fn at(&mut self, now: Ms) -> &mut Desk {
        self.desk.now = now;
        // Guards against a part that another holds by now: after a standstill, the first thing that happens may
        // come before any timer.
        if self.desk.part.as_ref().is_some_and(|it| now >= Ms(it.lease_end_ms)) {
            if let Some(it) = self.desk.part.take() {
                info!(
                    kept = it.own_slot,
                    of = it.total_slots,
                    "the lease on this manager's part has run out"
                );
                self.placement.set_slots(now, &[it.own_slot], it.total_slots);
            }
        }
        &mut self.desk
    }
}
