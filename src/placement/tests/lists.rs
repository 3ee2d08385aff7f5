//! Updates of the server list.

use super::*;
use test_case::test_case;

#[test]
fn a_server_missing_from_a_full_list_is_gone() {
    let mut placement = placement_with(config(), 2);
    let mut actions = RecordedActions::default();
    placement.update_servers(Ms(100_000.0), ListMode::Full, &[entry("s1", 1)], &mut actions);
    assert_eq!(placement.servers[&"s0".into()].entry.availability, Availability::Gone);
}

#[test]
fn subscribes_at_start_and_again_after_a_failure_where_required() {
    let mut actions = RecordedActions::default();
    let config = PlacementConfig { must_subscribe: true, ..config() };
    let mut placement = Placement::new(Ms(0.0), 1, config, &mut actions);
    placement.update_servers(Ms(1.0), ListMode::Failed, &[], &mut actions);
    assert_eq!(actions.0, ["subscribe", "subscribe"]);
}

/// Only a server that has long been off the list and holds no viewing is forgotten. Without that, replaced
/// servers accumulate.
#[test_case(31_000.0, false, false; "long gone")]
#[test_case(29_000.0, false, true; "recently gone")]
#[test_case(31_000.0, true, true; "a viewing still plays there")]
fn a_gone_server_is_forgotten(after: f64, plays: bool, kept: bool) {
    let mut placement = placement_with(config(), 2);
    if plays {
        insert_playing(&mut placement, "a", "s0", 0);
    }
    let gone = ServerEntry { availability: Availability::Gone, ..entry("s0", 0) };
    let (now, mut actions) = (placement.now, RecordedActions::default());
    placement.update_servers(now, ListMode::Incremental, &[gone], &mut actions);
    placement.update_servers(now + Ms(after), ListMode::Incremental, &[entry("s1", 1)], &mut actions);
    assert_eq!(placement.servers.contains_key(&"s0".into()), kept);
    assert!(placement.servers.contains_key(&"s1".into()));
}
