//! Notes of servers, and answers to probes.

use super::actions::ActionHandler;
use super::tune_ins::load;
use super::viewing::{TimerKey, ViewingPhase};
use super::Front;
use crate::effects::Effects;
use ottersail::ids::{ServerId, ViewingId};
use ottersail::state::{Outcome, Topic};
use ottersail::time::Ms;
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use tracing::info;

impl Front {
    /// A server sent a note.
    pub fn note_received(&mut self, now: Ms, server: &ServerId, note: &Note, effects: &mut dyn Effects) {
        self.advance(now);
        match note {
            Note::Alive => {}
            Note::Load(report) => {
                let values = [
                    (Topic::ShareDelivered, report.delivered),
                    (Topic::LinkAsked, report.link),
                    (Topic::UplinkAsked, report.uplink),
                ];
                for (topic, value) in values {
                    self.forward_load(server, topic, value, effects);
                }
            }
            Note::Ended { viewing, .. } => {
                let id = ViewingId::from(viewing.as_str());
                let viewing = self.state.viewings.get(&id);
                let Some(viewing) = viewing.filter(|viewing| viewing.server == *server) else {
                    return;
                };
                let watch_id = viewing.watch.clone();
                match viewing.phase {
                    ViewingPhase::Ending(outcome) => self.viewing_ended(&id, outcome, effects),
                    ViewingPhase::Playing => {
                        info!(viewing = %id, server = %server, cause = "ended by its server", "ended");
                        self.interrupt_watch(&watch_id);
                        self.viewing_ended(&id, Outcome::CalledOff, effects);
                    }
                    ViewingPhase::Waiting | ViewingPhase::TuningIn => {}
                }
            }
        }
    }

    /// A probe was answered or failed. Anything that arrives after its time-out is ignored.
    pub fn probe_ended(
        &mut self,
        now: Ms,
        server: &ServerId,
        report: Option<Report>,
        effects: &mut dyn Effects,
    ) {
        self.advance(now);
        if !self.state.probes.remove(server) {
            return;
        }
        self.state.timers.cancel(&TimerKey::Probe(server.clone()));
        let outcome = if report.is_some() { Outcome::Served } else { Outcome::NoAnswer };
        let Front { decisions, state } = self;
        let load = report.map(load).unwrap_or_default();
        decisions.probe_ended(now, server, outcome, load, &mut ActionHandler { state, effects });
    }

    /// Passes a value to the decisions as a note about one viewing that plays at the server, as a rule the
    /// oldest.
    fn forward_load(
        &mut self,
        server: &ServerId,
        topic: Topic,
        value: Option<f64>,
        effects: &mut dyn Effects,
    ) {
        let Front { decisions, state } = self;
        let plays = |id: &&ViewingId| {
            state.viewings.get(*id).is_some_and(|viewing| viewing.phase == ViewingPhase::Playing)
        };
        let id = state.viewings_at.get(server).and_then(|ids| ids.iter().find(plays)).cloned();
        if let (Some(id), Some(value)) = (id, value) {
            let now = state.now;
            decisions.note_received(now, &id, topic, value, server, &mut ActionHandler { state, effects });
        }
    }
}
