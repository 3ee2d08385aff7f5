//! Load that is told to probes only.

use super::*;
use test_case::test_case;

/// Load is told to probes only; notes are one second late.
fn probing() -> PlacementConfig {
    PlacementConfig { reports_on_probe: true, report_interval: Ms(0.0), ..terms() }
}

fn told(asked: f64) -> Load {
    Load { link_uncapped: Some(asked), uplink: Some(0.1), ..Load::default() }
}

fn asked_for(it: &mut Placement) -> Said {
    let mut said = Said::default();
    it.request_viewing(it.now, wish("new"), &mut said);
    said
}

// Load that only probes tell is asked of the two picks; the viewing goes to the emptier once both have
// answered.
#[test]
fn the_picks_are_asked_first() {
    let mut it = placement(probing(), 2);
    let mut said = asked_for(&mut it);
    said.0.sort();
    assert_eq!(said.0, ["inspect s0", "inspect s1"]);
    let (mut one, mut both, now) = (Said::default(), Said::default(), it.now + Ms(20.0));
    it.probe_ended(now, &"s0".into(), Outcome::Served, told(0.9), &mut one);
    assert!(one.0.is_empty(), "{:?}", one.0);
    it.probe_ended(now, &"s1".into(), Outcome::Served, told(0.1), &mut both);
    assert!(both.0.iter().any(|it| it.starts_with("relay s1")), "{:?}", both.0);
}

#[test_case(199.0, 0; "still waited for")]
#[test_case(200.0, 1; "a fifth of the join target is all")]
fn probes_that_stay_out_hold_up_nobody(later: f64, relays: usize) {
    let mut it = placement(probing(), 2);
    asked_for(&mut it);
    let mut said = Said::default();
    it.timer_fired(it.now + Ms(later), TimerTag(0), &mut said);
    assert_eq!(said.0.iter().filter(|it| it.starts_with("relay")).count(), relays);
}

#[test]
fn no_probe_where_load_is_told_otherwise() {
    let mut it = placement(terms(), 2);
    assert!(!asked_for(&mut it).0.iter().any(|it| it.starts_with("inspect")));
}

// Boxes that lose the answers of tune-ins still answer probes.
#[test_case(Outcome::Served, 1; "an answer proves nothing")]
#[test_case(Outcome::TurnedAway, 1; "nor does a full table of probes")]
#[test_case(Outcome::NoConnection, 2; "a dead one does")]
fn a_probe_clears_no_failure(outcome: Outcome, failures: u32) {
    let mut it = placement(probing(), 1);
    it.judge(&"s0".into(), Outcome::NoAnswer);
    let later = it.now + Ms(1500.0);
    it.probe_ended(later, &"s0".into(), outcome, told(0.5), &mut Said::default());
    assert_eq!(it.servers[&"s0".into()].failures, failures);
}

#[test_case(1.0, 1.0; "none was told: reports are noisy")]
#[test_case(0.8, 1.3; "one was told")]
fn no_more_is_asked_than_given_where_no_shortage_is_told(delivered: f64, expected: f64) {
    let mut it = placement(probing(), 1);
    playing(&mut it, "a", "s0", 1);
    server(&mut it, "s0").delivered = (delivered, it.now);
    it.probe_ended(it.now, &"s0".into(), Outcome::Served, told(1.3), &mut Said::default());
    assert_eq!(it.servers[&"s0".into()].seen.map(|it| it.asked), Some(expected));
}
