//! Changes of the rung of playing viewings.

use super::actions::ActionHandler;
use super::state::FrontState;
use super::viewing::ViewingPhase;
use super::Front;
use crate::effects::Effects;
use ottersail::ids::{Rung, ViewingId};
use ottersail::state::Topic;
use ottersail::time::Ms;
use tracing::{info, warn};

impl Front {
    /// A server answered a change of rung with the playlist at that rung, or the change failed (`None`).
    pub fn rung_changed(
        &mut self,
        now: Ms,
        id: &ViewingId,
        rung: usize,
        playlist: Option<&str>,
        effects: &mut dyn Effects,
    ) {
        let state = self.advance(now);
        let viewing = state.viewings.get_mut(id);
        let Some(viewing) = viewing.filter(|viewing| viewing.requested_rung == Some(Rung(rung))) else {
            return;
        };
        viewing.requested_rung = None;
        let next_rung = viewing.next_rung.take();
        let (server, address) = (viewing.server.clone(), viewing.address.clone());
        if viewing.phase != ViewingPhase::Playing {
            return;
        }
        let watch_id = viewing.watch.clone();
        let title = state.watches.get(&watch_id).map_or(String::new(), |watch| watch.request.title.clone());
        let source = playlist.map(|text| state.source((title, rung), text.as_bytes()));
        let rung_in_force = match source {
            Some(Ok(source)) => {
                let viewing = state.viewings.get_mut(id);
                let previous =
                    viewing.map_or(Rung(rung), |viewing| std::mem::replace(&mut viewing.rung, Rung(rung)));
                if previous < Rung(rung) {
                    state.counts.steps_up += 1;
                } else {
                    state.counts.steps_down += 1;
                }
                if let Some(watch) = state.watches.get_mut(&watch_id) {
                    watch.change_rung(Rung(rung), source);
                }
                Rung(rung)
            }
            _ => {
                warn!(viewing = %id, server = %server, rung, "change of rung failed");
                state.viewings[id].rung
            }
        };
        match next_rung.filter(|rung| *rung != rung_in_force) {
            Some(rung) => {
                if let Some(viewing) = state.viewings.get_mut(id) {
                    viewing.requested_rung = Some(rung);
                }
                effects.change_rung(id, &server, &address, rung);
            }
            None => {
                let Front { decisions, state } = self;
                let (topic, value) = (Topic::RungInForce, rung_in_force.0 as f64);
                let mut handler = ActionHandler { state, effects };
                decisions.note_received(now, id, topic, value, &server, &mut handler);
            }
        }
    }
}

impl FrontState {
    /// Sets the rung of the next tune-in, or requests it from the server of a playing viewing. While another
    /// change is unanswered, the new one waits.
    pub(super) fn step_to(&mut self, id: &ViewingId, rung: Rung, effects: &mut dyn Effects) {
        let Some(viewing) = self.viewings.get_mut(id) else {
            return;
        };
        match viewing.phase {
            ViewingPhase::Waiting => viewing.rung = rung,
            ViewingPhase::Playing => {
                let (server, from) = (&viewing.server, viewing.rung.0);
                info!(viewing = %id, server = %server, from, rung = rung.0, "changing rung");
                if viewing.requested_rung.is_some() {
                    viewing.next_rung = Some(rung);
                } else {
                    viewing.requested_rung = Some(rung);
                    effects.change_rung(id, &viewing.server, &viewing.address, rung);
                }
            }
            ViewingPhase::TuningIn | ViewingPhase::Ending(_) => {}
        }
    }
}
