//! [`Front`]: construction, timers and queries. The other inputs are in the modules below, by topic.

mod actions;
mod endings;
mod lists;
mod notes;
mod playlists;
mod requests;
mod settings;
mod state;
mod steps;
mod tune_ins;
mod viewing;

pub use settings::FrontSettings;
pub use state::Counts;
pub use viewing::PROBE_TIMEOUT;

use crate::decisions::Decisions;
use crate::effects::{Effects, SlotShare};
use actions::ActionHandler;
use ottersail::actions::PlacementActions;
use ottersail::config::PlacementConfig;
use ottersail::ids::{TimerTag, ViewingId};
use ottersail::placement::Placement;
use ottersail::state::{Load, Outcome};
use ottersail::time::Ms;
use state::FrontState;
use tracing::info;
use viewing::{TimerKey, ViewingPhase};

/// A session manager without its sockets: the decisions, and the state of requests, viewings and servers.
pub struct Front {
    decisions: Box<dyn Decisions>,
    state: FrontState,
}

impl Front {
    /// A front with the decisions of [`Placement`].
    pub fn new(
        now: Ms,
        seed: u64,
        config: PlacementConfig,
        settings: FrontSettings,
        effects: &mut dyn Effects,
    ) -> Front {
        Front::with_decisions(now, config, settings, effects, |config, actions| {
            Box::new(Placement::new(now, seed, config, actions))
        })
    }

    /// A front with other decisions, for comparison.
    pub fn with_decisions(
        now: Ms,
        config: PlacementConfig,
        settings: FrontSettings,
        effects: &mut dyn Effects,
        create: impl FnOnce(PlacementConfig, &mut dyn PlacementActions) -> Box<dyn Decisions>,
    ) -> Front {
        let mut state = FrontState::new(now, &config, settings);
        let decisions = create(config, &mut ActionHandler { state: &mut state, effects });
        Front { decisions, state }
    }

    /// Runs all timers that are due; see [`Front::next_timer`].
    pub fn run_due_timers(&mut self, now: Ms, effects: &mut dyn Effects) {
        self.advance(now);
        while let Some(timer) = self.state.timers.pop_due(now) {
            match timer {
                TimerKey::Decision(tag, _) => {
                    let Front { decisions, state } = self;
                    decisions.timer_fired(now, TimerTag(tag), &mut ActionHandler { state, effects });
                }
                TimerKey::TuneIn(id) => self.tune_in_timed_out(&id, effects),
                TimerKey::Reload(id) => self.end_watch(&id, "no reload", Outcome::CalledOff, effects),
                TimerKey::PlayedOut(id) => {
                    self.end_watch(&id, "played to its end", Outcome::Served, effects);
                }
                TimerKey::EndConfirmation(id) => self.end_confirmed(now, &id, effects),
                TimerKey::Probe(server) => self.probe_ended(now, &server, None, effects),
            }
        }
    }

    fn tune_in_timed_out(&mut self, id: &ViewingId, effects: &mut dyn Effects) {
        let tuning_in = |phase| phase == ViewingPhase::TuningIn;
        let Some(viewing) = self.state.viewings.get_mut(id).filter(|viewing| tuning_in(viewing.phase)) else {
            return;
        };
        viewing.timed_out = true;
        let (tune_in, server) = (viewing.tune_ins - 1, viewing.server.clone());
        let (address, cause) = (viewing.address.clone(), "no answer in time");
        info!(viewing = %id, server = %server, no = tune_in, cause, "tune-in cancelled");
        effects.cancel_set_up(id, tune_in, &server, &address);
        self.tune_in_failed(id, Outcome::NoAnswer, Load::default(), effects);
    }

    /// From now on no request is accepted.
    pub fn drain(&mut self, now: Ms) {
        self.advance(now).draining = true;
        info!(waiting = self.state.requests.len(), watches = self.state.watches.len(), "draining");
    }

    /// Whether new requests are rejected because of a drain.
    pub fn is_draining(&self) -> bool {
        self.state.draining
    }

    /// Ends a drain: requests are accepted again.
    pub fn resume(&mut self, now: Ms) {
        self.advance(now).draining = false;
        info!("drain ended, accepting requests again");
    }

    /// Whether requests are accepted and can be served: titles and servers are known, and the list includes
    /// the starts of all servers.
    pub fn is_ready(&self, now: Ms) -> bool {
        let FrontState { draining, titles, server_list, starts_unknown_until, .. } = &self.state;
        !draining && titles.is_some() && !server_list.is_empty() && now >= *starts_unknown_until
    }

    /// Sets this manager's share of the common limits. If its lease has expired already, only the manager's
    /// own slot counts.
    pub fn set_slot_share(&mut self, now: Ms, share: SlotShare) {
        let own_slot = [share.own_slot].into_iter();
        let slots: Vec<u64> = own_slot.chain(share.leased_slots.iter().copied()).collect();
        self.decisions.set_slots(now, &slots, share.total_slots);
        self.state.slot_share = Some(share);
        self.advance(now);
    }

    /// Replaces the settings while the front runs.
    pub fn update_settings(&mut self, settings: FrontSettings) {
        self.state.settings = settings;
    }

    /// When [`Front::run_due_timers`] has to be called next.
    pub fn next_timer(&self) -> Option<Ms> {
        self.state.timers.next()
    }

    /// Number of requests that wait for their answer.
    pub fn waiting_requests(&self) -> usize {
        self.state.requests.len()
    }

    /// Number of viewers who watch, interrupted ones included.
    pub fn watch_count(&self) -> usize {
        self.state.watches.len()
    }

    /// Number of viewings that have not completely ended, set-ups included.
    pub fn viewing_count(&self) -> usize {
        self.state.viewings.len()
    }

    /// Whether the viewing exists and has not completely ended.
    pub fn holds_viewing(&self, id: &ViewingId) -> bool {
        self.state.viewings.contains_key(id)
    }

    /// Number of listed servers.
    pub fn server_count(&self) -> usize {
        self.state.server_list.len()
    }

    /// Event counters since the start.
    pub fn counts(&self) -> Counts {
        self.state.counts
    }

    /// Sets the time, and gives up the leased slots if the lease has expired. Every input does this first:
    /// after a pause of the process it may arrive before any timer, when another manager already holds the
    /// slots.
    fn advance(&mut self, now: Ms) -> &mut FrontState {
        self.state.now = now;
        if self.state.slot_share.as_ref().is_some_and(|share| now >= Ms(share.lease_end_ms)) {
            if let Some(share) = self.state.slot_share.take() {
                let SlotShare { own_slot, total_slots, .. } = share;
                info!(kept = own_slot, of = total_slots, "the lease on this manager's slots expired");
                self.decisions.set_slots(now, &[own_slot], total_slots);
            }
        }
        &mut self.state
    }
}
