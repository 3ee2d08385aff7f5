//! Who plays at which rung.

use super::*;
use test_case::test_case;

// With phi of 0.1 a rung of rate r holds n viewings at r x (n + 0.1 x root of n): 1.1 r, 2.1414 r, 3.1732 r.
#[test_case(&[3], 8.8, &[3]; "one fits exactly")]
#[test_case(&[3], 8.79, &[2]; "one step")]
#[test_case(&[3, 3], 17.14, &[3, 3]; "two fit")]
#[test_case(&[3, 3], 13.21, &[2, 3]; "a share of one steps")]
#[test_case(&[3, 3], 6.61, &[1, 2]; "several rungs")]
#[test_case(&[3, 1], 6.61, &[1, 2]; "top rung before lower request")]
#[test_case(&[3, 3, 3], 0.5, &[0, 0, 0]; "nothing fits")]
fn split_moves_top_rungs_down_just_enough(best: &[usize], capacity: f64, expected: &[usize]) {
    let askers: Vec<Counted> = best.iter().map(|best| (asker(0, *best, false), 1.0)).collect();
    let split = placement(terms(), 0).split(&askers, capacity, 1e-9);
    let mut rungs: Vec<usize> = split.iter().flat_map(|it| vec![it.0.rung.0; it.1 as usize]).collect();
    rungs.sort();
    assert_eq!(rungs, expected);
}

#[test_case(asker(0, 3, false), asker(1, 3, false), &[2, 3]; "lower value first")]
#[test_case(asker(1, 3, true), asker(0, 3, false), &[2, 3]; "over its share before value")]
fn split_spares_value_and_those_within_their_share(one: Asker, other: Asker, expected: &[usize]) {
    let split = placement(terms(), 0).split(&[(one, 1.0), (other, 1.0)], 13.21, 1e-9);
    let rung = |of: Asker| split.iter().find(|it| it.0.package == of.package).map(|it| it.0.rung.0);
    assert_eq!([rung(one), rung(other)].map(Option::unwrap), expected);
}

#[test]
fn rule_5_no_rung_under_the_floor() {
    let mut terms = terms();
    terms.packages[0].floor = Rung(2);
    terms.link_unit_kb = 0.1;
    let mut it = placement(terms, 1);
    let viewing = add(&mut it, "a", Phase::Waiting, 2, vec![]);
    assert_eq!(it.draw(&viewing, &"s0".into()), Rung(2));
}

// In a growing crowd newcomers took a rung that fitted only once others had stepped down.
#[test_case(0.5, 3; "there is room")]
#[test_case(0.9779, 1; "little is free")]
#[test_case(1.2, 0; "nothing is free")]
fn a_newcomer_asks_for_no_more_than_is_free(asked: f64, expected: usize) {
    let mut it = placement(terms(), 1);
    it.own = (800.0, 100.0);
    it.note_uplink(&"s0".into(), 0.2, it.now);
    it.note_link(&"s0".into(), asked, it.now);
    it.chance.part();
    let viewing = add(&mut it, "a", Phase::Waiting, 0, vec![]);
    assert_eq!(it.draw(&viewing, &"s0".into()), Rung(expected));
}

#[test]
fn a_live_viewing_counts_as_a_further_one() {
    let it = placement(live(), 1);
    assert_eq!((it.rate(PackageIndex(0), Rung(3)), it.rate(PackageIndex(1), Rung(3))), (2.0, 8.0));
}

// A step of the dear package frees twice as much for the same worth.
#[test]
fn the_step_that_costs_least_worth_for_its_rate_goes_down_first() {
    let mut terms = PlacementConfig { rung_values: vec![0.2, 0.5, 0.8, 1.0], ..terms() };
    (terms.packages[0].rate_scale, terms.packages[1].rate_scale) = (1.0, 16.0);
    let it = placement(terms, 0);
    assert!(it.goes_down(&asker(1, 2, false), &asker(0, 3, false)).is_gt());
    assert!(it.goes_down(&asker(1, 2, false), &asker(0, 3, true)).is_lt(), "over its share comes first");
}
