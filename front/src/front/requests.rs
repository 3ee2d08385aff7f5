//! Requests of players: which are accepted, which are rejected, and which are closed before the answer.

use super::actions::ActionHandler;
use super::state::FrontState;
use super::viewing::{TimerKey, ViewingPhase, ViewingState};
use super::Front;
use crate::effects::{Effects, Reply, RequestId, TitleRequest, WatchId};
use crate::presence;
use crate::watch::{Stage, Watch};
use ottersail::ids::{Rung, ViewingId};
use ottersail::state::ViewingRequest;
use ottersail::time::Ms;
use ottersail_wire::catalogue::Title;
use tracing::{debug, info};

/// Limit on the requests that wait for one viewing; a player may reload while it waits.
const MAX_PENDING_PER_WATCH: usize = 4;
/// Permitted patience in milliseconds.
const PATIENCE_MS: std::ops::RangeInclusive<f64> = 50.0..=120_000.0;

impl Front {
    /// A player requests a title. The request is accepted, or answered at once.
    pub fn request_title(
        &mut self,
        now: Ms,
        request: RequestId,
        title_request: TitleRequest,
        effects: &mut dyn Effects,
    ) {
        let state = self.advance(now);
        if state.is_full() {
            state.counts.turned_away_untaken += 1;
            let stay_away = state.max_stay_away.map(|span| span.0);
            info!(ask = request.0, cause = state.full_cause(), "request rejected");
            return effects.reply(request, Reply::Blocked { stay_away });
        }
        if state.title(&title_request.title).is_none() {
            return effects.reply(request, Reply::Unknown(format!("no title {:?}", title_request.title)));
        }
        let Some(package) = self.decisions.package_named(&title_request.package) else {
            return effects.reply(request, Reply::Unfit(format!("no package {:?}", title_request.package)));
        };
        let tenant = title_request.tenant.as_deref().and_then(|name| self.decisions.tenant_named(name));
        if title_request.tenant.is_some() && tenant.is_none() {
            return effects.reply(request, Reply::Unfit("no such tenant".into()));
        }
        if !PATIENCE_MS.contains(&title_request.patience_ms) {
            let text = format!("patience-ms must be from {} to {}", PATIENCE_MS.start(), PATIENCE_MS.end());
            return effects.reply(request, Reply::Unfit(text));
        }
        let state = &mut self.state;
        state.counts.asked += 1;
        let id = WatchId(format!("{}-{}", state.watch_prefix, state.counts.asked));
        state.watches.insert(id.clone(), Watch::new(now, title_request, package, tenant));
        self.start_viewing(id, request, effects);
    }

    /// A player reloads the playlist of its watch. `next_sequence` is the media sequence number that it wants
    /// next.
    pub fn request_playlist(
        &mut self,
        now: Ms,
        request: RequestId,
        id: &WatchId,
        next_sequence: Option<u64>,
        effects: &mut dyn Effects,
    ) {
        let state = self.advance(now);
        let full = state.is_full();
        let Some(watch) = state.watches.get_mut(id) else {
            return effects.reply(request, Reply::Unknown(format!("no watch {id}")));
        };
        match &mut watch.stage {
            Stage::Playing(_) => {
                let text = state.publish(id);
                effects.reply(request, Reply::Playlist(text));
            }
            Stage::Waiting { requests, .. } if requests.len() < MAX_PENDING_PER_WATCH => {
                requests.push(request);
                state.requests.insert(request, id.clone());
            }
            Stage::Waiting { .. } => {
                effects.reply(request, Reply::Unfit("too many requests for one watch".into()));
            }
            Stage::Interrupted if full => {
                state.counts.turned_away_untaken += 1;
                let stay_away = state.max_stay_away.map(|span| span.0);
                effects.reply(request, Reply::Blocked { stay_away });
            }
            Stage::Interrupted => {
                watch.resume(next_sequence);
                state.counts.again += 1;
                self.start_viewing(id.clone(), request, effects);
            }
        }
    }

    /// A player closed its connection before the answer.
    pub fn request_closed(&mut self, now: Ms, request: RequestId, effects: &mut dyn Effects) {
        let state = self.advance(now);
        let Some(id) = state.requests.remove(&request) else {
            return;
        };
        let Some(watch) = state.watches.get_mut(&id) else {
            return;
        };
        let Stage::Waiting { viewing, requests } = &mut watch.stage else {
            return;
        };
        requests.retain(|waiting| *waiting != request);
        if !requests.is_empty() {
            return;
        }
        let viewing = viewing.clone();
        state.counts.left += 1;
        info!(viewing = %viewing, cause = "viewer left before the answer", "ended");
        watch.stage = Stage::Interrupted;
        if watch.viewings == 1 {
            state.remove_watch(&id);
        } else {
            let until = presence::reload_deadline(now, watch.target(), false);
            state.timers.set(TimerKey::Reload(id), until);
        }
        self.cancel_viewing(&viewing, effects);
    }

    /// Starts a viewing of the watch. The request will get one answer before the patience ends.
    fn start_viewing(&mut self, id: WatchId, request: RequestId, effects: &mut dyn Effects) {
        let Front { decisions, state } = self;
        let now = state.now;
        let Some(watch) = state.watches.get_mut(&id) else {
            return;
        };
        watch.viewings += 1;
        let viewing = ViewingId::from(format!("{id}.{}", watch.viewings).as_str());
        watch.stage = Stage::Waiting { viewing: viewing.clone(), requests: vec![request] };
        let Some(title) = state.titles.as_ref().and_then(|titles| titles.get(&watch.request.title)) else {
            // The title was removed from the list while the viewer watched it.
            state.remove_watch(&id);
            return effects.reply(request, Reply::Unknown("the title is gone".into()));
        };
        let viewing_request = ViewingRequest {
            viewing: viewing.clone(),
            package: watch.package,
            tenant: watch.tenant,
            title: title.name.as_str().into(),
            first_cell: title.base,
            cell_count: title.copies,
            max_rung: Rung(watch.request.max_rung.min(state.ladder_kb.len().saturating_sub(1))),
            deadline: presence::answer_deadline(now, Ms(watch.request.patience_ms)),
            expected_duration: None,
        };
        let package = &watch.request.package;
        debug!(viewing = %viewing, title = %title.name, package = %package, "request accepted");
        state.timers.cancel(&TimerKey::Reload(id.clone()));
        state.timers.cancel(&TimerKey::PlayedOut(id.clone()));
        state.requests.insert(request, id.clone());
        let rung = state.floors[watch.package.0];
        state.viewings.insert(
            viewing,
            ViewingState {
                watch: id,
                phase: ViewingPhase::Waiting,
                tune_ins: 0,
                server: "".into(),
                address: String::new(),
                rung,
                requested_rung: None,
                next_rung: None,
                timed_out: false,
            },
        );
        decisions.request_viewing(now, viewing_request, &mut ActionHandler { state, effects });
    }
}

impl FrontState {
    /// Whether new requests are rejected.
    fn is_full(&self) -> bool {
        self.draining
            || self.titles.is_none()
            || self.requests.len() >= self.settings.max_waiting
            || self.watches.len() >= self.settings.max_watches
    }

    /// Why requests are rejected, for the log.
    fn full_cause(&self) -> &'static str {
        match () {
            () if self.draining => "draining",
            () if self.titles.is_none() => "no titles yet",
            () => "queue full",
        }
    }

    fn title(&self, name: &str) -> Option<&Title> {
        self.titles.as_ref()?.get(name)
    }
}
