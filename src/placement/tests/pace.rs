//! The rate of set-ups at cold servers, and servers that failed.

use super::*;
use test_case::test_case;

/// 48 places over 10 s, at half capacity, times 4 for 1 s, over 1.5 because packages differ: 6.4, so 3 for
/// each of two managers.
#[test_case(Ms(100_001.0), 0, 2, true; "cold, within its part")]
#[test_case(Ms(100_001.0), 0, 3, false; "cold, its part used up")]
#[test_case(Ms::DISTANT_PAST, 0, 9, true; "warm")]
#[test_case(Ms::DISTANT_PAST, 1, 3, false; "failed, and may have restarted unnoticed")]
fn rule_4_limits_set_ups_at_a_cold_server(cold_until: Ms, failures: u32, sent: usize, allowed: bool) {
    let mut placement = placement_with(config(), 1);
    let now = placement.now;
    let server = server_mut(&mut placement, "s0");
    (server.cold_until, server.failures) = (cold_until, failures);
    server.set_ups_sent = vec![now; sent];
    assert_eq!(placement.pace_allows(&placement.servers[&"s0".into()]), allowed);
}

/// A window has a hundred ticks; at worst all set-ups are sent close to the edge between two turns.
fn near_edge(tick: usize) -> bool {
    (95..105).contains(&(tick % 200))
}

#[test_case(48.0, 6, false; "three slots in a turn of one window")]
#[test_case(48.0, 6, true; "three slots, late in one turn and early in the next")]
#[test_case(16.0, 2, false; "one slot in a turn of one window")]
#[test_case(16.0, 2, true; "one slot, late in one turn and early in the next")]
#[test_case(8.0, 1, false; "one set-up in any window")]
fn rule_4_many_managers_take_turns(places: f64, limit: usize, on_edges: bool) {
    let mut sent: Vec<f64> = Vec::new();
    for manager in (0..9).map(ManagerIndex) {
        let mut placement = placement_with(PlacementConfig { manager_count: 9.0, manager, ..config() }, 1);
        placement.config.places_by_kind.insert("k".into(), places);
        server_mut(&mut placement, "s0").cold_until = Ms(1e9);
        for tick in (0..2000).filter(|tick| !on_edges || near_edge(*tick)) {
            placement.now = Ms(100_000.0 + tick as f64 * 10.0);
            if placement.pace_allows(&placement.servers[&"s0".into()]) {
                let now = placement.now;
                server_mut(&mut placement, "s0").set_ups_sent.push(now);
                sent.push(now.0);
            }
        }
    }
    assert!(sent.len() > 9);
    let in_window = |end: f64| sent.iter().filter(|at| end - 1000.0 < **at && **at <= end).count();
    assert!(sent.iter().all(|end| in_window(*end) <= limit));
}

/// With turns of a fifteenth of a window for each of 300 managers only a tenth of the allowed set-ups was
/// sent.
#[test]
fn rule_4_turns_are_long_enough_to_be_used() {
    let sent = |manager| {
        let manager = ManagerIndex(manager);
        let mut placement = placement_with(PlacementConfig { manager_count: 9.0, manager, ..config() }, 1);
        server_mut(&mut placement, "s0").cold_until = Ms(1e9);
        // A viewing for that server arrives every 700 ms.
        let mut count = 0;
        for round in 0..60 {
            placement.now = Ms(100_000.0 + 700.0 * round as f64);
            if placement.pace_allows(&placement.servers[&"s0".into()]) {
                let now = placement.now;
                server_mut(&mut placement, "s0").set_ups_sent.push(now);
                count += 1;
            }
        }
        count
    };
    // Nine managers, three in a turn, 42 turns of a window.
    let counts: Vec<i32> = (0..9).map(sent).collect();
    assert!(counts.iter().all(|count| (13..=15).contains(count)), "{counts:?}");
}

#[test]
fn a_failed_server_that_answers_again_counts_as_just_restarted() {
    let mut placement = placement_with(config(), 1);
    placement.record_outcome(&"s0".into(), Outcome::ConnectionLost);
    placement.record_outcome(&"s0".into(), Outcome::Served);
    assert_eq!(placement.servers[&"s0".into()].cold_until, Ms(110_000.0));
}

/// Servers that started before the manager did are listed by then. When a restarted manager treated all
/// servers as cold for a whole warm-up, the fleet emptied.
#[test]
fn a_restarted_manager_treats_servers_as_possibly_cold_for_two_fall_windows() {
    let placement = Placement::new(Ms(5000.0), 1, config(), &mut RecordedActions::default());
    assert_eq!(placement.starts_unknown_until, Ms(7000.0));
}

/// 48 places allow 6 in a window, so with 16 slots or more they take turns, three slots together.
#[test_case(48.0, &[&[0, 1, 2, 3], &[4], &[5], &[6, 7, 8]], 9.0, 6; "turns, slots unevenly held")]
#[test_case(
    48.0, &[&[0, 1, 2, 3], &[4], &[5], &[6], &[7], &[8]], 9.0, 6;
    "turns, one manager with many slots among others with one"
)]
#[test_case(800.0, &[&[0, 1, 2, 3], &[4], &[5], &[6, 7, 8]], 9.0, 106; "counts, slots unevenly held")]
#[test_case(48.0, &[&[0], &[], &[5]], 9.0, 6; "slots without a holder stay unused")]
fn rule_4_parts_follow_slots(places: f64, held: &[&[u64]], total: f64, limit: usize) {
    for on_edges in [false, true] {
        check_parts_of_slots(places, held, total, limit, on_edges);
    }
}

/// Set-ups are sent whenever allowed, or only near the edges between turns.
fn check_parts_of_slots(places: f64, held: &[&[u64]], total: f64, limit: usize, on_edges: bool) {
    let mut sent: Vec<(f64, usize)> = Vec::new();
    for (number, slots) in held.iter().enumerate() {
        let manager = ManagerIndex(number as u64);
        let mut placement = placement_with(PlacementConfig { manager_count: 4.0, manager, ..config() }, 1);
        placement.set_slots(Ms(0.0), slots, total);
        placement.config.places_by_kind.insert("k".into(), places);
        server_mut(&mut placement, "s0").cold_until = Ms(1e9);
        for tick in (0..4000).filter(|tick| !on_edges || near_edge(*tick)) {
            placement.now = Ms(100_000.0 + tick as f64 * 10.0);
            while placement.pace_allows(&placement.servers[&"s0".into()]) {
                let now = placement.now;
                server_mut(&mut placement, "s0").set_ups_sent.push(now);
                sent.push((now.0, number));
            }
        }
    }
    let sent_by = |number| sent.iter().filter(|(_, sender)| *sender == number).count();
    for (number, slots) in held.iter().enumerate() {
        assert_eq!(sent_by(number) > 0, !slots.is_empty(), "{number}");
    }
    let in_window = |end: f64| sent.iter().filter(|(at, _)| end - 1000.0 < *at && *at <= end).count();
    let fullest = sent.iter().map(|(at, _)| in_window(*at)).max();
    assert!(sent.iter().all(|(at, _)| in_window(*at) <= limit), "{fullest:?}");
    assert!(sent_by(0) >= sent_by(2), "a manager with more slots may send more");
}
