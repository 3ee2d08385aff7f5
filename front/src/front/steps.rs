//! Steps from one rung to another, of what plays.

use super::desk::Desk;
use super::hand::Hand;
use super::owed::Place;
use super::Front;
use crate::effects::Effects;
use ottersail::ids::{Rung, ViewingId};
use ottersail::state::Topic;
use ottersail::time::Ms;
use tracing::{info, warn};

impl Front {
    /// A change of rung was answered, by that rung's playlist, or failed.
    pub fn rung_changed(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        rung: usize,
        playlist: Option<&str>,
        out: &mut dyn Effects,
    ) {
        let desk = self.at(now);
        let Some(seat) = desk.seats.get_mut(vw).filter(|it| it.changing == Some(Rung(rung))) else {
            return;
        };
        seat.changing = None;
        let (then, server, address) = (seat.then.take(), seat.server.clone(), seat.address.clone());
        if seat.place != Place::Playing {
            return;
        }
        let id = seat.watch.clone();
        let title = desk.watches.get(&id).map_or(String::new(), |it| it.asked.title.clone());
        let source = playlist.map(|it| desk.source((title, rung), it.as_bytes()));
        let in_force = match source {
            Some(Ok(source)) => {
                let seat = desk.seats.get_mut(vw);
                let before = seat.map_or(Rung(rung), |it| std::mem::replace(&mut it.rung, Rung(rung)));
                if before < Rung(rung) {
                    desk.counts.steps_up += 1;
                } else {
                    desk.counts.steps_down += 1;
                }
                if let Some(watch) = desk.watches.get_mut(&id) {
                    watch.step(Rung(rung), source);
                }
                Rung(rung)
            }
            _ => {
                warn!(viewing = %vw, server = %server, rung, "the change of rung failed");
                desk.seats[vw].rung
            }
        };
        match then.filter(|it| *it != in_force) {
            Some(rung) => {
                if let Some(seat) = desk.seats.get_mut(vw) {
                    seat.changing = Some(rung);
                }
                out.change_rung(vw, &server, &address, rung);
            }
            None => {
                let Front { placement, desk } = self;
                let value = in_force.0 as f64;
                placement.note_received(now, vw, Topic::RungInForce, value, &server, &mut Hand { desk, out });
            }
        }
    }
}

impl Desk {
    pub(super) fn step_to(&mut self, vw: &ViewingId, rung: Rung, out: &mut dyn Effects) {
        let Some(seat) = self.seats.get_mut(vw) else {
            return;
        };
        match seat.place {
            Place::Waiting => seat.rung = rung,
            Place::Playing => {
                info!(viewing = %vw, server = %seat.server, from = seat.rung.0, rung = rung.0, "step");
                if seat.changing.is_some() {
                    seat.then = Some(rung);
                } else {
                    seat.changing = Some(rung);
                    out.change_rung(vw, &seat.server, &seat.address, rung);
                }
            }
            Place::Out | Place::Ending(_) => {}
        }
    }
}
