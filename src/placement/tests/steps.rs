//! Steps of playing viewings.

use super::*;
use test_case::test_case;

/// Where hundreds of managers share a link, an equal part of the free rate is less than any step; without a
/// draw the link stays idle.
#[test_case(0.5, 0.1, &["a to 1"]; "up, a part of a step, drawn")]
#[test_case(0.5, 0.9, &[]; "up, not drawn")]
#[test_case(0.84, 0.001, &[]; "a whole step does not fit the link")]
#[test_case(1.3, 0.2, &["a to 0"]; "down, drawn")]
#[test_case(1.3, 0.9, &[]; "down, not drawn")]
#[test_case(1.1, 0.05, &["a to 0"]; "down, at a slightly short link")]
fn a_part_of_a_step_is_made_with_its_probability(load: f64, threshold: f64, expected: &[&str]) {
    let mut placement = placement_with(PlacementConfig { manager_count: 260.0, ..config() }, 1);
    let rung = if load > 1.0 { 1 } else { 0 };
    insert_playing(&mut placement, "a", "s0", rung);
    placement.config.link_unit_kb = 10.0;
    placement.demand = Demand { kb: rung as f64 + 1.0, units: 1.0 };
    placement.mean_uplink_load = 0.2;
    placement.record_link_load(&"s0".into(), load, placement.now);
    let now = placement.now;
    let server = server_mut(&mut placement, "s0");
    (server.step_threshold, server.threshold_drawn_at) = (threshold, now);
    let mut actions = RecordedActions::default();
    placement.change_rung(&mut actions);
    assert_eq!(actions.0, expected);
}

/// Otherwise a second note about the time before the steps makes every manager step down twice.
#[test_case(99_000.0, false; "note about a time before the last draw")]
#[test_case(100_000.0, true; "note about a later time")]
fn the_threshold_is_drawn_once_for_each_observed_state(at: f64, drawn: bool) {
    let mut placement = placement_with(config(), 1);
    server_mut(&mut placement, "s0").threshold_drawn_at = Ms(99_500.0);
    placement.draw_step_threshold(&"s0".into(), Ms(at), Ms(0.0));
    assert_eq!(server_mut(&mut placement, "s0").step_threshold < 1.0, drawn);
}

#[test_case(1.5, 90_000.0, &["b to 2"]; "bound exceeded")]
#[test_case(0.1, 90_000.0, &["a to 2"]; "room for a whole step")]
#[test_case(0.1, 99_900.0, &[]; "not settled yet")]
#[test_case(0.8, 90_000.0, &[]; "between the two loads")]
fn one_step_is_made_at_each_review(load: f64, unsettled_at: f64, expected: &[&str]) {
    let mut placement = placement_with(config(), 1);
    placement.config.link_unit_kb = 12.0;
    insert_playing(&mut placement, "a", "s0", 1);
    insert_playing(&mut placement, "b", "s0", 3);
    placement.record_link_load(&"s0".into(), load, placement.now);
    server_mut(&mut placement, "s0").unsettled_at = Ms(unsettled_at);
    let mut actions = RecordedActions::default();
    placement.change_rung(&mut actions);
    placement.change_rung(&mut actions);
    assert_eq!(actions.0, expected);
}

/// Otherwise a manager that is alone at a server exceeds its share with each step up and takes it back at
/// once, while the link is half used.
#[test_case(30.0, &[]; "a step up may exceed the share while the whole holds")]
#[test_case(12.0, &["a to 2"]; "not once the whole is exceeded")]
fn a_step_up_into_free_capacity_is_not_taken_back(link_kb: f64, expected: &[&str]) {
    let mut placement = placement_with(config(), 1);
    placement.config.link_unit_kb = link_kb;
    insert_playing(&mut placement, "a", "s0", 1);
    placement.record_link_load(&"s0".into(), 0.6, placement.now);
    placement.now = placement.now + Ms(300.0);
    placement.update_viewing(&"a".into(), |viewing| viewing.rung = Rung(3));
    server_mut(&mut placement, "s0").step_threshold = 0.01;
    let share = placement.capacity_kb(&placement.servers[&"s0".into()], STEP_DOWN_LOAD);
    assert!(8.8 > share, "the share is exceeded");
    let mut actions = RecordedActions::default();
    placement.change_rung(&mut actions);
    assert_eq!(actions.0, expected);
}

#[test_case(Some(20_000.0), true; "long")]
#[test_case(Some(3_000.0), false; "ends soon")]
#[test_case(None, true; "unknown duration")]
fn a_step_up_must_pay_back_its_cost(expected_duration: Option<f64>, pays_back: bool) {
    let config = PlacementConfig { rung_values: vec![0.2, 0.5, 0.8, 1.0], ..config() };
    let mut placement = placement_with(config, 1);
    let viewing = insert_playing(&mut placement, "a", "s0", 1);
    let (now, id) = (placement.now, ViewingId::from("a"));
    placement.update_viewing(&id, |viewing| {
        (viewing.started_at, viewing.request.expected_duration) = (now, expected_duration.map(Ms));
    });
    assert_eq!(placement.pays_back(&(placement.demand_class(&viewing), &id)), pays_back);
}
