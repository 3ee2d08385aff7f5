//! Invariants that hold for any sequence of inputs.

use super::harness::{playing, set_up, three_servers, Harness, RecordedSetUp};
use crate::ids::{ServerId, ViewingId};
use crate::{RequestId, SetUpEnd, WatchId};
use ottersail_wire::catalogue::Standing;
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// Checks the invariants by the requested effects alone.
#[derive(Default)]
struct InvariantChecker {
    /// Set-ups in progress, by viewing.
    set_ups: BTreeMap<ViewingId, RecordedSetUp>,
    /// Viewings of the unsafe package of which a set-up may have taken effect.
    may_have_run: BTreeSet<ViewingId>,
    answered: BTreeSet<u64>,
    /// Number of lines checked.
    checked: usize,
}

impl InvariantChecker {
    fn check(&mut self, lines: &[String], draining: &BTreeSet<String>) {
        for line in &lines[self.checked..] {
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "set_up" => {
                    let sent = set_up(std::slice::from_ref(line));
                    assert!(!draining.contains(&sent.server), "{line}: the server drains");
                    assert!(
                        !self.may_have_run.contains(&sent.viewing),
                        "{line}: an earlier one may have run"
                    );
                    if words[6] == "rides" {
                        assert_ne!(words[7], "0", "{line}: below the floor");
                    }
                    let earlier = self.set_ups.insert(sent.viewing.clone(), sent);
                    assert!(earlier.is_none(), "{line}: two in progress at once");
                }
                "call_off" => {
                    self.set_ups.remove(&ViewingId::from(words[1]));
                }
                "reply" => assert!(self.answered.insert(words[1].parse().unwrap()), "{line}: answered twice"),
                _ => {}
            }
        }
        self.checked = lines.len();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Each request gets one answer in time, each viewing has at most one set-up in progress, draining
    /// servers get none, and nothing unsafe that may have run is sent again.
    #[test]
    fn the_invariants_hold_for_any_sequence_of_inputs(
        steps in proptest::collection::vec((0u8..11, 0usize..8, 0.0..400.0f64), 1..120)
    ) {
        let mut harness = Harness::new();
        let (mut checker, mut draining) = (InvariantChecker::default(), BTreeSet::new());
        // Times of all requests, and the requests that were closed.
        let (mut requested, mut closed) = (BTreeMap::new(), BTreeSet::new());
        let (mut watches, mut index): (Vec<WatchId>, u64) = (Vec::new(), 1);
        for (step, which, span) in steps {
            let set_ups: Vec<RecordedSetUp> = checker.set_ups.values().cloned().collect();
            let chosen = set_ups.get(which % set_ups.len().max(1)).cloned();
            let is_unsafe = chosen.as_ref().and_then(|set_up| {
                let prefix = format!("set_up {} ", set_up.viewing);
                harness.lines.iter().find(|line| line.starts_with(&prefix))
            }).is_some_and(|line| line.contains(" rides "));
            match (step, chosen) {
                (0 | 1, _) => {
                    harness.request(if which % 3 == 0 { "rides" } else { "clips" });
                    requested.insert(harness.requests, harness.now);
                }
                (2 | 3, Some(set_up)) => {
                    checker.set_ups.remove(&set_up.viewing);
                    let effects = harness.end_set_up(&set_up, playing());
                    let found = effects.iter().filter_map(|line| line.split("/viewing/").nth(1));
                    watches.extend(found.map(|path| WatchId(path.split(".m3u8").next().unwrap().into())));
                }
                (4, Some(set_up)) => {
                    checker.set_ups.remove(&set_up.viewing);
                    let end = [
                        SetUpEnd::TurnedAway, SetUpEnd::NoConnection, SetUpEnd::NotSent,
                        SetUpEnd::ServerError, SetUpEnd::ConnectionLost,
                    ][which % 5].clone();
                    if is_unsafe && which % 5 > 2 {
                        checker.may_have_run.insert(set_up.viewing.clone());
                    }
                    harness.end_set_up(&set_up, end);
                }
                (5, _) if harness.requests > 0 => {
                    let request = 1 + which as u64 % harness.requests;
                    closed.insert(request);
                    let request = RequestId(request);
                    harness.call(|front, now, effects| front.request_closed(now, request, effects));
                }
                (6, _) if !watches.is_empty() => {
                    let id = watches[which % watches.len()].clone();
                    harness.reload(&id, Some(which as u64).filter(|number| number % 2 == 0));
                    requested.insert(harness.requests, harness.now);
                }
                (7, _) => {
                    let server = ServerId::from(format!("box-{}", which % 3).as_str());
                    harness.call(|front, now, effects| front.server_lost(now, &server, effects));
                }
                (8, _) => {
                    index += 1;
                    let standing = |bit: usize| match which >> bit & 1 {
                        1 => Standing::Draining,
                        _ => Standing::Up,
                    };
                    let list = three_servers([0, 1, 2].map(standing));
                    let not_up = list.iter().filter(|listed| listed.standing != Standing::Up);
                    draining = not_up.map(|listed| listed.id.clone()).collect();
                    harness.call(|front, now, effects| front.servers_listed(now, index, &list, effects));
                }
                (9, _) => {
                    let server = ServerId::from(format!("box-{}", which % 3).as_str());
                    let link = Some(which as f64 / 2.0);
                    let note = Note::Load(Report { link, ..Report::default() });
                    harness.call(|front, now, effects| front.note_received(now, &server, &note, effects));
                }
                _ => {
                    let effects = harness.advance(span);
                    // An unsafe set-up that timed out may have run.
                    for line in effects.iter().filter(|line| line.starts_with("call_off")) {
                        let id = line.split(' ').nth(1).unwrap();
                        let prefix = format!("set_up {id} ");
                        let sent_unsafe =
                            |line: &String| line.starts_with(&prefix) && line.contains(" rides ");
                        if harness.lines.iter().any(sent_unsafe) {
                            checker.may_have_run.insert(id.into());
                        }
                    }
                }
            }
            checker.check(&harness.lines, &draining);
            for (request, at) in &requested {
                let owed = harness.now - at > 4000.0 && !closed.contains(request);
                prop_assert!(!owed || checker.answered.contains(request), "request {} has no answer", request);
            }
        }
        harness.advance(4000.0);
        checker.check(&harness.lines, &draining);
        for request in requested.keys().filter(|request| !closed.contains(request)) {
            prop_assert!(checker.answered.contains(request), "request {} has no answer", request);
        }
        harness.advance(120_000.0);
        let front = &harness.front;
        prop_assert_eq!((front.watch_count(), front.viewing_count(), front.waiting_requests()), (0, 0, 0));
    }
}
