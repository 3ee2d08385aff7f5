//! A front with three servers, and helpers that read the effects it requested.

use crate::config::{ColdStart, Package, PlacementConfig, RequestSemantics, ResendBudget};
use crate::ids::{ManagerIndex, Rung, ViewingId};
use crate::recording::EffectRecorder;
use crate::{Effects, Front, FrontSettings, Ms, RequestId, SetUpEnd, TitleRequest, WatchId};
use ottersail_signed_urls::Keys;
use ottersail_wire::catalogue::{CatalogueServer, Standing, Title};
use ottersail_wire::report::Report;
use std::collections::BTreeMap;

/// A server's playlist of nine segments of two seconds.
pub(super) const PLAYLIST: &str =
    "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n\
    #EXTINF:2,\ns0.m4s\n#EXTINF:2,\ns1.m4s\n#EXTINF:2,\ns2.m4s\n#EXTINF:2,\ns3.m4s\n#EXTINF:2,\ns4.m4s\n\
    #EXTINF:2,\ns5.m4s\n#EXTINF:2,\ns6.m4s\n#EXTINF:2,\ns7.m4s\n#EXTINF:2,\ns8.m4s\n#EXT-X-ENDLIST\n";

/// When the front starts, in ms.
pub(super) const START: f64 = 1_000_000.0;

pub(super) fn package(name: &str, semantics: RequestSemantics, floor: usize, seats: usize) -> Package {
    Package {
        name: name.into(),
        value: 1.0,
        join_target: Ms(800.0),
        semantics,
        rate_scale: 1.0,
        floor: Rung(floor),
        top: Rung(2),
        seats,
        live: false,
    }
}

/// A safe package "clips", and an unsafe package "rides" with a floor of rung 1 and one seat for each title.
pub(super) fn config() -> PlacementConfig {
    PlacementConfig {
        manager: ManagerIndex(0),
        manager_count: 1.0,
        zone: "a".into(),
        packages: vec![
            package("clips", RequestSemantics::Idempotent, 0, 0),
            package("rides", RequestSemantics::AtMostOnce, 1, 1),
        ],
        tenants: Vec::new(),
        ladder_kb: vec![100.0, 200.0, 400.0],
        rung_values: Vec::new(),
        live_join_share: 1.0,
        cells: 3,
        racks: 1,
        link_unit_kb: 10_000.0,
        uplink_kb: 0.0,
        uplinks_reported: true,
        reports_on_probe: false,
        weights_listed: true,
        places_by_kind: BTreeMap::new(),
        report_delay: Ms(500.0),
        report_interval: Ms(2000.0),
        change_cost: Ms(300.0),
        max_tune_ins: 3,
        max_stay_away: Some(Ms(1000.0)),
        must_subscribe: false,
        cross_zone_price: 0.0,
        cold: ColdStart {
            warm_up: Ms(0.0),
            start_capacity: 0.5,
            fall_multiple: 3.0,
            fall_window: Ms(1000.0),
            max_send_delay: Ms(0.0),
        },
        budget: Some(ResendBudget { free_resends: 50.0, ratio: 0.5, window: Ms(10_000.0) }),
        tick: Ms(1.0),
    }
}

pub(super) fn settings() -> FrontSettings {
    FrontSettings {
        url: "http://m".into(),
        keys: Keys::read("k AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA").unwrap(),
        ticket_lifetime_s: 60,
        max_waiting: 8,
        max_watches: 20,
        max_send_delay: Ms(250.0),
        end_timeout: Ms(1000.0),
    }
}

/// Servers box-0 to box-2 in cells 0 to 2.
pub(super) fn three_servers(standings: [Standing; 3]) -> Vec<CatalogueServer> {
    let listed = |(cell, standing): (u64, Standing)| CatalogueServer {
        id: format!("box-{cell}"),
        address: format!("127.0.0.{}:80", cell + 1),
        standing,
        zone: "a".into(),
        kind: "k".into(),
        cell,
        weight: 1.0,
        started_ms: None,
    };
    (0..).zip(standings).map(listed).collect()
}

pub(super) struct Harness {
    pub(super) front: Front,
    pub(super) now: f64,
    /// All effects so far, a line each.
    pub(super) lines: Vec<String>,
    /// Number of requests so far, which is the id of the last one.
    pub(super) requests: u64,
}

impl Harness {
    /// A front that knows three servers that hold each of the titles "t" and "u".
    pub(super) fn new() -> Harness {
        Harness::without_lists().with_lists()
    }

    /// A front without lists of servers and titles.
    pub(super) fn without_lists() -> Harness {
        Harness::with_config(config())
    }

    pub(super) fn with_config(config: PlacementConfig) -> Harness {
        let mut lines = Vec::new();
        let effects = &mut EffectRecorder { lines: &mut lines, effects: None };
        let front = Front::new(Ms(START), 7, config, settings(), effects);
        Harness { front, now: START, lines, requests: 0 }
    }

    /// Delivers the lists of servers and titles.
    pub(super) fn with_lists(mut self) -> Harness {
        self.call(|front, now, effects| {
            let title = |name: &str| Title { name: name.into(), base: 0, copies: 3 };
            front.titles_listed(now, &[title("t"), title("u")]);
            front.servers_listed(now, 1, &three_servers([Standing::Up; 3]), effects);
        });
        self
    }

    /// Calls the front and returns the lines of the effects that it requested.
    pub(super) fn call(&mut self, input: impl FnOnce(&mut Front, Ms, &mut dyn Effects)) -> Vec<String> {
        let from = self.lines.len();
        let mut effects = EffectRecorder { lines: &mut self.lines, effects: None };
        input(&mut self.front, Ms(self.now), &mut effects);
        self.lines[from..].to_vec()
    }

    /// Requests the title "t".
    pub(super) fn request(&mut self, package: &str) -> Vec<String> {
        self.requests += 1;
        let request = RequestId(self.requests);
        let title_request = TitleRequest {
            title: "t".into(),
            package: package.into(),
            tenant: None,
            max_rung: 9,
            patience_ms: 4000.0,
        };
        self.call(|front, now, effects| front.request_title(now, request, title_request, effects))
    }

    /// Lets time pass and runs the timers that become due.
    pub(super) fn advance(&mut self, span: f64) -> Vec<String> {
        let (from, end) = (self.lines.len(), self.now + span);
        while let Some(due) = self.front.next_timer().filter(|due| due.0 <= end) {
            self.now = self.now.max(due.0);
            self.call(|front, now, effects| front.run_due_timers(now, effects));
        }
        self.now = end;
        self.lines[from..].to_vec()
    }

    pub(super) fn end_set_up(&mut self, set_up: &RecordedSetUp, end: SetUpEnd) -> Vec<String> {
        let (viewing, tune_in) = (set_up.viewing.clone(), set_up.tune_in);
        let report = Report::default();
        self.call(|front, now, effects| front.set_up_ended(now, &viewing, tune_in, end, report, effects))
    }

    /// Requests a viewing and lets it play; returns its set-up, and its watch as read from the playlist's
    /// path.
    pub(super) fn start_playing(&mut self) -> (RecordedSetUp, WatchId) {
        let set_up = set_up(&self.request("clips"));
        let effects = self.end_set_up(&set_up, playing());
        let text = effects.iter().find(|line| line.starts_with("reply")).unwrap();
        let id = text.split("/viewing/").nth(1).unwrap().split(".m3u8").next().unwrap();
        (set_up, WatchId(id.into()))
    }

    pub(super) fn reload(&mut self, id: &WatchId, next_sequence: Option<u64>) -> Vec<String> {
        self.requests += 1;
        let request = RequestId(self.requests);
        self.call(|front, now, effects| front.request_playlist(now, request, id, next_sequence, effects))
    }
}

pub(super) fn playing() -> SetUpEnd {
    SetUpEnd::Playing { playlist: PLAYLIST.into() }
}

/// A set-up as read from its line.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RecordedSetUp {
    pub(super) viewing: ViewingId,
    pub(super) tune_in: usize,
    pub(super) server: String,
    pub(super) send_by: Ms,
}

pub(super) fn all_set_ups(lines: &[String]) -> Vec<RecordedSetUp> {
    let parse = |line: &String| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[0] == "set_up").then(|| RecordedSetUp {
            viewing: words[1].into(),
            tune_in: words[2].parse().unwrap(),
            server: words[3].into(),
            send_by: Ms(words[words.len() - 1].parse().unwrap()),
        })
    };
    lines.iter().filter_map(parse).collect()
}

/// The last set-up.
pub(super) fn set_up(lines: &[String]) -> RecordedSetUp {
    all_set_ups(lines).pop().unwrap_or_else(|| panic!("no set-up in {lines:?}"))
}

/// Whether any line contains the text.
pub(super) fn contains(lines: &[String], text: &str) -> bool {
    lines.iter().any(|line| line.contains(text))
}
