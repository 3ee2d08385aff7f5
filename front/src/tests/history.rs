//! The rules, whatever happens in whatever order.

use super::stage::{playing, set_up, three, SetUpSaid, Stage};
use crate::ids::{ServerId, ViewingId};
use crate::{RequestId, SetUpEnd, WatchId};
use ottersail_wire::catalogue::Standing;
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

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
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Whatever happens in whatever order: one answer in time, one set-up out, nothing to drained servers,
    /// nothing sent again that may have run.
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
                    stage.does(|front, now, out| front.request_closed(now, RequestId(ask), out));
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
                    let standing = |it: usize| match which >> it & 1 {
                        1 => Standing::Draining,
                        _ => Standing::Up,
                    };
                    let list = three([0, 1, 2].map(standing));
                    let told = list.iter().filter(|it| it.standing != Standing::Up);
                    draining = told.map(|it| it.id.clone()).collect();
                    stage.does(|front, now, out| front.servers_listed(now, index, &list, out));
                }
                (9, _) => {
                    let server = ServerId::from(format!("box-{}", which % 3).as_str());
                    let link = Some(which as f64 / 2.0);
                    let note = Note::Load(Report { link, ..Report::default() });
                    stage.does(|front, now, out| front.note_received(now, &server, &note, out));
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
        prop_assert_eq!((stage.front.watch_count(), stage.front.viewing_count(), stage.front.waiting_requests()), (0, 0, 0));
    }
}
