//! A front with three servers, and what is read from what it said.

use crate::config::{ColdStart, Package, PlacementConfig, RequestSemantics, ResendBudget};
use crate::ids::{ManagerIndex, Rung, ViewingId};
use crate::recording::EffectRecorder;
use crate::{Effects, Front, FrontSettings, Ms, RequestId, SetUpEnd, TitleRequest, WatchId};
use ottersail_signed_urls::Keys;
use ottersail_wire::catalogue::{CatalogueServer, Standing, Title};
use ottersail_wire::report::Report;
use std::collections::BTreeMap;

pub(super) const LIST: &str =
    "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n\
    #EXTINF:2,\ns0.m4s\n#EXTINF:2,\ns1.m4s\n#EXTINF:2,\ns2.m4s\n#EXTINF:2,\ns3.m4s\n#EXTINF:2,\ns4.m4s\n\
    #EXTINF:2,\ns5.m4s\n#EXTINF:2,\ns6.m4s\n#EXTINF:2,\ns7.m4s\n#EXTINF:2,\ns8.m4s\n#EXT-X-ENDLIST\n";

pub(super) const START: f64 = 1_000_000.0;

pub(super) fn package(name: &str, repeat: RequestSemantics, floor: usize, seats: usize) -> Package {
    let (value, join_target, scale, top) = (1.0, Ms(800.0), 1.0, Rung(2));
    Package {
        name: name.into(),
        value,
        join_target,
        semantics: repeat,
        rate_scale: scale,
        floor: Rung(floor),
        top,
        seats,
        live: false,
    }
}

pub(super) fn terms() -> PlacementConfig {
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

pub(super) fn house() -> FrontSettings {
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

pub(super) fn listed(id: &str, cell: u64, standing: Standing) -> CatalogueServer {
    CatalogueServer {
        id: id.into(),
        address: format!("127.0.0.{}:80", cell + 1),
        standing,
        zone: "a".into(),
        kind: "k".into(),
        cell,
        weight: 1.0,
        started_ms: None,
    }
}

pub(super) fn three(standing: [Standing; 3]) -> Vec<CatalogueServer> {
    (0..3).map(|it| listed(&format!("box-{it}"), it as u64, standing[it])).collect()
}

/// A front with three servers that hold each of the titles, and what it said since it was last asked.
pub(super) struct Stage {
    pub(super) front: Front,
    pub(super) now: f64,
    pub(super) said: Vec<String>,
    pub(super) asks: u64,
}

impl Stage {
    pub(super) fn new() -> Stage {
        Stage::untold().told()
    }

    pub(super) fn untold() -> Stage {
        Stage::of(terms())
    }

    pub(super) fn of(terms: PlacementConfig) -> Stage {
        let mut said = Vec::new();
        let out = &mut EffectRecorder { lines: &mut said, effects: None };
        let front = Front::new(Ms(START), 7, terms, house(), out);
        Stage { front, now: START, said, asks: 0 }
    }

    pub(super) fn told(self) -> Stage {
        let mut stage = self;
        stage.does(|front, now, out| {
            let title = |name: &str| Title { name: name.into(), base: 0, copies: 3 };
            front.titles_listed(now, &[title("t"), title("u")]);
            front.servers_listed(now, 1, &three([Standing::Up; 3]), out);
        });
        stage
    }

    pub(super) fn does(&mut self, it: impl FnOnce(&mut Front, Ms, &mut dyn Effects)) -> Vec<String> {
        let from = self.said.len();
        it(&mut self.front, Ms(self.now), &mut EffectRecorder { lines: &mut self.said, effects: None });
        self.said[from..].to_vec()
    }

    pub(super) fn asks(&mut self, package: &str) -> Vec<String> {
        self.asks += 1;
        let ask = RequestId(self.asks);
        let asked = TitleRequest {
            title: "t".into(),
            package: package.into(),
            tenant: None,
            max_rung: 9,
            patience_ms: 4000.0,
        };
        self.does(|front, now, out| front.request_title(now, ask, asked, out))
    }

    /// Lets time pass, ringing the front whenever it wants to be rung.
    pub(super) fn passes(&mut self, span: f64) -> Vec<String> {
        let (from, end) = (self.said.len(), self.now + span);
        while let Some(due) = self.front.next_timer().filter(|it| it.0 <= end) {
            self.now = self.now.max(due.0);
            self.does(|front, now, out| front.run_due_timers(now, out));
        }
        self.now = end;
        self.said[from..].to_vec()
    }

    pub(super) fn ends(&mut self, set_up: &SetUpSaid, end: SetUpEnd) -> Vec<String> {
        let (vw, no) = (set_up.vw.clone(), set_up.no);
        self.does(|front, now, out| front.set_up_ended(now, &vw, no, end, Report::default(), out))
    }

    /// A viewing that plays, with its playlist's path taken from the answer.
    pub(super) fn plays(&mut self) -> (SetUpSaid, WatchId) {
        let set_up = set_up(&self.asks("clips"));
        let said = self.ends(&set_up, playing());
        let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
        let id = text.split("/viewing/").nth(1).unwrap().split(".m3u8").next().unwrap();
        (set_up, WatchId(id.into()))
    }

    pub(super) fn reloads(&mut self, id: &WatchId, unread: Option<u64>) -> Vec<String> {
        self.asks += 1;
        let ask = RequestId(self.asks);
        self.does(|front, now, out| front.request_playlist(now, ask, id, unread, out))
    }
}

pub(super) fn playing() -> SetUpEnd {
    SetUpEnd::Playing { playlist: LIST.into() }
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct SetUpSaid {
    pub(super) vw: ViewingId,
    pub(super) no: usize,
    pub(super) server: String,
    pub(super) send_by: Ms,
}

pub(super) fn all_set_ups(said: &[String]) -> Vec<SetUpSaid> {
    let of = |line: &String| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[0] == "set_up").then(|| SetUpSaid {
            vw: words[1].into(),
            no: words[2].parse().unwrap(),
            server: words[3].into(),
            send_by: Ms(words[words.len() - 1].parse().unwrap()),
        })
    };
    said.iter().filter_map(of).collect()
}

pub(super) fn set_up(said: &[String]) -> SetUpSaid {
    all_set_ups(said).pop().unwrap_or_else(|| panic!("no set-up in {said:?}"))
}

pub(super) fn has(said: &[String], what: &str) -> bool {
    said.iter().any(|it| it.contains(what))
}
