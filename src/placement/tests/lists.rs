//! The list of servers.

use super::*;
use test_case::test_case;

#[test]
fn a_full_list_without_a_server_makes_it_gone() {
    let mut it = placement(terms(), 2);
    it.update_servers(Ms(100_000.0), ListMode::Full, &[entry("s1", 1)], &mut Said::default());
    assert_eq!(it.servers[&"s0".into()].entry.availability, Availability::Gone);
}

#[test]
fn asks_for_the_list_where_it_is_not_pushed() {
    let mut said = Said::default();
    let mut it = Placement::new(Ms(0.0), 1, PlacementConfig { must_subscribe: true, ..terms() }, &mut said);
    it.update_servers(Ms(1.0), ListMode::Failed, &[], &mut said);
    assert_eq!(said.0, ["subscribe", "subscribe"]);
}

/// Replacements would add up: one that has long been off the list and holds nothing is forgotten, none else.
#[test_case(31_000.0, false, false; "long gone")]
#[test_case(29_000.0, false, true; "just gone")]
#[test_case(31_000.0, true, true; "something plays there")]
fn a_server_is_forgotten(after: f64, plays: bool, kept: bool) {
    let mut placement = placement(terms(), 2);
    if plays {
        playing(&mut placement, "a", "s0", 0);
    }
    let gone = ServerEntry { availability: Availability::Gone, ..entry("s0", 0) };
    let (now, mut said) = (placement.now, Said::default());
    placement.update_servers(now, ListMode::Incremental, &[gone], &mut said);
    placement.update_servers(now + Ms(after), ListMode::Incremental, &[entry("s1", 1)], &mut said);
    assert_eq!(placement.servers.contains_key(&"s0".into()), kept);
    assert!(placement.servers.contains_key(&"s1".into()));
}
