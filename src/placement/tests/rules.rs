//! Final answers, and what a tune-in is given.

use super::*;
use test_case::test_case;

#[test]
fn rule_1_an_overdue_viewing_is_answered_once() {
    let mut it = placement(terms(), 1);
    add(&mut it, "a", Phase::Waiting, 0, vec![tried("s0", Some(Outcome::NoAnswer))]);
    it.now = Ms(104_000.0);
    let mut said = Said::default();
    it.settle(&mut said);
    it.settle(&mut said);
    assert_eq!(said.0, ["abort"]);
}

/// An attempt that was given up without an answer may run on: its end would be taken for the next one's.
#[test_case(&["s0"], &["relay s1 4000"]; "another holder is left")]
#[test_case(&["s0", "s1"], &["shed"]; "none is left, and the answer comes at once")]
fn no_second_attempt_goes_where_one_was_given_up(given_up: &[&str], expected: &[&str]) {
    let mut it = placement(terms(), 2);
    let earlier = given_up.iter().map(|server| tried(server, Some(Outcome::NoAnswer))).collect();
    add(&mut it, "a", Phase::Waiting, 0, earlier);
    let mut said = Said::default();
    it.settle(&mut said);
    let answers: Vec<&String> = said.0.iter().filter(|said| !said.starts_with("a to")).collect();
    assert_eq!(answers, expected);
}

#[test_case(1, true, 350.0; "another may follow")]
#[test_case(1, false, 4000.0; "no other holder")]
#[test_case(3, true, 4000.0; "the last tune-in")]
fn time_out_leaves_room_for_another(no: usize, others: bool, expected: f64) {
    let mut it = placement(terms(), 2);
    let earlier = vec![tried("s0", Some(Outcome::TurnedAway)); no - 1];
    let viewing = add(&mut it, "a", Phase::Waiting, 0, earlier);
    assert_eq!(it.time_out(&viewing, others), Ms(expected));
}

#[test_case(5000.0, "shed 2000"; "until the next note")]
#[test_case(500.0, "shed 500"; "no longer than viewers respect")]
fn blocked_viewers_are_told_when_to_come_back(most: f64, expected: &str) {
    let mut it = placement(PlacementConfig { max_stay_away: Some(Ms(most)), ..terms() }, 0);
    add(&mut it, "a", Phase::Waiting, 0, vec![]);
    let mut said = Said::default();
    it.finish(&"a".into(), &mut said);
    assert_eq!(said.0, [expected]);
}

#[test_case(0, 0.0, &["shed"]; "no holder at all")]
#[test_case(1, 500.0, &[]; "held while a holder is shunned")]
#[test_case(1, 1000.0, &["shed"]; "blocked once the join target is gone")]
fn give_up_answers_at_once(servers: usize, after: f64, expected: &[&str]) {
    let mut it = placement(terms(), servers);
    if servers > 0 {
        server(&mut it, "s0").shunned_until = Ms(1e9);
    }
    add(&mut it, "a", Phase::Waiting, 0, vec![]);
    it.now = it.now + Ms(after);
    let mut said = Said::default();
    it.give_up(&mut said);
    assert_eq!(said.0, expected);
}

#[test_case(
    PlacementConfig { ladder_kb: vec![], packages: vec![Package { top: Rung(0), ..package(1.0) }], ..terms() }; "no ladder"
)]
#[test_case(PlacementConfig { link_unit_kb: 0.0, uplink_kb: 0.0, ..terms() }; "zero capacity")]
#[test_case(PlacementConfig { manager_count: 0.0, cells: 0, racks: 0, ..terms() }; "no managers, cells or racks")]
#[test_case(PlacementConfig { report_interval: Ms(0.0), report_delay: Ms(0.0), tick: Ms(0.0), ..terms() }; "no notes")]
fn odd_terms_lead_to_one_orderly_answer(terms: PlacementConfig) {
    let mut it = placement(terms, 1);
    let mut said = Said::default();
    it.request_viewing(it.now, wish("a"), &mut said);
    let last = said.0.last().unwrap();
    assert!(last == "shed" || last.starts_with("relay s0"));
}

#[test_case(4, 350.0; "another can follow")]
#[test_case(0, 4000.0; "the budget is spent")]
fn a_tune_in_that_none_can_follow_gets_its_time(free: usize, expected: f64) {
    let budget = Some(ResendBudget { free_resends: free as f64, ratio: 0.0, window: Ms(1000.0) });
    let mut it = placement(PlacementConfig { budget, ..terms() }, 2);
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(it.time_out(&viewing, true), Ms(expected));
}
