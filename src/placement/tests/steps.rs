//! Steps of viewings that play.

use super::*;
use test_case::test_case;

// Where hundreds share a link, an equal part of what is free was less than any step and links stood idle.
#[test_case(0.5, 0.1, &["a to 1"]; "a part that is not whole, drawn")]
#[test_case(0.5, 0.9, &[]; "not drawn")]
#[test_case(0.84, 0.001, &[]; "a whole step does not fit the link")]
#[test_case(1.3, 0.2, &["a to 0"]; "down, drawn")]
#[test_case(1.3, 0.9, &[]; "down, not drawn")]
#[test_case(1.1, 0.05, &["a to 0"]; "a link a little short does not stay so")]
fn a_part_of_a_step_is_drawn(asked: f64, lot: f64, expected: &[&str]) {
    let mut it = placement(PlacementConfig { manager_count: 260.0, ..terms() }, 1);
    let rung = if asked > 1.0 { 1 } else { 0 };
    playing(&mut it, "a", "s0", rung);
    it.terms.link_unit_kb = 10.0;
    (it.own, it.usual_uplink) = ((rung as f64 + 1.0, 1.0), 0.2);
    it.note_link(&"s0".into(), asked, it.now);
    (server(&mut it, "s0").lot, server(&mut it, "s0").lot_at) = (lot, it.now);
    let mut said = Said::default();
    it.step(&mut said);
    assert_eq!(said.0, expected);
}

// A second note about the time before the steps made everyone step down twice.
#[test_case(99_000.0, false; "tells of a time before the last lot")]
#[test_case(100_000.0, true; "tells of a later time")]
fn one_lot_for_what_is_made_of_it(at: f64, drawn: bool) {
    let mut it = placement(terms(), 1);
    server(&mut it, "s0").lot_at = Ms(99_500.0);
    it.draw_lot(&"s0".into(), Ms(at), Ms(0.0));
    assert_eq!(server(&mut it, "s0").lot < 1.0, drawn);
}

#[test_case(1.5, 90_000.0, &["b to 2"]; "bound is broken")]
#[test_case(0.1, 90_000.0, &["a to 2"]; "room for a whole step")]
#[test_case(0.1, 99_900.0, &[]; "not settled yet")]
#[test_case(0.8, 90_000.0, &[]; "between the fills")]
fn steps_are_paced(asked: f64, unsettled_at: f64, expected: &[&str]) {
    let mut it = placement(terms(), 1);
    it.terms.link_unit_kb = 12.0;
    playing(&mut it, "a", "s0", 1);
    playing(&mut it, "b", "s0", 3);
    it.note_link(&"s0".into(), asked, it.now);
    server(&mut it, "s0").unsettled_at = Ms(unsettled_at);
    let mut said = Said::default();
    it.step(&mut said);
    it.step(&mut said);
    assert_eq!(said.0, expected);
}

// Alone at a server a manager outgrew its part with each step up and took it back a moment later, at a link
// half used.
#[test_case(30.0, &[]; "a step up may outgrow a part while the whole holds")]
#[test_case(12.0, &["a to 2"]; "not once the whole is broken")]
fn a_step_into_what_is_free_is_not_taken_back(link_kb: f64, expected: &[&str]) {
    let mut it = placement(terms(), 1);
    it.terms.link_unit_kb = link_kb;
    playing(&mut it, "a", "s0", 1);
    it.note_link(&"s0".into(), 0.6, it.now);
    it.now = it.now + Ms(300.0);
    it.amend(&"a".into(), |it| it.rung = Rung(3));
    server(&mut it, "s0").lot = 0.01;
    assert!(8.8 > it.capacity(&it.servers[&"s0".into()], DOWN_FILL), "its part is outgrown");
    let mut said = Said::default();
    it.step(&mut said);
    assert_eq!(said.0, expected);
}

#[test_case(Some(20_000.0), true; "long")]
#[test_case(Some(3_000.0), false; "ends soon")]
#[test_case(None, true; "no hint")]
fn a_step_up_must_be_paid_back(lasts: Option<f64>, pays: bool) {
    let mut it = placement(PlacementConfig { rung_values: vec![0.2, 0.5, 0.8, 1.0], ..terms() }, 1);
    let viewing = playing(&mut it, "a", "s0", 1);
    let now = it.now;
    it.amend(&"a".into(), |it| (it.started, it.wish.expected_duration) = (now, lasts.map(Ms)));
    let vw = ViewingId::from("a");
    assert_eq!(it.pays_back(&(it.asker(&viewing), &vw)), pays);
}
