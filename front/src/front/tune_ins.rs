//! Tune-ins: each one sent, and how it ended.

use super::desk::Desk;
use super::hand::Hand;
use super::owed::{Alarm, Place};
use super::Front;
use crate::decisions::TuneInEnd;
use crate::effects::{Effects, SetUp, SetUpEnd};
use crate::watch::{Play, Stage};
use ottersail::ids::{ServerId, TuneInIndex, ViewingId};
use ottersail::state::{Load, Outcome, Topic};
use ottersail::time::Ms;
use ottersail_hls::TitlePlaylist;
use ottersail_wire::report::Report;
use std::rc::Rc;
use tracing::{debug, info, warn};

impl Front {
    /// A set-up that was sent came to its end.
    pub fn set_up_ended(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        no: usize,
        end: SetUpEnd,
        report: Report,
        out: &mut dyn Effects,
    ) {
        let desk = self.at(now);
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        if seat.place != Place::Out || seat.tune_ins != no + 1 {
            return;
        }
        let (server, rung) = (seat.server.clone(), seat.rung);
        let outcome = match end {
            SetUpEnd::Playing { playlist } => {
                let key = (
                    desk.watches.get(&seat.watch).map_or(String::new(), |it| it.asked.title.clone()),
                    rung.0,
                );
                match desk.source(key, playlist.as_bytes()) {
                    Ok(source) => return self.plays(vw, &server, source, report, out),
                    Err(trouble) => {
                        warn!(viewing = %vw, server = %server, cause = %trouble, "unfit playlist");
                        let address = desk.seats[vw].address.clone();
                        out.cancel_set_up(vw, no, &server, &address);
                        Outcome::ServerError
                    }
                }
            }
            SetUpEnd::TurnedAway => Outcome::TurnedAway,
            SetUpEnd::ServerError => Outcome::ServerError,
            SetUpEnd::NoConnection => Outcome::NoConnection,
            SetUpEnd::ConnectionLost => Outcome::ConnectionLost,
            SetUpEnd::NotSent => Outcome::NotSent,
        };
        self.tune_in_failed(vw, outcome, load(report), out);
    }

    fn plays(
        &mut self,
        vw: &ViewingId,
        server: &ServerId,
        source: Rc<TitlePlaylist>,
        report: Report,
        out: &mut dyn Effects,
    ) {
        let Front { placement, desk } = self;
        let now = desk.now;
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        seat.place = Place::Playing;
        let (id, address, rung) = (seat.watch.clone(), seat.address.clone(), seat.rung);
        info!(viewing = %vw, server = %server, rung = rung.0, tune_ins = seat.tune_ins, "plays");
        desk.counts.played += 1;
        let there = desk.there.entry(server.clone()).or_default();
        if there.is_empty() {
            out.open_notes(server, &address);
        }
        there.insert(vw.clone());
        desk.play(&id, Play { vw: vw.clone(), address, rung, source }, out);
        placement.viewing_started(now, vw, server, &mut Hand { desk, out });
        for (topic, value) in [(Topic::LinkAsked, report.link), (Topic::UplinkAsked, report.uplink)] {
            if let Some(value) = value {
                self.placement.note_received(
                    now,
                    vw,
                    topic,
                    value,
                    server,
                    &mut Hand { desk: &mut self.desk, out },
                );
            }
        }
    }

    pub(super) fn tune_in_failed(
        &mut self,
        vw: &ViewingId,
        outcome: Outcome,
        load: Load,
        out: &mut dyn Effects,
    ) {
        let Front { placement, desk } = self;
        let now = desk.now;
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        seat.place = Place::Waiting;
        let (no, server) = (seat.tune_ins - 1, seat.server.clone());
        debug!(viewing = %vw, server = %server, no, ?outcome, "tune-in failed");
        let ended = TuneInEnd { tune_in: TuneInIndex(no), server, outcome, last: false };
        placement.tune_in_ended(now, vw, ended, load, &mut Hand { desk, out });
    }
}

impl Desk {
    pub(super) fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms, out: &mut dyn Effects) {
        let Some(seat) = self.seats.get_mut(vw) else {
            return;
        };
        let Some(watch) = self.watches.get(&seat.watch) else {
            return;
        };
        let (address, no) = (self.addresses.get(server).cloned().unwrap_or_default(), seat.tune_ins);
        (seat.place, seat.tune_ins, seat.server) = (Place::Out, no + 1, server.clone());
        seat.address = address.clone();
        self.counts.tune_ins += 1;
        self.timers.set(Alarm::TuneIn(vw.clone()), self.now + time_out);
        info!(viewing = %vw, server = %server, rung = seat.rung.0, no, time_out = time_out.0, "tune-in");
        // Guards against a set-up that rests on a lease and leaves after it, when another holds that part.
        let by = self.now + time_out.min(self.house.max_send_delay);
        let send_by = self.part.iter().fold(by, |by, it| by.min(Ms(it.lease_end_ms)));
        out.set_up(&SetUp {
            viewing: vw.clone(),
            tune_in: no,
            server: server.clone(),
            address,
            title: watch.asked.title.as_str().into(),
            package: watch.asked.package.clone(),
            rung: seat.rung,
            request: match &watch.stage {
                Stage::Waiting { asks, .. } => asks.first().copied(),
                _ => None,
            },
            send_by,
        });
    }
}

pub(super) fn load(report: Report) -> Load {
    Load { streams: None, link: None, link_uncapped: report.link, uplink: report.uplink }
}
