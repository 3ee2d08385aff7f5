//! The limit on the set-ups that all managers together send to a cold server: N + 2 * sqrt(N) + 2 in any fall
//! window, where N is what the settings allow. It holds whatever happens to the managers meanwhile.

use super::cold_fleet::{cold_config, manager_with_list, Delay, Event, Fleet, START};
use super::*;
use test_case::test_matrix;

/// From less than one set-up for each manager to far more.
const ALLOWED: [f64; 7] = [0.5, 1.0, 3.0, 10.0, 30.0, 100.0, 400.0];

#[test_matrix(
    [1, 2, 20, 30, 300],
    [
        Event::Nothing, Event::OneByOneRestart, Event::AllRestart, Event::AllRestartTwice,
        Event::NumberIsTold, Event::NumberComesByRestart, Event::SlotsAreTold
    ],
    [Delay::Zero, Delay::Random, Delay::Bunched]
)]
fn all_managers_together_stay_within_the_limit(managers: u64, event: Event, delay: Delay) {
    let seeds = if managers > 100 { 2 } else { 8 };
    for allowed in ALLOWED {
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        for seed in 0..seeds {
            let mut fleet = Fleet::new(managers, allowed, event, delay, seed * 0x9e37_79b9 + managers);
            fleet.fill(seed % 2 == 1);
            let most = fleet.fullest();
            assert!(most as f64 <= limit, "N {allowed}, seed {seed}: {most} of {limit:.1}");
            assert!(event != Event::Nothing || most > 0, "N {allowed}, seed {seed}: nothing is sent");
        }
    }
}

/// The margin of the limit is for events and delays; without these no window has more than N.
#[test_matrix([1, 2, 20, 30, 300])]
fn without_events_or_delay_no_window_has_more_than_is_allowed(managers: u64) {
    for allowed in ALLOWED {
        let mut fleet = Fleet::new(managers, allowed, Event::Nothing, Delay::Zero, 5);
        fleet.fill(true);
        assert!(fleet.fullest() as f64 <= allowed.max(1.0), "N {allowed}: {}", fleet.fullest());
    }
}

fn allows(placement: &mut Placement, after: f64) -> bool {
    placement.now = Ms(START + 500.0 + after);
    placement.pace_allows(&placement.servers[&"s0".into()])
}

fn record_set_up(placement: &mut Placement, at: Ms) {
    server_mut(placement, "s0").set_ups_sent.push(at);
}

/// The preceding manager may have sent its part; after that time the other managers know the new slots.
#[test]
fn a_new_manager_sends_nothing_to_a_server_listed_as_cold_for_two_windows() {
    let mut placement = manager_with_list(Ms(START + 500.0), 1, 0, cold_config(1, 30.0));
    assert!(!allows(&mut placement, 0.0));
    assert!(!allows(&mut placement, 2499.0));
    assert!(allows(&mut placement, 2501.0));
}

/// A server that is only possibly cold may well be warm: waiting for it would stop the whole fleet at each
/// restart.
#[test]
fn a_new_manager_sends_its_part_to_a_server_that_is_possibly_cold() {
    let (now, mut actions) = (Ms(START + 500.0), RecordedActions::default());
    let mut placement = Placement::new(now, 1, cold_config(1, 3.0), &mut actions);
    placement.update_servers(now, ListMode::Saved, &[entry("s0", 0)], &mut actions);
    for _ in 0..3 {
        assert!(allows(&mut placement, 0.0));
        record_set_up(&mut placement, now);
    }
    assert!(!allows(&mut placement, 0.0), "possibly cold for two windows");
}

/// The first connection may take long and the second none, so that both set-ups arrive in one window.
#[test]
fn set_ups_count_as_long_as_they_may_arrive_in_one_window() {
    let mut placement = manager_with_list(Ms(0.0), 1, 0, cold_config(1, 1.0));
    assert!(allows(&mut placement, 0.0));
    record_set_up(&mut placement, Ms(START + 500.0));
    assert!(!allows(&mut placement, 1249.0));
    assert!(allows(&mut placement, 1251.0));
}

/// The part grows from 15 in a window to 30, or shrinks from 30 to 15.
#[test_case::test_case(2.0, 1.0, 15, 30; "grows late")]
#[test_case::test_case(1.0, 2.0, 15, 15; "shrinks at once")]
fn the_lesser_of_two_parts_counts_until_others_know(before: f64, after: f64, soon: usize, later: usize) {
    let mut placement = manager_with_list(Ms(0.0), 1, 0, cold_config(1, 30.0));
    placement.set_slots(Ms(0.0), &[0], before);
    placement.set_slots(Ms(START + 500.0), &[0], after);
    for (elapsed, most) in [(0.0, soon), (2400.0, soon), (4000.0, later)] {
        let mut sent = 0;
        while allows(&mut placement, elapsed) {
            let now = placement.now;
            record_set_up(&mut placement, now);
            sent += 1;
        }
        assert_eq!(sent, most, "after {elapsed} ms");
    }
}

/// Through the inputs alone: set-up times are kept for as long as they count.
#[test]
fn viewings_set_up_at_a_cold_server_stay_within_the_pace() {
    let config = PlacementConfig { link_unit_kb: 1e6, uplink_kb: 0.0, ..cold_config(1, 10.0) };
    let mut placement = manager_with_list(Ms(0.0), 1, 0, config);
    let mut sent: Vec<f64> = Vec::new();
    for number in 0..800 {
        let (now, mut actions) = (Ms(START + number as f64 * 10.0), RecordedActions::default());
        let request = ViewingRequest { deadline: now + Ms(400.0), ..request(&format!("v{number}")) };
        placement.request_viewing(now, request, &mut actions);
        placement.timer_fired(now, TimerTag(0), &mut actions);
        let tune_ins = actions.0.iter().filter(|line| line.starts_with("tune_in s0"));
        sent.extend(tune_ins.map(|_| now.0));
    }
    // Of 800 over 8 s, ten are sent in each send window.
    assert_eq!(sent.len(), 70);
    let within = |end: f64| sent.iter().filter(|at| end - 1250.0 < **at && **at <= end).count();
    assert!(sent.iter().all(|end| within(*end) <= 10));
}
