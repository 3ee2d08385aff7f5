//! The pace at cold servers and at those that failed.

use super::*;
use test_case::test_case;

// 48 places over 10 s, half warm, 4 times that for 1 s, over 1.5 as packages differ: 6.4, so 3 for each of
// two.
#[test_case(Ms(100_001.0), 0, 2, true; "cold, paced")]
#[test_case(Ms(100_001.0), 0, 3, false; "cold, its part is used up")]
#[test_case(Ms::DISTANT_PAST, 0, 9, true; "warm")]
#[test_case(Ms::DISTANT_PAST, 1, 3, false; "failed, may have restarted unseen")]
fn rule_4_cold_pace(cold_until: Ms, failures: u32, sent: usize, allowed: bool) {
    let mut it = placement(terms(), 1);
    let now = it.now;
    let server = server(&mut it, "s0");
    (server.cold_until, server.failures) = (cold_until, failures);
    server.sent = vec![now; sent];
    assert_eq!(it.pace_allows(&it.servers[&"s0".into()]), allowed);
}

#[test_case(48.0, 6, false; "three together for a window")]
#[test_case(48.0, 6, true; "late in one turn and early in the next")]
#[test_case(16.0, 2, false; "one for a window")]
#[test_case(16.0, 2, true; "one late and one early")]
#[test_case(8.0, 1, false; "one set-up in any window")]
fn rule_4_many_managers_take_turns(places: f64, most: usize, on_edges: bool) {
    let mut sent: Vec<f64> = Vec::new();
    for me in 0..9 {
        let mut it =
            placement(PlacementConfig { manager_count: 9.0, manager: ManagerIndex(me), ..terms() }, 1);
        it.terms.places_by_kind.insert("k".into(), places);
        server(&mut it, "s0").cold_until = Ms(1e9);
        // A window is a hundred ticks: at worst all send about an edge between two turns.
        let edge = |tick: &usize| (95..105).contains(&(tick % 200));
        for tick in (0..2000).filter(|it| !on_edges || edge(it)) {
            it.now = Ms(100_000.0 + tick as f64 * 10.0);
            if it.pace_allows(&it.servers[&"s0".into()]) {
                let now = it.now;
                server(&mut it, "s0").sent.push(now);
                sent.push(now.0);
            }
        }
    }
    assert!(sent.len() > 9);
    assert!(sent
        .iter()
        .all(|end| sent.iter().filter(|at| end - 1000.0 < **at && *at <= end).count() <= most));
}

// With a turn of a fifteenth of a window for each of 300 managers, a tenth of what a cold server takes was
// sent.
#[test]
fn rule_4_turns_are_long_enough_to_be_used() {
    let sent = |me| {
        let mut it =
            placement(PlacementConfig { manager_count: 9.0, manager: ManagerIndex(me), ..terms() }, 1);
        server(&mut it, "s0").cold_until = Ms(1e9);
        // A viewing for that server comes each 700 ms.
        let mut times = 0;
        for round in 0..60 {
            it.now = Ms(100_000.0 + 700.0 * round as f64);
            if it.pace_allows(&it.servers[&"s0".into()]) {
                let now = it.now;
                server(&mut it, "s0").sent.push(now);
                times += 1;
            }
        }
        times
    };
    // Nine managers, three in a turn, 42 turns of a window.
    let all: Vec<i32> = (0..9).map(sent).collect();
    assert!(all.iter().all(|it| (13..=15).contains(it)), "{all:?}");
}

#[test]
fn a_server_that_answers_again_may_just_have_restarted() {
    let mut it = placement(terms(), 1);
    it.judge(&"s0".into(), Outcome::ConnectionLost);
    it.judge(&"s0".into(), Outcome::Served);
    assert_eq!(it.servers[&"s0".into()].cold_until, Ms(110_000.0));
}

// What started unlisted before the manager did is listed soon; a whole warm-up of doubt emptied the fleet.
#[test]
fn a_restarted_manager_doubts_for_two_fall_windows() {
    let it = Placement::new(Ms(5000.0), 1, terms(), &mut Said::default());
    assert_eq!(it.unsure_until, Ms(7000.0));
}

// 48 places: 6 in a window, so with 16 slots or more they take turns, three slots together.
#[test_case(48.0, &[&[0, 1, 2, 3], &[4], &[5], &[6, 7, 8]], 9.0, 6; "turns by slots, unevenly held")]
#[test_case(48.0, &[&[0, 1, 2, 3], &[4], &[5], &[6], &[7], &[8]], 9.0, 6; "one with many slots beside such with one")]
#[test_case(800.0, &[&[0, 1, 2, 3], &[4], &[5], &[6, 7, 8]], 9.0, 106; "counts by slots, unevenly held")]
#[test_case(48.0, &[&[0], &[], &[5]], 9.0, 6; "slots that nobody holds stay unused")]
fn rule_4_parts_by_slots(places: f64, held: &[&[u64]], of: f64, all: usize) {
    for on_edges in [false, true] {
        parts_by_slots(places, held, of, all, on_edges);
    }
}

// Set-ups go out whenever they may, or only about an edge between two turns.
fn parts_by_slots(places: f64, held: &[&[u64]], of: f64, all: usize, on_edges: bool) {
    let mut sent: Vec<(f64, usize)> = Vec::new();
    let edge = |tick: &usize| (95..105).contains(&(tick % 200));
    for (number, slots) in held.iter().enumerate() {
        let mut it = placement(
            PlacementConfig { manager_count: 4.0, manager: ManagerIndex(number as u64), ..terms() },
            1,
        );
        it.set_slots(Ms(0.0), slots, of);
        it.terms.places_by_kind.insert("k".into(), places);
        server(&mut it, "s0").cold_until = Ms(1e9);
        for tick in (0..4000).filter(|it| !on_edges || edge(it)) {
            it.now = Ms(100_000.0 + tick as f64 * 10.0);
            while it.pace_allows(&it.servers[&"s0".into()]) {
                let now = it.now;
                server(&mut it, "s0").sent.push(now);
                sent.push((now.0, number));
            }
        }
    }
    let of_one = |number| sent.iter().filter(|it| it.1 == number).count();
    for (number, slots) in held.iter().enumerate() {
        assert_eq!(of_one(number) > 0, !slots.is_empty(), "{number}");
    }
    let window = |end: f64| sent.iter().filter(|it| end - 1000.0 < it.0 && it.0 <= end).count();
    assert!(sent.iter().all(|it| window(it.0) <= all), "{:?}", sent.iter().map(|it| window(it.0)).max());
    assert!(of_one(0) >= of_one(2), "who holds more slots may send more");
}
