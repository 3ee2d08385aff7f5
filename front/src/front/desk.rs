//! All that the front holds but the decisions.

use super::house::FrontSettings;
use super::owed::{Alarm, Seat};
use crate::effects::{RequestId, SlotShare, WatchId};
use crate::roster::Roster;
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

/// What has happened so far, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub again: u64,
    pub played: u64,
    pub blocked: u64,
    pub aborted: u64,
    pub left: u64,
    pub turned_away_untaken: u64,
    pub tune_ins: u64,
    pub steps_up: u64,
    pub steps_down: u64,
    pub broken_off: u64,
    pub ended: u64,
    pub probes: u64,
}

/// All but the decisions.
pub(super) struct Desk {
    pub(super) now: Ms,
    pub(super) house: FrontSettings,
    pub(super) prefix: String,
    pub(super) floors: Vec<Rung>,
    pub(super) scales: Vec<f64>,
    pub(super) ladder_kb: Vec<f64>,
    pub(super) stay_away: Option<Ms>,
    pub(super) timers: Timers<Alarm>,
    /// None until they were told for the first time: then nothing is taken, since nothing is known to be
    /// unknown. Found by rehearsals in which a manager that had just started answered 404.
    pub(super) titles: Option<BTreeMap<String, Title>>,
    pub(super) roster: Roster,
    pub(super) addresses: BTreeMap<ServerId, String>,
    pub(super) watches: BTreeMap<WatchId, Watch>,
    pub(super) seats: BTreeMap<ViewingId, Seat>,
    /// Requests that wait, and for which watch.
    pub(super) asks: BTreeMap<RequestId, WatchId>,
    /// Viewings that play or end at a server; its notes are listened to while there are any.
    pub(super) there: BTreeMap<ServerId, BTreeSet<ViewingId>>,
    /// By title and rung: the text, and what was read from it while anybody plays it.
    pub(super) sources: BTreeMap<(String, usize), (Vec<u8>, Weak<TitlePlaylist>)>,
    pub(super) sweep_sources_at: usize,
    pub(super) draining: bool,
    /// Until then servers that started before this manager may not be listed as they are (the module's
    /// doubt).
    pub(super) doubts_until: Ms,
    /// Probes that are out, one for a server at most.
    pub(super) probes: BTreeSet<ServerId>,
    pub(super) counts: Counts,
    /// The part that is held on a lease which still runs.
    pub(super) part: Option<SlotShare>,
}

impl Desk {
    /// A desk that nobody has told anything yet.
    pub(super) fn new(now: Ms, terms: &PlacementConfig, house: FrontSettings) -> Desk {
        Desk {
            now,
            prefix: format!("{}-{:.0}", terms.manager.0, now.0),
            floors: terms.packages.iter().map(|it| it.floor).collect(),
            scales: terms.packages.iter().map(|it| it.rate_scale).collect(),
            ladder_kb: terms.ladder_kb.clone(),
            stay_away: terms.max_stay_away,
            house,
            timers: Timers::new(),
            titles: None,
            roster: Roster::default(),
            addresses: BTreeMap::new(),
            watches: BTreeMap::new(),
            seats: BTreeMap::new(),
            asks: BTreeMap::new(),
            there: BTreeMap::new(),
            sources: BTreeMap::new(),
            sweep_sources_at: 64,
            draining: false,
            probes: BTreeSet::new(),
            counts: Counts::default(),
            doubts_until: now + terms.cold.warm_up.min(terms.cold.fall_window * LIST_LAG_FALL_WINDOWS),
            part: None,
        }
    }
}
