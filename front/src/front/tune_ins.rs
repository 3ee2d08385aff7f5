//! Tune-ins: sending set-ups, and their results.

use super::actions::ActionHandler;
use super::state::FrontState;
use super::viewing::{TimerKey, ViewingPhase};
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
    /// A set-up ended. Results of any but the current tune-in are ignored.
    pub fn set_up_ended(
        &mut self,
        now: Ms,
        id: &ViewingId,
        tune_in: usize,
        end: SetUpEnd,
        report: Report,
        effects: &mut dyn Effects,
    ) {
        let state = self.advance(now);
        let Some(viewing) = state.viewings.get_mut(id) else {
            return;
        };
        if viewing.phase != ViewingPhase::TuningIn || viewing.tune_ins != tune_in + 1 {
            return;
        }
        let (server, rung) = (viewing.server.clone(), viewing.rung);
        let outcome = match end {
            SetUpEnd::Playing { playlist } => {
                let watch = state.watches.get(&viewing.watch);
                let title = watch.map_or(String::new(), |watch| watch.request.title.clone());
                match state.source((title, rung.0), playlist.as_bytes()) {
                    Ok(source) => return self.start_playing(id, &server, source, report, effects),
                    Err(error) => {
                        warn!(viewing = %id, server = %server, cause = %error, "invalid playlist");
                        let address = state.viewings[id].address.clone();
                        effects.cancel_set_up(id, tune_in, &server, &address);
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
        self.tune_in_failed(id, outcome, load(report), effects);
    }

    fn start_playing(
        &mut self,
        id: &ViewingId,
        server: &ServerId,
        source: Rc<TitlePlaylist>,
        report: Report,
        effects: &mut dyn Effects,
    ) {
        let Front { decisions, state } = self;
        let now = state.now;
        state.timers.cancel(&TimerKey::TuneIn(id.clone()));
        let Some(viewing) = state.viewings.get_mut(id) else {
            return;
        };
        viewing.phase = ViewingPhase::Playing;
        let (watch_id, address, rung) = (viewing.watch.clone(), viewing.address.clone(), viewing.rung);
        info!(viewing = %id, server = %server, rung = rung.0, tune_ins = viewing.tune_ins, "plays");
        state.counts.played += 1;
        let at_server = state.viewings_at.entry(server.clone()).or_default();
        if at_server.is_empty() {
            effects.open_notes(server, &address);
        }
        at_server.insert(id.clone());
        state.play(&watch_id, Play { viewing: id.clone(), address, rung, source }, effects);
        decisions.viewing_started(now, id, server, &mut ActionHandler { state, effects });
        for (topic, value) in [(Topic::LinkAsked, report.link), (Topic::UplinkAsked, report.uplink)] {
            if let Some(value) = value {
                let mut handler = ActionHandler { state, effects };
                decisions.note_received(now, id, topic, value, server, &mut handler);
            }
        }
    }

    /// Ends a tune-in that did not succeed; the viewing waits for another, or for its final answer.
    pub(super) fn tune_in_failed(
        &mut self,
        id: &ViewingId,
        outcome: Outcome,
        load: Load,
        effects: &mut dyn Effects,
    ) {
        let Front { decisions, state } = self;
        let now = state.now;
        state.timers.cancel(&TimerKey::TuneIn(id.clone()));
        let Some(viewing) = state.viewings.get_mut(id) else {
            return;
        };
        viewing.phase = ViewingPhase::Waiting;
        let (tune_in, server) = (viewing.tune_ins - 1, viewing.server.clone());
        debug!(viewing = %id, server = %server, no = tune_in, ?outcome, "tune-in failed");
        let end = TuneInEnd { tune_in: TuneInIndex(tune_in), server, outcome, last: false };
        decisions.tune_in_ended(now, id, end, load, &mut ActionHandler { state, effects });
    }
}

impl FrontState {
    /// Sends a set-up and starts its time-out.
    pub(super) fn send_set_up(
        &mut self,
        id: &ViewingId,
        server: &ServerId,
        time_out: Ms,
        effects: &mut dyn Effects,
    ) {
        let Some(viewing) = self.viewings.get_mut(id) else {
            return;
        };
        let Some(watch) = self.watches.get(&viewing.watch) else {
            return;
        };
        let (address, tune_in) = (self.addresses.get(server).cloned().unwrap_or_default(), viewing.tune_ins);
        (viewing.phase, viewing.tune_ins) = (ViewingPhase::TuningIn, tune_in + 1);
        (viewing.server, viewing.address) = (server.clone(), address.clone());
        let rung = viewing.rung;
        self.counts.tune_ins += 1;
        self.timers.set(TimerKey::TuneIn(id.clone()), self.now + time_out);
        let time_out_ms = time_out.0;
        info!(viewing = %id, server = %server, rung = rung.0, no = tune_in, time_out = time_out_ms, "tune-in");
        // A set-up that relies on a leased slot must not leave after the lease, when another manager holds
        // the slot.
        let latest = self.now + time_out.min(self.settings.max_send_delay);
        let lease_end = self.slot_share.as_ref().map(|share| Ms(share.lease_end_ms));
        let send_by = lease_end.map_or(latest, |end| latest.min(end));
        effects.set_up(&SetUp {
            viewing: id.clone(),
            tune_in,
            server: server.clone(),
            address,
            title: watch.request.title.as_str().into(),
            package: watch.request.package.clone(),
            rung,
            request: match &watch.stage {
                Stage::Waiting { requests, .. } => requests.first().copied(),
                _ => None,
            },
            send_by,
        });
    }
}

/// A report in the form that the decisions take.
pub(super) fn load(report: Report) -> Load {
    Load { streams: None, link: None, link_uncapped: report.link, uplink: report.uplink }
}
