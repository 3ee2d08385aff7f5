//! The split of a server's capacity into rungs.

use super::*;
use test_case::test_case;

/// With a quantile of 0.1, n viewings at a rung of rate r need r * (n + 0.1 * sqrt(n)): 1.1 r, 2.1414 r,
/// 3.1732 r.
#[test_case(&[3], 8.8, &[3]; "one fits exactly")]
#[test_case(&[3], 8.79, &[2]; "one step")]
#[test_case(&[3, 3], 17.14, &[3, 3]; "two fit")]
#[test_case(&[3, 3], 13.21, &[2, 3]; "one of two steps down")]
#[test_case(&[3, 3], 6.61, &[1, 2]; "several rungs")]
#[test_case(&[3, 1], 6.61, &[1, 2]; "the top rung before a lower request")]
#[test_case(&[3, 3, 3], 0.5, &[0, 0, 0]; "nothing fits")]
fn split_moves_top_rungs_down_just_enough(max_rungs: &[usize], capacity: f64, expected: &[usize]) {
    let counts: Vec<ClassCount> = max_rungs.iter().map(|rung| (class_at(0, *rung, false), 1.0)).collect();
    let split = placement_with(config(), 0).split(&counts, capacity, 1e-9);
    let mut rungs: Vec<usize> =
        split.iter().flat_map(|(class, count)| vec![class.rung.0; *count as usize]).collect();
    rungs.sort();
    assert_eq!(rungs, expected);
}

#[test_case(class_at(0, 3, false), class_at(1, 3, false), &[2, 3]; "lower value first")]
#[test_case(class_at(1, 3, true), class_at(0, 3, false), &[2, 3]; "beyond an allowance before lower value")]
fn split_lowers_viewings_beyond_an_allowance_and_of_low_value_first(
    lowered: DemandClass,
    kept: DemandClass,
    expected: &[usize],
) {
    let split = placement_with(config(), 0).split(&[(lowered, 1.0), (kept, 1.0)], 13.21, 1e-9);
    let rung = |package: PackageIndex| {
        split.iter().find(|(class, _)| class.package == package).map(|(class, _)| class.rung.0)
    };
    assert_eq!([rung(lowered.package), rung(kept.package)].map(Option::unwrap), expected);
}

#[test]
fn rule_5_no_rung_is_below_the_floor() {
    let mut config = config();
    config.packages[0].floor = Rung(2);
    config.link_unit_kb = 0.1;
    let mut placement = placement_with(config, 1);
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 2, vec![]);
    assert_eq!(placement.draw_rung(&viewing, &"s0".into()), Rung(2));
}

/// Otherwise, in a growing crowd, new viewings get rungs that fit only after others have stepped down.
#[test_case(0.5, 3; "there is room")]
#[test_case(0.9779, 1; "little is free")]
#[test_case(1.2, 0; "nothing is free")]
fn a_new_viewing_uses_no_more_than_is_free(load: f64, expected: usize) {
    let mut placement = placement_with(config(), 1);
    placement.demand = Demand { kb: 800.0, units: 100.0 };
    placement.record_uplink_load(&"s0".into(), 0.2, placement.now);
    placement.record_link_load(&"s0".into(), load, placement.now);
    placement.rng.unit();
    let viewing = insert_viewing(&mut placement, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(placement.draw_rung(&viewing, &"s0".into()), Rung(expected));
}

#[test]
fn a_live_viewing_counts_as_one_more_viewer_of_a_stream() {
    let placement = placement_with(live_config(), 1);
    let (live, recorded) = (PackageIndex(0), PackageIndex(1));
    assert_eq!((placement.rate(live, Rung(3)), placement.rate(recorded, Rung(3))), (2.0, 8.0));
}

/// A step of the second package frees twice as much for the same value.
#[test]
fn the_step_that_loses_least_value_for_its_rate_goes_first() {
    let mut config = PlacementConfig { rung_values: vec![0.2, 0.5, 0.8, 1.0], ..config() };
    (config.packages[0].rate_scale, config.packages[1].rate_scale) = (1.0, 16.0);
    let placement = placement_with(config, 0);
    let order = |a: DemandClass, b: DemandClass| placement.step_down_order(&a, &b);
    assert!(order(class_at(1, 2, false), class_at(0, 3, false)).is_gt());
    assert!(order(class_at(1, 2, false), class_at(0, 3, true)).is_lt(), "beyond an allowance goes first");
}
