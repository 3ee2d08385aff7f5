//! The state of the front apart from the decisions.

use super::settings::FrontSettings;
use super::viewing::{TimerKey, ViewingState};
use crate::effects::{RequestId, SlotShare, WatchId};
use crate::server_list::ServerList;
use crate::timers::Timers;
use crate::watch::Watch;
use ottersail::config::PlacementConfig;
use ottersail::ids::{Rung, ServerId, ViewingId};
use ottersail::placement::LIST_LAG_FALL_WINDOWS;
use ottersail::time::Ms;
use ottersail_hls::TitlePlaylist;
use ottersail_wire::catalogue::Title;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Weak;

/// Number of cached sources from which on unused ones are removed.
pub(super) const MIN_SOURCE_SWEEP: usize = 64;

/// Event counters, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests for a title that were accepted.
    pub asked: u64,
    /// Interrupted watches that were continued by a reload.
    pub again: u64,
    /// Viewings that began to play.
    pub played: u64,
    pub blocked: u64,
    pub aborted: u64,
    /// Viewers who left before the answer.
    pub left: u64,
    /// Requests rejected at once because the front drains, is full or has no titles yet.
    pub turned_away_untaken: u64,
    pub tune_ins: u64,
    pub steps_up: u64,
    pub steps_down: u64,
    /// Viewings lost with their server.
    pub broken_off: u64,
    /// Viewings that played and ended.
    pub ended: u64,
    pub probes: u64,
}

pub(super) struct FrontState {
    pub(super) now: Ms,
    pub(super) settings: FrontSettings,
    /// Prefix of watch ids: the manager's number and its start time.
    pub(super) watch_prefix: String,
    /// Floor and rate factor of each package.
    pub(super) floors: Vec<Rung>,
    pub(super) rate_scales: Vec<f64>,
    /// Rate of each rung in kB per second.
    pub(super) ladder_kb: Vec<f64>,
    /// Retry delay of rejected requests.
    pub(super) max_stay_away: Option<Ms>,
    pub(super) timers: Timers<TimerKey>,
    /// `None` until the first list arrives. Until then no request is accepted, because no title can be called
    /// unknown: without this rule a manager that had just started answered 404.
    pub(super) titles: Option<BTreeMap<String, Title>>,
    pub(super) server_list: ServerList,
    pub(super) addresses: BTreeMap<ServerId, String>,
    pub(super) watches: BTreeMap<WatchId, Watch>,
    pub(super) viewings: BTreeMap<ViewingId, ViewingState>,
    /// Requests that wait for their answer, with their watches.
    pub(super) requests: BTreeMap<RequestId, WatchId>,
    /// Viewings that play or end at each server. Notes of a server are received while it has any.
    pub(super) viewings_at: BTreeMap<ServerId, BTreeSet<ViewingId>>,
    /// Server playlists by title and rung: the text, and the parsed source while any viewing plays it.
    pub(super) sources: BTreeMap<(String, usize), (Vec<u8>, Weak<TitlePlaylist>)>,
    /// Number of sources from which on unused ones are removed next.
    pub(super) sweep_sources_at: usize,
    pub(super) draining: bool,
    /// Until then the list may not include the starts of servers that started before this manager.
    pub(super) starts_unknown_until: Ms,
    /// Servers with an unanswered probe.
    pub(super) probes: BTreeSet<ServerId>,
    pub(super) counts: Counts,
    /// The present share of the common limits while its lease is valid.
    pub(super) slot_share: Option<SlotShare>,
}

impl FrontState {
    /// A state without titles, servers and watches.
    pub(super) fn new(now: Ms, config: &PlacementConfig, settings: FrontSettings) -> FrontState {
        let list_lag = config.cold.fall_window * LIST_LAG_FALL_WINDOWS;
        FrontState {
            now,
            watch_prefix: format!("{}-{:.0}", config.manager.0, now.0),
            floors: config.packages.iter().map(|package| package.floor).collect(),
            rate_scales: config.packages.iter().map(|package| package.rate_scale).collect(),
            ladder_kb: config.ladder_kb.clone(),
            max_stay_away: config.max_stay_away,
            settings,
            timers: Timers::new(),
            titles: None,
            server_list: ServerList::default(),
            addresses: BTreeMap::new(),
            watches: BTreeMap::new(),
            viewings: BTreeMap::new(),
            requests: BTreeMap::new(),
            viewings_at: BTreeMap::new(),
            sources: BTreeMap::new(),
            sweep_sources_at: MIN_SOURCE_SWEEP,
            draining: false,
            probes: BTreeSet::new(),
            counts: Counts::default(),
            starts_unknown_until: now + config.cold.warm_up.min(list_lag),
            slot_share: None,
        }
    }
}
