//! Requests of players: what is taken, what is turned away untaken, and who left.

use super::desk::Desk;
use super::hand::Hand;
use super::owed::{Alarm, Place, Seat};
use super::Front;
use crate::effects::{Effects, Reply, RequestId, TitleRequest, WatchId};
use crate::presence;
use crate::watch::{Stage, Watch};
use ottersail::ids::{Rung, ViewingId};
use ottersail::state::ViewingRequest;
use ottersail::time::Ms;
use ottersail_wire::catalogue::Title;
use tracing::{debug, info};

/// Requests that may wait for the answer to one viewing: a player that reloads while it waits.
const MOST_PENDING: usize = 4;
/// Patience may be told from here to there, in milliseconds.
const PATIENCE: std::ops::RangeInclusive<f64> = 50.0..=120_000.0;

impl Front {
    /// A player asks for a title. It is taken, or answered at once.
    pub fn request_title(&mut self, now: Ms, ask: RequestId, asked: TitleRequest, out: &mut dyn Effects) {
        let desk = self.at(now);
        if desk.full() {
            desk.counts.turned_away_untaken += 1;
            let stay_away = desk.stay_away.map(|it| it.0);
            info!(ask = ask.0, cause = desk.why_full(), "turned away untaken");
            return out.reply(ask, Reply::Blocked { stay_away });
        }
        if desk.title(&asked.title).is_none() {
            return out.reply(ask, Reply::Unknown(format!("no title {:?}", asked.title)));
        }
        let Some(package) = self.placement.package_named(&asked.package) else {
            return out.reply(ask, Reply::Unfit(format!("no package {:?}", asked.package)));
        };
        let tenant = asked.tenant.as_deref().and_then(|it| self.placement.tenant_named(it));
        if asked.tenant.is_some() && tenant.is_none() {
            return out.reply(ask, Reply::Unfit("no such tenant".into()));
        }
        if !PATIENCE.contains(&asked.patience_ms) {
            let text = format!("patience-ms must be from {} to {}", PATIENCE.start(), PATIENCE.end());
            return out.reply(ask, Reply::Unfit(text));
        }
        let desk = &mut self.desk;
        desk.counts.asked += 1;
        let id = WatchId(format!("{}-{}", desk.prefix, desk.counts.asked));
        desk.watches.insert(
            id.clone(),
            Watch {
                asked,
                package,
                tenant,
                viewings: 0,
                stage: Stage::Broken,
                edition: Default::default(),
                began: now,
                next: 0,
                seam: false,
                reloaded: false,
            },
        );
        self.take(id, ask, out);
    }

    /// A player reloads the playlist of its watch; `unread` is the number in the media sequence it wants
    /// next.
    pub fn request_playlist(
        &mut self,
        now: Ms,
        ask: RequestId,
        id: &WatchId,
        unread: Option<u64>,
        out: &mut dyn Effects,
    ) {
        let desk = self.at(now);
        let full = desk.full();
        let Some(watch) = desk.watches.get_mut(id) else {
            return out.reply(ask, Reply::Unknown(format!("no watch {id}")));
        };
        watch.reloaded = true;
        match &mut watch.stage {
            Stage::Playing(_) => {
                let text = desk.publish(id);
                out.reply(ask, Reply::Playlist(text));
            }
            Stage::Waiting { asks, .. } if asks.len() < MOST_PENDING => {
                asks.push(ask);
                desk.asks.insert(ask, id.clone());
            }
            Stage::Waiting { .. } => out.reply(ask, Reply::Unfit("too many requests for one watch".into())),
            Stage::Broken if full => {
                desk.counts.turned_away_untaken += 1;
                let stay_away = desk.stay_away.map(|it| it.0);
                out.reply(ask, Reply::Blocked { stay_away });
            }
            Stage::Broken => {
                watch.resume(unread);
                desk.counts.again += 1;
                self.take(id.clone(), ask, out);
            }
        }
    }

    /// A player closed its connection before the answer.
    pub fn request_closed(&mut self, now: Ms, ask: RequestId, out: &mut dyn Effects) {
        let desk = self.at(now);
        let Some(id) = desk.asks.remove(&ask) else {
            return;
        };
        let Some(watch) = desk.watches.get_mut(&id) else {
            return;
        };
        let Stage::Waiting { vw, asks } = &mut watch.stage else {
            return;
        };
        asks.retain(|it| *it != ask);
        if !asks.is_empty() {
            return;
        }
        let vw = vw.clone();
        desk.counts.left += 1;
        info!(viewing = %vw, cause = "viewer left before the answer", "ended");
        watch.stage = Stage::Broken;
        if watch.viewings == 1 {
            desk.forget(&id);
        } else {
            let until = presence::silent_until(now, watch.target(), false);
            desk.timers.set(Alarm::Silent(id), until);
        }
        self.viewer_gone(&vw, out);
    }

    /// A viewing begins: it is owed one answer, before patience ends.
    fn take(&mut self, id: WatchId, ask: RequestId, out: &mut dyn Effects) {
        let Front { placement, desk } = self;
        let now = desk.now;
        let Some(watch) = desk.watches.get_mut(&id) else {
            return;
        };
        watch.viewings += 1;
        let vw = ViewingId::from(format!("{id}.{}", watch.viewings).as_str());
        watch.stage = Stage::Waiting { vw: vw.clone(), asks: vec![ask] };
        let Some(title) = desk.titles.as_ref().and_then(|it| it.get(&watch.asked.title)) else {
            // The title was taken from the list since.
            desk.forget(&id);
            return out.reply(ask, Reply::Unknown("the title is gone".into()));
        };
        let wish = ViewingRequest {
            viewing: vw.clone(),
            package: watch.package,
            tenant: watch.tenant,
            title: title.name.as_str().into(),
            first_cell: title.base,
            cell_count: title.copies,
            max_rung: Rung(watch.asked.max_rung.min(desk.ladder_kb.len().saturating_sub(1))),
            deadline: presence::due(now, Ms(watch.asked.patience_ms)),
            expected_duration: None,
        };
        debug!(viewing = %vw, title = %title.name, package = %watch.asked.package, "taken");
        desk.timers.cancel(&Alarm::Silent(id.clone()));
        desk.timers.cancel(&Alarm::Over(id.clone()));
        desk.asks.insert(ask, id.clone());
        let rung = desk.floors[watch.package.0];
        desk.seats.insert(
            vw,
            Seat {
                watch: id,
                place: Place::Waiting,
                tune_ins: 0,
                server: "".into(),
                address: String::new(),
                rung,
                changing: None,
                then: None,
                late: false,
            },
        );
        placement.request_viewing(now, wish, &mut Hand { desk, out });
    }
}

impl Desk {
    fn full(&self) -> bool {
        self.draining
            || self.titles.is_none()
            || self.asks.len() >= self.house.max_waiting
            || self.watches.len() >= self.house.max_watches
    }

    fn why_full(&self) -> &'static str {
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
