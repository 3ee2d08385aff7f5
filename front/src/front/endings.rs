//! Ends of viewings and watches, by the viewer, the server or the end of the title.

use super::actions::ActionHandler;
use super::state::FrontState;
use super::viewing::{TimerKey, ViewingPhase};
use super::Front;
use crate::decisions::TuneInEnd;
use crate::effects::{Effects, Reply, WatchId};
use crate::presence;
use crate::watch::Stage;
use ottersail::ids::{ServerId, TuneInIndex, ViewingId};
use ottersail::state::{Load, Outcome};
use ottersail::time::Ms;
use tracing::info;

impl Front {
    /// A server confirmed the end of a viewing, or can't be reached any more.
    pub fn end_confirmed(&mut self, now: Ms, id: &ViewingId, effects: &mut dyn Effects) {
        self.advance(now);
        if let Some(ViewingPhase::Ending(outcome)) = self.state.viewings.get(id).map(|viewing| viewing.phase)
        {
            self.viewing_ended(id, outcome, effects);
        }
    }

    /// The stream of notes from a server broke or became silent: its viewings are lost.
    pub fn server_lost(&mut self, now: Ms, server: &ServerId, effects: &mut dyn Effects) {
        let state = self.advance(now);
        let lost: Vec<ViewingId> = state.viewings_at.get(server).into_iter().flatten().cloned().collect();
        for id in lost {
            let Some(viewing) = self.state.viewings.get(&id) else {
                continue;
            };
            let (watch_id, phase, address) = (viewing.watch.clone(), viewing.phase, viewing.address.clone());
            let outcome = match phase {
                ViewingPhase::Ending(outcome) => outcome,
                _ => {
                    self.state.counts.broken_off += 1;
                    info!(viewing = %id, server = %server, cause = "server lost", "interrupted");
                    self.interrupt_watch(&watch_id);
                    // The server may be alive behind a broken connection, so it is told to end the viewing.
                    effects.end_viewing(&id, server, &address);
                    Outcome::ConnectionLost
                }
            };
            self.viewing_ended(&id, outcome, effects);
        }
    }

    /// The viewer left before the viewing played.
    pub(super) fn cancel_viewing(&mut self, id: &ViewingId, effects: &mut dyn Effects) {
        let Front { decisions, state } = self;
        let now = state.now;
        let Some(viewing) = state.viewings.remove(id) else {
            return;
        };
        state.timers.cancel(&TimerKey::TuneIn(id.clone()));
        decisions.viewer_left(now, id, &mut ActionHandler { state, effects });
        if viewing.phase == ViewingPhase::TuningIn {
            let tune_in = viewing.tune_ins - 1;
            effects.cancel_set_up(id, tune_in, &viewing.server, &viewing.address);
            let end = TuneInEnd {
                tune_in: TuneInIndex(tune_in),
                server: viewing.server,
                outcome: Outcome::CalledOff,
                last: true,
            };
            decisions.tune_in_ended(now, id, end, Load::default(), &mut ActionHandler { state, effects });
        }
    }

    /// Ends a watch, and its viewing at the server.
    pub(super) fn end_watch(
        &mut self,
        id: &WatchId,
        cause: &str,
        outcome: Outcome,
        effects: &mut dyn Effects,
    ) {
        let Some(watch) = self.state.watches.get(id) else {
            return;
        };
        let viewing_id = match &watch.stage {
            Stage::Playing(play) => Some(play.viewing.clone()),
            _ => None,
        };
        self.state.remove_watch(id);
        let Some(viewing_id) = viewing_id else {
            return;
        };
        let now = self.state.now;
        if let Some(viewing) = self.state.viewings.get_mut(&viewing_id) {
            info!(viewing = %viewing_id, server = %viewing.server, cause, "ended");
            viewing.phase = ViewingPhase::Ending(outcome);
            effects.end_viewing(&viewing_id, &viewing.server, &viewing.address);
            let timeout = self.state.settings.end_timeout;
            self.state.timers.set(TimerKey::EndConfirmation(viewing_id), now + timeout);
        }
    }

    /// Removes a viewing that played and tells the decisions.
    pub(super) fn viewing_ended(&mut self, id: &ViewingId, outcome: Outcome, effects: &mut dyn Effects) {
        let Front { decisions, state } = self;
        let now = state.now;
        let Some(viewing) = state.viewings.remove(id) else {
            return;
        };
        state.counts.ended += 1;
        state.timers.cancel(&TimerKey::EndConfirmation(id.clone()));
        if let Some(at_server) = state.viewings_at.get_mut(&viewing.server) {
            at_server.remove(id);
            if at_server.is_empty() {
                state.viewings_at.remove(&viewing.server);
                effects.close_notes(&viewing.server);
                if state.server_list.entry(&viewing.server).is_none() {
                    state.addresses.remove(&viewing.server);
                }
            }
        }
        let tune_in = TuneInIndex(viewing.tune_ins.saturating_sub(1));
        let end = TuneInEnd { tune_in, server: viewing.server, outcome, last: true };
        decisions.tune_in_ended(now, id, end, Load::default(), &mut ActionHandler { state, effects });
    }

    /// Marks a watch as interrupted; the viewer's next reload continues it.
    pub(super) fn interrupt_watch(&mut self, id: &WatchId) {
        let now = self.state.now;
        if let Some(watch) = self.state.watches.get_mut(id) {
            watch.interrupt(now);
            self.state.timers.cancel(&TimerKey::PlayedOut(id.clone()));
            let until = presence::reload_deadline(now, watch.target(), false);
            self.state.timers.set(TimerKey::Reload(id.clone()), until);
        }
    }
}

impl FrontState {
    /// Removes a viewing that does not play, and answers its requests.
    pub(super) fn finish(&mut self, id: &ViewingId, reply: Reply, effects: &mut dyn Effects) {
        let Some(viewing) = self.viewings.remove(id) else {
            return;
        };
        self.timers.cancel(&TimerKey::TuneIn(id.clone()));
        let Some(watch) = self.watches.get_mut(&viewing.watch) else {
            return;
        };
        if let Stage::Waiting { requests, .. } = std::mem::replace(&mut watch.stage, Stage::Interrupted) {
            for request in requests {
                self.requests.remove(&request);
                effects.reply(request, reply.clone());
            }
        }
        if watch.viewings == 1 {
            self.remove_watch(&viewing.watch);
        } else {
            let until = presence::reload_deadline(self.now, watch.target(), false);
            self.timers.set(TimerKey::Reload(viewing.watch), until);
        }
    }

    pub(super) fn remove_watch(&mut self, id: &WatchId) {
        self.watches.remove(id);
        self.timers.cancel(&TimerKey::Reload(id.clone()));
        self.timers.cancel(&TimerKey::PlayedOut(id.clone()));
    }
}
