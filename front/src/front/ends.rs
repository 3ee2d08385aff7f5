//! Ends of viewings and of watches, whoever brings them about: the viewer, a server or the title's end.

use super::desk::Desk;
use super::hand::Hand;
use super::owed::{Alarm, Place};
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
    pub fn end_confirmed(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn Effects) {
        self.at(now);
        if let Some(Place::Ending(outcome)) = self.desk.seats.get(vw).map(|it| it.place) {
            self.viewing_ended(vw, outcome, out);
        }
    }

    /// The stream of notes from a server broke or fell silent: what plays there is lost.
    pub fn server_lost(&mut self, now: Ms, server: &ServerId, out: &mut dyn Effects) {
        let desk = self.at(now);
        let there: Vec<ViewingId> = desk.there.get(server).into_iter().flatten().cloned().collect();
        for vw in there {
            let Some(seat) = self.desk.seats.get(&vw) else {
                continue;
            };
            let (id, place, address) = (seat.watch.clone(), seat.place, seat.address.clone());
            let outcome = match place {
                Place::Ending(outcome) => outcome,
                _ => {
                    self.desk.counts.broken_off += 1;
                    info!(viewing = %vw, server = %server, cause = "server lost", "broken off");
                    self.break_watch(&id);
                    // It may only be out of reach: it is told, should it hear.
                    out.end_viewing(&vw, server, &address);
                    Outcome::ConnectionLost
                }
            };
            self.viewing_ended(&vw, outcome, out);
        }
    }

    /// The viewer of a viewing that does not play yet is gone.
    pub(super) fn viewer_gone(&mut self, vw: &ViewingId, out: &mut dyn Effects) {
        let Front { placement, desk } = self;
        let now = desk.now;
        let Some(seat) = desk.seats.remove(vw) else {
            return;
        };
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        placement.viewer_left(now, vw, &mut Hand { desk, out });
        if seat.place == Place::Out {
            let no = seat.tune_ins - 1;
            out.cancel_set_up(vw, no, &seat.server, &seat.address);
            let ended = TuneInEnd {
                tune_in: TuneInIndex(no),
                server: seat.server,
                outcome: Outcome::CalledOff,
                last: true,
            };
            placement.tune_in_ended(now, vw, ended, Load::default(), &mut Hand { desk, out });
        }
    }

    /// A watch comes to its end.
    pub(super) fn over(&mut self, id: &WatchId, cause: &str, outcome: Outcome, out: &mut dyn Effects) {
        let Some(watch) = self.desk.watches.get(id) else {
            return;
        };
        let vw = match &watch.stage {
            Stage::Playing(play) => Some(play.vw.clone()),
            _ => None,
        };
        self.desk.forget(id);
        let Some(vw) = vw else {
            return;
        };
        let now = self.desk.now;
        if let Some(seat) = self.desk.seats.get_mut(&vw) {
            info!(viewing = %vw, server = %seat.server, cause, "ended");
            seat.place = Place::Ending(outcome);
            out.end_viewing(&vw, &seat.server, &seat.address);
            self.desk.timers.set(Alarm::Linger(vw), now + self.desk.house.end_timeout);
        }
    }

    /// The module is told the end of a viewing that played; its place is free.
    pub(super) fn viewing_ended(&mut self, vw: &ViewingId, outcome: Outcome, out: &mut dyn Effects) {
        let Front { placement, desk } = self;
        let now = desk.now;
        let Some(seat) = desk.seats.remove(vw) else {
            return;
        };
        desk.counts.ended += 1;
        desk.timers.cancel(&Alarm::Linger(vw.clone()));
        if let Some(there) = desk.there.get_mut(&seat.server) {
            there.remove(vw);
            if there.is_empty() {
                desk.there.remove(&seat.server);
                out.close_notes(&seat.server);
                if desk.roster.entry(&seat.server).is_none() {
                    desk.addresses.remove(&seat.server);
                }
            }
        }
        let no = TuneInIndex(seat.tune_ins.saturating_sub(1));
        let ended = TuneInEnd { tune_in: no, server: seat.server, outcome, last: true };
        placement.tune_in_ended(now, vw, ended, Load::default(), &mut Hand { desk, out });
    }

    pub(super) fn break_watch(&mut self, id: &WatchId) {
        let now = self.desk.now;
        if let Some(watch) = self.desk.watches.get_mut(id) {
            watch.break_off(now);
            self.desk.timers.cancel(&Alarm::Over(id.clone()));
            let until = presence::silent_until(now, watch.target(), false);
            self.desk.timers.set(Alarm::Silent(id.clone()), until);
        }
    }
}

impl Desk {
    /// The final answer to a viewing that does not play.
    pub(super) fn finish(&mut self, vw: &ViewingId, reply: Reply, out: &mut dyn Effects) {
        let Some(seat) = self.seats.remove(vw) else {
            return;
        };
        self.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(watch) = self.watches.get_mut(&seat.watch) else {
            return;
        };
        if let Stage::Waiting { asks, .. } = std::mem::replace(&mut watch.stage, Stage::Broken) {
            for ask in asks {
                self.asks.remove(&ask);
                out.reply(ask, reply.clone());
            }
        }
        if watch.viewings == 1 {
            self.forget(&seat.watch);
        } else {
            let until = presence::silent_until(self.now, watch.target(), false);
            self.timers.set(Alarm::Silent(seat.watch), until);
        }
    }

    pub(super) fn forget(&mut self, id: &WatchId) {
        self.watches.remove(id);
        self.timers.cancel(&Alarm::Silent(id.clone()));
        self.timers.cancel(&Alarm::Over(id.clone()));
    }
}
