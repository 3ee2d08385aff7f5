//! The limit on what all managers together send to a cold server in any fall window: N + 2 x root of N + 2, N
//! being what the settings allow it. It holds whatever happens to the managers meanwhile.

use super::cold_fleet::{cold_terms, told_at_birth, Delay, Event, Fleet, START};
use super::*;
use test_case::test_matrix;

/// Under one set-up a manager and far over it.
const ALLOWED: [f64; 7] = [0.5, 1.0, 3.0, 10.0, 30.0, 100.0, 400.0];

#[test_matrix(
    [1, 2, 20, 30, 300],
    [
        Event::Nothing, Event::OneByOneRestart, Event::AllRestart, Event::AllRestartTwice,
        Event::NumberIsTold, Event::NumberComesByRestart, Event::SlotsAreTold
    ],
    [Delay::Zero, Delay::Random, Delay::Bunched]
)]
fn all_managers_together_keep_to_the_limit(managers: u64, event: Event, delay: Delay) {
    let seeds = if managers > 100 { 2 } else { 8 };
    for n in ALLOWED {
        let limit = n + 2.0 * n.sqrt() + 2.0;
        for seed in 0..seeds {
            let mut fleet = Fleet::new(managers, n, event, delay, seed * 0x9e37_79b9 + managers);
            fleet.fill(seed % 2 == 1);
            let most = fleet.fullest();
            assert!(most as f64 <= limit, "N {n}, seed {seed}: {most} of {limit:.1}");
            assert!(event != Event::Nothing || most > 0, "N {n}, seed {seed}: nothing is sent");
        }
    }
}

/// What is left to chance is not used up where nothing happens: without delay no window holds more than N.
#[test_matrix([1, 2, 20, 30, 300])]
fn without_events_or_delay_no_window_holds_more_than_is_allowed(managers: u64) {
    for n in ALLOWED {
        let mut fleet = Fleet::new(managers, n, Event::Nothing, Delay::Zero, 5);
        fleet.fill(true);
        assert!(fleet.fullest() as f64 <= n.max(1.0), "N {n}: {}", fleet.fullest());
    }
}

fn allows(it: &mut Placement, after: f64) -> bool {
    it.now = Ms(START + 500.0 + after);
    it.pace_allows(&it.servers[&"s0".into()])
}

/// The manager before may have sent its part; where others go by other parts, they know of this one by then.
#[test]
fn a_new_manager_sends_nothing_to_a_server_told_cold_for_two_windows() {
    let mut it = told_at_birth(Ms(START + 500.0), 1, 0, cold_terms(1, 30.0));
    assert!(!allows(&mut it, 0.0));
    assert!(!allows(&mut it, 2499.0));
    assert!(allows(&mut it, 2501.0));
}

/// A server that is only doubted may well be warm: waiting for it would stop the whole fleet at each restart.
#[test]
fn a_new_manager_sends_its_part_to_a_server_that_it_only_doubts() {
    let now = Ms(START + 500.0);
    let mut it = Placement::new(now, 1, cold_terms(1, 3.0), &mut Said::default());
    it.update_servers(now, ListMode::Saved, &[entry("s0", 0)], &mut Said::default());
    for _ in 0..3 {
        assert!(allows(&mut it, 0.0));
        server(&mut it, "s0").sent.push(now);
    }
    assert!(!allows(&mut it, 0.0), "doubted for two windows");
}

/// The first connection may have come up late and the second at once.
#[test]
fn sends_count_for_as_long_as_they_may_meet_in_one_window() {
    let mut it = told_at_birth(Ms(0.0), 1, 0, cold_terms(1, 1.0));
    assert!(allows(&mut it, 0.0));
    server(&mut it, "s0").sent.push(Ms(START + 500.0));
    assert!(!allows(&mut it, 1249.0));
    assert!(allows(&mut it, 1251.0));
}

// The part grows from 15 in a window to 30, or shrinks from 30 to 15: until the others can know, the lesser.
#[test_case::test_case(2.0, 1.0, 15, 30; "grows late")]
#[test_case::test_case(1.0, 2.0, 15, 15; "shrinks at once")]
fn of_two_parts_the_lesser_counts_until_others_can_know(before: f64, of: f64, soon: usize, later: usize) {
    let mut it = told_at_birth(Ms(0.0), 1, 0, cold_terms(1, 30.0));
    it.set_slots(Ms(0.0), &[0], before);
    it.set_slots(Ms(START + 500.0), &[0], of);
    for (after, most) in [(0.0, soon), (2400.0, soon), (4000.0, later)] {
        let mut sent = 0;
        while allows(&mut it, after) {
            let now = it.now;
            server(&mut it, "s0").sent.push(now);
            sent += 1;
        }
        assert_eq!(sent, most, "after {after} ms");
    }
}

/// Through the inputs alone: what was sent is kept for as long as it counts.
#[test]
fn viewings_set_up_at_a_cold_server_keep_to_the_pace() {
    let terms = PlacementConfig { link_unit_kb: 1e6, uplink_kb: 0.0, ..cold_terms(1, 10.0) };
    let mut it = told_at_birth(Ms(0.0), 1, 0, terms);
    let mut sent: Vec<f64> = Vec::new();
    for no in 0..800 {
        let (now, mut said) = (Ms(START + no as f64 * 10.0), Said::default());
        it.request_viewing(
            now,
            ViewingRequest { deadline: now + Ms(400.0), ..wish(&format!("v{no}")) },
            &mut said,
        );
        it.timer_fired(now, TimerTag(0), &mut said);
        sent.extend(said.0.iter().filter(|it| it.starts_with("relay s0")).map(|_| now.0));
    }
    // Of 800 over 8 s, ten go there in each send window.
    assert_eq!(sent.len(), 70);
    let within = |end: f64| sent.iter().filter(|at| end - 1250.0 < **at && **at <= end).count();
    assert!(sent.iter().all(|end| within(*end) <= 10));
}
