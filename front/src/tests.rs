use super::*;
use crate::ids::{ManagerIx, Rung, ServerId, ViewingId};
use crate::tape::Scribe;
use crate::terms::{Budget, ColdPace, Package, Repeat, Terms};
use ottersail_tickets::Keys;
use ottersail_wire::catalogue::{Listed, Standing, Title};
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const LIST: &str = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n\
    #EXTINF:2,\ns0.m4s\n#EXTINF:2,\ns1.m4s\n#EXTINF:2,\ns2.m4s\n#EXTINF:2,\ns3.m4s\n#EXTINF:2,\ns4.m4s\n\
    #EXTINF:2,\ns5.m4s\n#EXTINF:2,\ns6.m4s\n#EXTINF:2,\ns7.m4s\n#EXTINF:2,\ns8.m4s\n#EXT-X-ENDLIST\n";
const START: f64 = 1_000_000.0;

fn package(name: &str, repeat: Repeat, floor: usize, seats: usize) -> Package {
    let (value, join_target, scale, top) = (1.0, Ms(800.0), 1.0, Rung(2));
    Package {
        name: name.into(),
        value,
        join_target,
        repeat,
        scale,
        floor: Rung(floor),
        top,
        seats,
        live: false,
    }
}

fn terms() -> Terms {
    Terms {
        me: ManagerIx(0),
        managers: 1.0,
        zone: "a".into(),
        packages: vec![
            package("clips", Repeat::Idempotent, 0, 0),
            package("rides", Repeat::AtMostOnce, 1, 1),
        ],
        tenants: Vec::new(),
        ladder_kb: vec![100.0, 200.0, 400.0],
        worth: Vec::new(),
        join: 1.0,
        cells: 3,
        racks: 1,
        link_unit_kb: 10_000.0,
        uplink_kb: 0.0,
        uplinks_reported: true,
        reports_on_probe: false,
        weights_told: true,
        places: BTreeMap::new(),
        seen_after: Ms(500.0),
        reports_every: Ms(2000.0),
        change_cost: Ms(300.0),
        max_tune_ins: 3,
        max_stay_away: Some(Ms(1000.0)),
        must_subscribe: false,
        cross_price: 0.0,
        cold: ColdPace { lasts: Ms(0.0), start_capacity: 0.5, fall_multiple: 3.0, fall_window: Ms(1000.0) },
        budget: Some(Budget { free: 50.0, ratio: 0.5, span: Ms(10_000.0) }),
        tick: Ms(1.0),
    }
}

fn listed(id: &str, cell: u64, standing: Standing) -> Listed {
    Listed {
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

fn three(standing: [Standing; 3]) -> Vec<Listed> {
    (0..3).map(|it| listed(&format!("box-{it}"), it as u64, standing[it])).collect()
}

/// A front with three servers that hold each of the titles, and what it said since it was last asked.
struct Stage {
    front: Front,
    now: f64,
    said: Vec<String>,
    asks: u64,
}

impl Stage {
    fn new() -> Stage {
        Stage::untold().told()
    }

    fn untold() -> Stage {
        Stage::of(terms())
    }

    fn of(terms: Terms) -> Stage {
        let house = House {
            url: "http://m".into(),
            keys: Keys::read("k AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA").unwrap(),
            ticket_s: 60,
            most_waiting: 8,
            most_watches: 20,
            send_within: Ms(250.0),
            linger: Ms(1000.0),
        };
        let mut said = Vec::new();
        let out = &mut Scribe { lines: &mut said, out: None };
        let front = Front::new(Ms(START), 7, terms, house, out);
        Stage { front, now: START, said, asks: 0 }
    }

    fn told(self) -> Stage {
        let mut stage = self;
        stage.does(|front, now, out| {
            let title = |name: &str| Title { name: name.into(), base: 0, copies: 3 };
            front.titled(now, &[title("t"), title("u")]);
            front.listed(now, 1, &three([Standing::Up; 3]), out);
        });
        stage
    }

    fn does(&mut self, it: impl FnOnce(&mut Front, Ms, &mut dyn Orders)) -> Vec<String> {
        let from = self.said.len();
        it(&mut self.front, Ms(self.now), &mut Scribe { lines: &mut self.said, out: None });
        self.said[from..].to_vec()
    }

    fn asks(&mut self, package: &str) -> Vec<String> {
        self.asks += 1;
        let ask = AskId(self.asks);
        let asked =
            Asked { title: "t".into(), package: package.into(), tenant: None, best: 9, patience: 4000.0 };
        self.does(|front, now, out| front.asked(now, ask, asked, out))
    }

    /// Lets time pass, ringing the front whenever it wants to be rung.
    fn passes(&mut self, span: f64) -> Vec<String> {
        let (from, end) = (self.said.len(), self.now + span);
        while let Some(due) = self.front.next_due().filter(|it| it.0 <= end) {
            self.now = self.now.max(due.0);
            self.does(|front, now, out| front.time_has_come(now, out));
        }
        self.now = end;
        self.said[from..].to_vec()
    }

    fn ends(&mut self, set_up: &SetUpSaid, end: SetUpEnd) -> Vec<String> {
        let (vw, no) = (set_up.vw.clone(), set_up.no);
        self.does(|front, now, out| front.set_up_ended(now, &vw, no, end, Report::default(), out))
    }

    /// A viewing that plays, with its playlist's path taken from the answer.
    fn plays(&mut self) -> (SetUpSaid, WatchId) {
        let set_up = set_up(&self.asks("clips"));
        let said = self.ends(&set_up, playing());
        let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
        let id = text.split("/viewing/").nth(1).unwrap().split(".m3u8").next().unwrap();
        (set_up, WatchId(id.into()))
    }

    fn reloads(&mut self, id: &WatchId, unread: Option<u64>) -> Vec<String> {
        self.asks += 1;
        let ask = AskId(self.asks);
        self.does(|front, now, out| front.reloaded(now, ask, id, unread, out))
    }
}

fn playing() -> SetUpEnd {
    SetUpEnd::Playing { playlist: LIST.into() }
}

#[derive(Clone, Debug, PartialEq)]
struct SetUpSaid {
    vw: ViewingId,
    no: usize,
    server: String,
}

fn all_set_ups(said: &[String]) -> Vec<SetUpSaid> {
    let of = |line: &String| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[0] == "set_up").then(|| SetUpSaid {
            vw: words[1].into(),
            no: words[2].parse().unwrap(),
            server: words[3].into(),
        })
    };
    said.iter().filter_map(of).collect()
}

fn set_up(said: &[String]) -> SetUpSaid {
    all_set_ups(said).pop().unwrap_or_else(|| panic!("no set-up in {said:?}"))
}

fn has(said: &[String], what: &str) -> bool {
    said.iter().any(|it| it.contains(what))
}

#[test]
fn a_viewing_from_the_question_to_the_segments() {
    let mut stage = Stage::new();
    let (set_up, id) = stage.plays();
    assert!(has(&stage.said, &format!("listen {}", set_up.server)));
    let said = stage.reloads(&id, None);
    let text = said.last().unwrap();
    assert!(text.contains(&format!("/viewings/{}/2/s0.m4s?t=", set_up.vw)), "{text}");
    assert!(text.contains("s3.m4s") && !text.contains("s4.m4s"), "three segments ahead: {text}");
    assert!(!text.contains("ENDLIST") && !text.contains("PLAYLIST-TYPE"), "{text}");
    stage.passes(6000.0);
    assert!(has(&stage.reloads(&id, Some(4)), "s6.m4s"));
    stage.passes(6000.0);
    assert!(has(&stage.reloads(&id, Some(7)), "ENDLIST"));
    let said = stage.passes(60_000.0);
    assert!(has(&said, &format!("let_go {}", set_up.vw)), "{said:?}");
    assert_eq!((stage.front.watches(), stage.front.viewings()), (0, 0));
    assert!(has(&said, &format!("hang_up {}", set_up.server)));
}

#[test]
fn a_step_shows_in_the_segments_published_next() {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    stage.reloads(&id, None);
    // The link is overrun: the module steps it down.
    let server = ServerId::from(first.server.as_str());
    let note = Note::Load(Report { link: Some(40.0), ..Report::default() });
    stage.does(|front, now, out| front.noted(now, &server, &note, out));
    let said = stage.passes(3000.0);
    assert!(has(&said, &format!("change_rung {} {} 127.", first.vw, first.server)), "{said:?}");
    stage.does(|front, now, out| front.rung_changed(now, &first.vw, 1, Some(LIST), out));
    let said = stage.reloads(&id, Some(4));
    let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
    let (before, after) = text.split_once("/2/s3.m4s").unwrap();
    assert!(!before.contains("DISCONTINUITY") && after.contains("#EXT-X-DISCONTINUITY"), "{text}");
    assert!(after.contains("/1/init.mp4") && after.contains("/1/s4.m4s"), "{text}");
}

#[test]
fn a_late_answer_of_a_timed_out_set_up_changes_nothing() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    let said = stage.passes(300.0);
    let second = set_up(&said);
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!((second.no, &second.vw), (1, &first.vw));
    assert_ne!(second.server, first.server);
    assert_eq!(stage.ends(&first, playing()), Vec::<String>::new());
    assert!(has(&stage.ends(&second, playing()), "reply 1 Playlist"));
}

#[test]
fn an_answer_after_the_viewer_gave_up_changes_nothing() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("rides"));
    let said = stage.passes(4000.0);
    assert!(has(&said, "reply 1 Aborted { late: true }"), "{said:?}");
    assert_eq!(all_set_ups(&said), [], "an unsafe package is not sent again");
    assert_eq!(stage.ends(&first, playing()), Vec::<String>::new());
    assert_eq!(stage.front.viewings(), 0);
}

#[test]
fn a_viewer_who_leaves_frees_the_place_at_once() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("rides"));
    assert!(has(&stage.asks("rides"), "reply 2 Blocked"), "one seat for the title");
    let said = stage.does(|front, now, out| front.left(now, AskId(1), out));
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!(all_set_ups(&stage.asks("rides")).len(), 1, "the seat can be had again");
    assert!(!has(&stage.said, "reply 1 "), "nobody waits for an answer any more");
}

#[test]
fn a_viewer_who_leaves_as_the_answer_comes_is_found_out_by_silence() {
    let mut stage = Stage::new();
    let (first, _) = stage.plays();
    assert_eq!(stage.does(|front, now, out| front.left(now, AskId(1), out)), Vec::<String>::new());
    let said = stage.passes(20_000.0);
    assert!(has(&said, &format!("let_go {}", first.vw)), "{said:?}");
    assert_eq!(stage.front.viewings(), 0, "ended without the server's word after it lingered");
}

#[test]
fn nothing_new_goes_to_a_server_told_to_drain() {
    let mut stage = Stage::new();
    let list = three([Standing::Draining, Standing::Up, Standing::Draining]);
    stage.does(|front, now, out| front.listed(now, 2, &list, out));
    for _ in 0..6 {
        let said = set_up(&stage.asks("clips"));
        assert_eq!(said.server, "box-1");
        stage.ends(&said, playing());
    }
    // A list from before does not bring them back; a missing one is gone.
    stage.does(|front, now, out| front.listed(now, 1, &three([Standing::Up; 3]), out));
    assert_eq!(set_up(&stage.asks("clips")).server, "box-1");
    stage.does(|front, now, out| front.listed(now, 3, &list[..1], out));
    assert!(has(&stage.asks("clips"), "Blocked"));
}

#[test_case(Some(2) => 2; "the player tells what it lacks")]
#[test_case(None => 1; "by the clock")]
fn a_lost_server_is_left_with_the_next_reload(unread: Option<u64>) -> usize {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    stage.reloads(&id, None);
    stage.passes(2500.0);
    let server = ServerId::from(first.server.as_str());
    let said = stage.does(|front, now, out| front.server_lost(now, &server, out));
    assert!(has(&said, &format!("hang_up {}", first.server)));
    let second = set_up(&stage.reloads(&id, unread));
    assert_ne!(second.server, first.server);
    let said = stage.ends(&second, playing());
    let text = said.iter().find(|it| it.starts_with("reply")).unwrap();
    let number = |of: &str| {
        text.split(of).nth(1).unwrap().split(|it: char| !it.is_ascii_digit()).next().unwrap().to_string()
    };
    assert!(text.contains("EXT-X-DISCONTINUITY\\n") && !text.contains(&format!("{}/", first.vw)), "{text}");
    assert_eq!(number("MEDIA-SEQUENCE:"), "4", "numbers go on: {text}");
    number("/s").parse().unwrap()
}

#[test]
fn a_server_that_ends_a_viewing_is_believed() {
    let mut stage = Stage::new();
    let (first, id) = stage.plays();
    let server = ServerId::from(first.server.as_str());
    let note = Note::Ended { viewing: first.vw.to_string(), cause: EndCause::Left };
    stage.does(|front, now, out| front.noted(now, &server, &note, out));
    assert_eq!(stage.front.viewings(), 0);
    assert_eq!(all_set_ups(&stage.reloads(&id, None)).len(), 1, "who still reloads comes again");
}

#[test]
fn an_unfit_playlist_is_a_servers_error() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    let said = stage.ends(&first, SetUpEnd::Playing { playlist: LIST[..60].into() });
    assert!(has(&said, &format!("call_off {} 0", first.vw)), "{said:?}");
    assert_eq!(set_up(&said).no, 1);
}

#[test]
fn a_drain_blocks_what_is_new_and_answers_what_is_out() {
    let mut stage = Stage::new();
    let first = set_up(&stage.asks("clips"));
    stage.does(|front, now, _| front.drain(now));
    assert!(has(&stage.asks("clips"), "reply 2 Blocked { stay_away: Some(1000.0) }"));
    assert_eq!(stage.front.waiting(), 1);
    assert!(has(&stage.ends(&first, playing()), "reply 1 Playlist"));
    assert_eq!(stage.front.waiting(), 0);
}

#[test]
fn until_titles_are_told_nothing_is_taken_or_called_unknown() {
    let mut stage = Stage::untold();
    assert!(has(&stage.asks("clips"), "reply 1 Blocked { stay_away: Some(1000.0) }"));
    let mut stage = stage.told();
    assert_eq!(all_set_ups(&stage.asks("clips")).len(), 1);
}

#[test]
fn a_full_queue_turns_away_what_it_has_not_taken() {
    let mut stage = Stage::new();
    for _ in 0..8 {
        assert!(!has(&stage.asks("clips"), "reply"));
    }
    assert!(has(&stage.asks("clips"), "reply 9 Blocked"));
    assert_eq!((stage.front.waiting(), stage.front.counts().turned_away_untaken), (8, 1));
}

#[test_case(|it| it.title = "x".into(), "Unknown"; "no such title")]
#[test_case(|it| it.package = "x".into(), "Unfit"; "no such package")]
#[test_case(|it| it.tenant = Some("x".into()), "Unfit"; "no such tenant")]
#[test_case(|it| it.patience = f64::NAN, "Unfit"; "patience that is no number")]
#[test_case(|it| it.patience = 1e18, "Unfit"; "endless patience")]
fn what_can_be_no_request_is_not_taken(change: fn(&mut Asked), expected: &str) {
    let mut stage = Stage::new();
    let mut asked =
        Asked { title: "t".into(), package: "clips".into(), tenant: None, best: 1, patience: 4000.0 };
    change(&mut asked);
    let said = stage.does(|front, now, out| front.asked(now, AskId(1), asked, out));
    assert!(has(&said, expected) && said.len() == 1, "{said:?}");
    assert_eq!(stage.front.viewings(), 0);
}

/// What the rules want of any history, kept by looking at what was said alone.
#[derive(Default)]
struct Watchman {
    /// Set-ups that are out, by viewing.
    out: BTreeMap<ViewingId, SetUpSaid>,
    /// Unsafe viewings of which a set-up may have run.
    ran: BTreeSet<ViewingId>,
    answered: BTreeSet<u64>,
    seen: usize,
}

impl Watchman {
    fn look(&mut self, said: &[String], draining: &BTreeSet<String>) {
        for line in &said[self.seen..] {
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "set_up" => {
                    let it = set_up(std::slice::from_ref(line));
                    assert!(!draining.contains(&it.server), "{line}: told to drain");
                    assert!(!self.ran.contains(&it.vw), "{line}: an earlier one may have run");
                    if words[6] == "rides" {
                        assert_ne!(words[7], "0", "{line}: under the floor");
                    }
                    assert!(self.out.insert(it.vw.clone(), it).is_none(), "{line}: two out at once");
                }
                "call_off" => {
                    self.out.remove(&ViewingId::from(words[1]));
                }
                "reply" => assert!(self.answered.insert(words[1].parse().unwrap()), "{line}: answered twice"),
                _ => {}
            }
        }
        self.seen = said.len();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: one answer in time, one set-up out, nothing to drained servers, nothing
    /// sent again that may have run.
    #[test]
    fn the_rules_hold_in_any_history(
        steps in proptest::collection::vec((0u8..11, 0usize..8, 0.0..400.0f64), 1..120)
    ) {
        let mut stage = Stage::new();
        let (mut watchman, mut draining) = (Watchman::default(), BTreeSet::new());
        let (mut asked, mut left) = (BTreeMap::new(), BTreeSet::new());
        let (mut watches, mut index): (Vec<WatchId>, u64) = (Vec::new(), 1);
        for (step, which, span) in steps {
            let out: Vec<SetUpSaid> = watchman.out.values().cloned().collect();
            let one = out.get(which % out.len().max(1)).cloned();
            let rides = one.as_ref().and_then(|it| {
                stage.said.iter().find(|line| line.starts_with(&format!("set_up {} ", it.vw)))
            }).is_some_and(|line| line.contains(" rides "));
            match (step, one) {
                (0 | 1, _) => {
                    stage.asks(if which % 3 == 0 { "rides" } else { "clips" });
                    asked.insert(stage.asks, stage.now);
                }
                (2 | 3, Some(it)) => {
                    watchman.out.remove(&it.vw);
                    let said = stage.ends(&it, playing());
                    let found = said.iter().filter_map(|it| it.split("/viewing/").nth(1));
                    watches.extend(found.map(|it| WatchId(it.split(".m3u8").next().unwrap().into())));
                }
                (4, Some(it)) => {
                    watchman.out.remove(&it.vw);
                    let end = [
                        SetUpEnd::TurnedAway, SetUpEnd::NoConnection, SetUpEnd::NotSent,
                        SetUpEnd::ServerError, SetUpEnd::ConnectionLost,
                    ][which % 5].clone();
                    if rides && which % 5 > 2 {
                        watchman.ran.insert(it.vw.clone());
                    }
                    stage.ends(&it, end);
                }
                (5, _) if stage.asks > 0 => {
                    let ask = 1 + which as u64 % stage.asks;
                    left.insert(ask);
                    stage.does(|front, now, out| front.left(now, AskId(ask), out));
                }
                (6, _) if !watches.is_empty() => {
                    let id = watches[which % watches.len()].clone();
                    stage.reloads(&id, Some(which as u64).filter(|it| it % 2 == 0));
                    asked.insert(stage.asks, stage.now);
                }
                (7, _) => {
                    let server = ServerId::from(format!("box-{}", which % 3).as_str());
                    stage.does(|front, now, out| front.server_lost(now, &server, out));
                }
                (8, _) => {
                    index += 1;
                    let standing = |it: usize| if which >> it & 1 == 1 { Standing::Draining } else { Standing::Up };
                    let list = three([0, 1, 2].map(standing));
                    draining = list.iter().filter(|it| it.standing != Standing::Up).map(|it| it.id.clone()).collect();
                    stage.does(|front, now, out| front.listed(now, index, &list, out));
                }
                (9, _) => {
                    let server = ServerId::from(format!("box-{}", which % 3).as_str());
                    let link = Some(which as f64 / 2.0);
                    let note = Note::Load(Report { link, ..Report::default() });
                    stage.does(|front, now, out| front.noted(now, &server, &note, out));
                }
                _ => {
                    let said = stage.passes(span);
                    // A time-out of an unsafe one: it may have run.
                    for line in said.iter().filter(|it| it.starts_with("call_off")) {
                        let vw = line.split(' ').nth(1).unwrap();
                        let of = format!("set_up {vw} ");
                        if stage.said.iter().any(|it| it.starts_with(&of) && it.contains(" rides ")) {
                            watchman.ran.insert(vw.into());
                        }
                    }
                }
            }
            watchman.look(&stage.said, &draining);
            for (ask, at) in &asked {
                let owed = stage.now - at > 4000.0 && !left.contains(ask);
                prop_assert!(!owed || watchman.answered.contains(ask), "request {} has no answer", ask);
            }
        }
        stage.passes(4000.0);
        watchman.look(&stage.said, &draining);
        for ask in asked.keys().filter(|it| !left.contains(it)) {
            prop_assert!(watchman.answered.contains(ask), "request {} has no answer", ask);
        }
        stage.passes(120_000.0);
        prop_assert_eq!((stage.front.watches(), stage.front.viewings(), stage.front.waiting()), (0, 0, 0));
    }
}

fn probes(said: &[String]) -> Vec<String> {
    let server = |it: &String| it.strip_prefix("probe ").map(|it| it.split(' ').next().unwrap().to_string());
    said.iter().filter_map(server).collect()
}

fn probing() -> Stage {
    Stage::of(Terms { reports_on_probe: true, reports_every: Ms(0.0), ..terms() }).told()
}

#[test]
fn load_is_asked_and_the_answers_decide() {
    let mut stage = probing();
    let asked = probes(&stage.asks("clips"));
    assert_eq!(asked.len(), 2, "the two picks");
    let report = |link| Some(Report { link: Some(link), ..Report::default() });
    let first = asked[0].as_str().into();
    let said = stage.does(|front, now, out| front.probed(now, &first, report(0.1), out));
    assert!(all_set_ups(&said).is_empty());
    let said = stage.does(|front, now, out| front.probed(now, &asked[1].as_str().into(), report(0.9), out));
    assert_eq!(set_up(&said).server, asked[0]);
    // An answer that comes twice, or unasked, changes nothing.
    assert!(stage.does(|front, now, out| front.probed(now, &first, report(0.9), out)).is_empty());
}

#[test]
fn a_probe_without_an_answer_is_given_up() {
    let mut stage = probing();
    let asked = probes(&stage.asks("clips"));
    assert_eq!(
        probes(&stage.asks("clips")).iter().filter(|it| asked.contains(it)).count(),
        0,
        "one out at each"
    );
    assert!(!all_set_ups(&stage.passes(PROBE_PATIENCE.0)).is_empty());
    let counts = stage.front.counts();
    assert!(counts.probes >= 2 && counts.probes <= 3, "{counts:?}");
}

#[test]
fn nothing_is_probed_that_drains_or_is_gone() {
    let mut stage = probing();
    stage.does(|front, now, out| {
        front.listed(now, 2, &three([Standing::Up, Standing::Draining, Standing::Draining]), out)
    });
    for _ in 0..5 {
        assert!(probes(&stage.asks("clips")).iter().all(|it| it == "box-0"));
    }
}

#[test]
fn load_that_answers_tell_is_not_asked() {
    assert!(probes(&Stage::new().asks("clips")).is_empty());
}
