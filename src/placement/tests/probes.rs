//! Load that is reported only to probes.

use super::*;
use test_case::test_case;

/// Reports only on probes, and one second late.
fn probing() -> PlacementConfig {
    PlacementConfig { reports_on_probe: true, report_interval: Ms(0.0), ..config() }
}

fn reported(link_load: f64) -> Load {
    Load { link_uncapped: Some(link_load), uplink: Some(0.1), ..Load::default() }
}

fn request_new(placement: &mut Placement) -> RecordedActions {
    let mut actions = RecordedActions::default();
    placement.request_viewing(placement.now, request("new"), &mut actions);
    actions
}

/// The viewing goes to the less loaded candidate once both have answered.
#[test]
fn both_candidates_are_probed_first() {
    let mut placement = placement_with(probing(), 2);
    let mut actions = request_new(&mut placement);
    actions.0.sort();
    assert_eq!(actions.0, ["probe s0", "probe s1"]);
    let (mut one, mut both) = (RecordedActions::default(), RecordedActions::default());
    let now = placement.now + Ms(20.0);
    placement.probe_ended(now, &"s0".into(), Outcome::Served, reported(0.9), &mut one);
    assert!(one.0.is_empty(), "{:?}", one.0);
    placement.probe_ended(now, &"s1".into(), Outcome::Served, reported(0.1), &mut both);
    assert!(both.0.iter().any(|line| line.starts_with("tune_in s1")), "{:?}", both.0);
}

#[test_case(199.0, 0; "still waiting")]
#[test_case(200.0, 1; "after a fifth of the join target")]
fn unanswered_probes_delay_a_viewing_only_briefly(later: f64, tune_ins: usize) {
    let mut placement = placement_with(probing(), 2);
    request_new(&mut placement);
    let mut actions = RecordedActions::default();
    placement.timer_fired(placement.now + Ms(later), TimerTag(0), &mut actions);
    assert_eq!(actions.0.iter().filter(|line| line.starts_with("tune_in")).count(), tune_ins);
}

#[test]
fn no_probe_is_sent_where_load_is_reported_otherwise() {
    let mut placement = placement_with(config(), 2);
    assert!(!request_new(&mut placement).0.iter().any(|line| line.starts_with("probe")));
}

/// A server whose tune-ins get no answer may still answer probes.
#[test_case(Outcome::Served, 1; "an answer proves nothing")]
#[test_case(Outcome::TurnedAway, 1; "a refused probe proves nothing")]
#[test_case(Outcome::NoConnection, 2; "a failed probe counts")]
fn an_answered_probe_clears_no_failure(outcome: Outcome, failures: u32) {
    let mut placement = placement_with(probing(), 1);
    placement.record_outcome(&"s0".into(), Outcome::NoAnswer);
    let later = placement.now + Ms(1500.0);
    placement.probe_ended(later, &"s0".into(), outcome, reported(0.5), &mut RecordedActions::default());
    assert_eq!(placement.servers[&"s0".into()].failures, failures);
}

/// Reports are noisy, and a shortage would have been noted.
#[test_case(1.0, 1.0; "no shortage noted")]
#[test_case(0.8, 1.3; "shortage noted")]
fn a_reported_load_is_at_most_1_unless_delivery_is_short(delivered: f64, expected: f64) {
    let mut placement = placement_with(probing(), 1);
    insert_playing(&mut placement, "a", "s0", 1);
    let now = placement.now;
    server_mut(&mut placement, "s0").delivered = Delivered { share: delivered, at: now };
    let mut actions = RecordedActions::default();
    placement.probe_ended(now, &"s0".into(), Outcome::Served, reported(1.3), &mut actions);
    assert_eq!(placement.servers[&"s0".into()].sample.map(|sample| sample.load), Some(expected));
}
