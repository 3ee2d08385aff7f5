//! Capacity and load of links.

use super::*;
use test_case::test_case;

/// Two viewings of this manager demand 20 of a link of 100; the other managers' are counted at their mean
/// rate of 10.
#[test_case(0.5, 2.0, 40.0; "two of five viewings get two fifths of all")]
#[test_case(1.25, 2.0, 16.0; "each gives up a part in proportion")]
#[test_case(0.1, 2.0, 200.0; "own demand above the whole load means a larger link")]
#[test_case(0.5, 3.0, 50.0; "a new viewing is included")]
fn fair_share_is_in_proportion_to_viewings(load: f64, units: f64, expected: f64) {
    let demand = Demand { kb: 20.0, units: 2.0 };
    let sample = LoadSample { load, demand, at: Ms(0.0) };
    let link = LinkState { listed_kb: 100.0, sample, demand };
    assert!((placement_with(config(), 0).fair_share_kb(&link, units, 1.0) - expected).abs() < 1e-9);
}

#[test]
fn a_sample_has_the_own_demand_at_the_time_of_the_note() {
    let mut placement = placement_with(config(), 1);
    insert_playing(&mut placement, "a", "s0", 3);
    placement.now = Ms(100_500.0);
    placement.update_viewing(&"a".into(), |viewing| viewing.rung = Rung(2));
    placement.record_link_load(&"s0".into(), 0.9, Ms(100_200.0));
    let server = &placement.servers[&"s0".into()];
    assert_eq!((server.sample.unwrap().demand.kb, server.demand.kb), (8.0, 4.0));
}

/// Without extrapolation, each of 300 managers fills the links by samples from before a crowd arrived at all
/// of them.
#[test_case(8, 8, 0.0, 0.7; "no change")]
#[test_case(8, 20, 0.0, 1.2; "growth here means growth at all managers")]
#[test_case(20, 8, 0.0, 0.45; "so does a decline")]
#[test_case(20, 8, -1.0, 0.7; "but not viewings lost with their server")]
#[test_case(0, 40, 0.0, 1.2; "limited growth")]
#[test_case(8, 20, 99_900.0, 0.7; "but not viewings taken over")]
#[test_case(0, 0, 0.0, 0.7; "no viewing")]
fn a_sample_is_extrapolated_by_own_growth(
    before: usize,
    after: usize,
    history_valid_from: f64,
    expected: f64,
) {
    let mut placement = placement_with(config(), 3);
    placement.history_valid_from = Ms(history_valid_from);
    placement.now = Ms(98_000.0);
    for number in 0..before {
        insert_playing(&mut placement, &format!("{number}"), "s1", 2);
    }
    placement.now = Ms(99_950.0);
    placement.review_at(&"s1".into(), Ms(1e9));
    for number in after..before {
        let (id, server) = (format!("{number}").as_str().into(), "s1".into());
        let outcome = if history_valid_from < 0.0 { Outcome::ConnectionLost } else { Outcome::Served };
        let (now, load, mut actions) = (placement.now, Load::default(), RecordedActions::default());
        placement.tune_in_ended(now, &id, TuneInIndex(0), &server, outcome, true, load, &mut actions);
    }
    for number in before..after {
        insert_playing(&mut placement, &format!("{number}"), "s1", 2);
    }
    placement.now = Ms(100_000.0);
    // A fifth of the capacity is this manager's own demand, which is known.
    let demand = Demand { kb: 20.0, units: 5.0 };
    let sample = LoadSample { load: 0.7, demand, at: Ms(99_000.0) };
    let load = placement.extrapolated(100.0, sample).load;
    assert!((load - expected).abs() < 1e-6, "{load}");
}

#[test]
fn places_replace_weights_that_are_not_listed() {
    let places_by_kind = [(HardwareKind::from("k"), 20.0), (HardwareKind::from("large"), 60.0)].into();
    let mut placement =
        placement_with(PlacementConfig { weights_listed: false, places_by_kind, ..config() }, 1);
    let large = ServerEntry { kind: "large".into(), ..entry("s1", 1) };
    let now = placement.now;
    placement.update_servers(now, ListMode::Incremental, &[large], &mut RecordedActions::default());
    let kb = |id: &str| placement.link_kb(&placement.servers[&id.into()]);
    assert_eq!((kb("s0"), kb("s1")), (50.0, 150.0));
}

/// If it depended on slots, a manager with one slot of 37 would take unreported links for nearly full.
#[test]
fn the_assumed_load_depends_on_managers_and_not_on_slots() {
    let mut placement = placement_with(PlacementConfig { manager_count: 5.0, ..config() }, 1);
    let demand = Demand { kb: 10.0, units: 1.0 };
    let before = placement.assumed_sample(0.9, 100.0, demand).load;
    placement.set_slots(Ms(0.0), &[36], 37.0);
    assert_eq!(placement.assumed_sample(0.9, 100.0, demand).load, before);
    assert!((before - (0.9 * 0.8 + 0.1)).abs() < 1e-9);
}
