//! Final answers, and the time-outs of tune-ins.

use super::*;
use test_case::test_case;

#[test]
fn rule_1_an_overdue_viewing_is_answered_once() {
    let mut placement = placement_with(config(), 1);
    let earlier = vec![tune_in_at("s0", Some(Outcome::NoAnswer))];
    insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    placement.now = Ms(104_000.0);
    let mut actions = RecordedActions::default();
    placement.apply_rules(&mut actions);
    placement.apply_rules(&mut actions);
    assert_eq!(actions.0, ["abort"]);
}

/// An abandoned tune-in may still run, and its end could be mistaken for the end of another one at that
/// server.
#[test_case(&["s0"], &["tune_in s1 4000"]; "another holder is left")]
#[test_case(&["s0", "s1"], &["shed"]; "no holder is left, and the answer comes at once")]
fn no_tune_in_goes_where_one_was_abandoned(abandoned: &[&str], expected: &[&str]) {
    let mut placement = placement_with(config(), 2);
    let earlier = abandoned.iter().map(|server| tune_in_at(server, Some(Outcome::NoAnswer))).collect();
    insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    let mut actions = RecordedActions::default();
    placement.apply_rules(&mut actions);
    let answers: Vec<&String> = actions.0.iter().filter(|line| !line.starts_with("a to")).collect();
    assert_eq!(answers, expected);
}

#[test_case(1, true, 350.0; "another is possible")]
#[test_case(1, false, 4000.0; "no other holder")]
#[test_case(3, true, 4000.0; "the last tune-in")]
fn the_time_out_leaves_time_for_another_tune_in(number: usize, has_alternative: bool, expected: f64) {
    let mut placement = placement_with(config(), 2);
    let earlier = vec![tune_in_at("s0", Some(Outcome::TurnedAway)); number - 1];
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, earlier);
    assert_eq!(placement.tune_in_time_out(&viewing, has_alternative), Ms(expected));
}

#[test_case(5000.0, "shed 2000"; "until the next note")]
#[test_case(500.0, "shed 500"; "at most the configured delay")]
fn blocked_viewers_are_given_a_retry_delay(longest: f64, expected: &str) {
    let config = PlacementConfig { max_stay_away: Some(Ms(longest)), ..config() };
    let mut placement = placement_with(config, 0);
    insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    let mut actions = RecordedActions::default();
    placement.finish(&"a".into(), &mut actions);
    assert_eq!(actions.0, [expected]);
}

#[test_case(0, 0.0, &["shed"]; "no holder")]
#[test_case(1, 500.0, &[]; "waits for an avoided holder")]
#[test_case(1, 1000.0, &["shed"]; "blocked after the join target")]
fn give_up_answers_as_soon_as_waiting_is_useless(servers: usize, after: f64, expected: &[&str]) {
    let mut placement = placement_with(config(), servers);
    if servers > 0 {
        server_mut(&mut placement, "s0").avoid_until = Ms(1e9);
    }
    insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    placement.now = placement.now + Ms(after);
    let mut actions = RecordedActions::default();
    placement.give_up(&mut actions);
    assert_eq!(actions.0, expected);
}

#[test_case(
    PlacementConfig {
        ladder_kb: vec![], packages: vec![Package { top: Rung(0), ..package(1.0) }], ..config()
    };
    "no ladder"
)]
#[test_case(PlacementConfig { link_unit_kb: 0.0, uplink_kb: 0.0, ..config() }; "zero capacity")]
#[test_case(
    PlacementConfig { manager_count: 0.0, cells: 0, racks: 0, ..config() };
    "no managers, cells or racks"
)]
#[test_case(
    PlacementConfig { report_interval: Ms(0.0), report_delay: Ms(0.0), tick: Ms(0.0), ..config() };
    "no notes"
)]
fn a_request_is_answered_under_degenerate_settings(config: PlacementConfig) {
    let mut placement = placement_with(config, 1);
    let mut actions = RecordedActions::default();
    placement.request_viewing(placement.now, request("a"), &mut actions);
    let last = actions.0.last().unwrap();
    assert!(last == "shed" || last.starts_with("tune_in s0"));
}

#[test_case(4, 350.0; "another can follow")]
#[test_case(0, 4000.0; "the budget is used up")]
fn the_last_tune_in_allowed_by_the_budget_gets_all_time(free_resends: usize, expected: f64) {
    let budget = ResendBudget { free_resends: free_resends as f64, ratio: 0.0, window: Ms(1000.0) };
    let mut placement = placement_with(PlacementConfig { budget: Some(budget), ..config() }, 2);
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(placement.tune_in_time_out(&viewing, true), Ms(expected));
}
