//! What servers tell of themselves, unasked or probed.

use super::hand::Hand;
use super::owed::{Alarm, Place};
use super::tune_ins::load;
use super::Front;
use crate::effects::Effects;
use ottersail::ids::{ServerId, ViewingId};
use ottersail::state::{Outcome, Topic};
use ottersail::time::Ms;
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use tracing::info;

impl Front {
    /// A server tells of itself.
    pub fn note_received(&mut self, now: Ms, server: &ServerId, note: &Note, out: &mut dyn Effects) {
        self.at(now);
        match note {
            Note::Alive => {}
            Note::Load(report) => {
                let topics = [
                    (Topic::ShareDelivered, report.delivered),
                    (Topic::LinkAsked, report.link),
                    (Topic::UplinkAsked, report.uplink),
                ];
                for (topic, value) in topics {
                    self.tell_load(server, topic, value, out);
                }
            }
            Note::Ended { viewing, .. } => {
                let vw = ViewingId::from(viewing.as_str());
                let Some(seat) = self.desk.seats.get(&vw).filter(|it| it.server == *server) else {
                    return;
                };
                let id = seat.watch.clone();
                match seat.place {
                    Place::Ending(outcome) => self.viewing_ended(&vw, outcome, out),
                    Place::Playing => {
                        info!(viewing = %vw, server = %server, cause = "ended by its server", "ended");
                        self.break_watch(&id);
                        self.viewing_ended(&vw, Outcome::CalledOff, out);
                    }
                    Place::Waiting | Place::Out => {}
                }
            }
        }
    }

    /// A probe was answered, or failed. What comes after it was given up is not told.
    pub fn probe_ended(&mut self, now: Ms, server: &ServerId, report: Option<Report>, out: &mut dyn Effects) {
        self.at(now);
        if !self.desk.probes.remove(server) {
            return;
        }
        self.desk.timers.cancel(&Alarm::Probe(server.clone()));
        let outcome = if report.is_some() { Outcome::Served } else { Outcome::NoAnswer };
        let Front { placement, desk } = self;
        let load = report.map(load).unwrap_or_default();
        placement.probe_ended(now, server, outcome, load, &mut Hand { desk, out });
    }

    /// A note is told on one viewing that plays there, as a rule the oldest.
    fn tell_load(&mut self, server: &ServerId, topic: Topic, value: Option<f64>, out: &mut dyn Effects) {
        let Front { placement, desk } = self;
        let playing = |it: &&ViewingId| desk.seats.get(*it).is_some_and(|it| it.place == Place::Playing);
        let vw = desk.there.get(server).and_then(|it| it.iter().find(playing)).cloned();
        if let (Some(vw), Some(value)) = (vw, value) {
            placement.note_received(desk.now, &vw, topic, value, server, &mut Hand { desk, out });
        }
    }
}
