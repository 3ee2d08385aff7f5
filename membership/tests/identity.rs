//! Two instances under one name on the two sides of a partition, and names of the greatest length.

mod sim;

use ottersail_membership::{Change, State};
use sim::Network;
use std::collections::BTreeSet;

/// Six members in two halves of a partition, with a second `m1` in the half that does not have the first.
fn duplicate_name() -> (Network, usize) {
    let mut network = Network::of(6, 90);
    assert!(network.run_until_consistent(10_000.0).is_some());
    let first_half: BTreeSet<usize> = [0, 1, 2].into();
    let second = 6;
    for sender in 0..=second {
        for receiver in 0..=second {
            if first_half.contains(&sender) != first_half.contains(&receiver) {
                network.cuts.insert((sender, receiver));
            }
        }
    }
    network.run(60_000.0);
    network.add("north", "m1", 5);
    network.run(20_000.0);
    (network, second)
}

#[test]
fn after_a_partition_one_of_two_instances_keeps_the_name() {
    let (mut network, second) = duplicate_name();
    assert_eq!(network.state(3, second), Some(State::Alive));
    assert_eq!(network.state(0, 1), Some(State::Alive));
    network.cuts.clear();
    network.run(20_000.0);
    let view_of_m1 = |observer: usize| {
        let mut others = network.nodes[observer].members.as_ref().unwrap().others();
        others.find(|(id, _)| **id == network.id(1)).map(|(_, view)| (view.instance, view.state))
    };
    let views: BTreeSet<_> = [0, 2, 3, 4, 5].into_iter().map(view_of_m1).collect();
    assert_eq!(views.len(), 1, "{views:?}");
    assert_eq!(view_of_m1(0).map(|(_, state)| state), Some(State::Alive));
    let conflicts = |index: usize| {
        network.nodes[index]
            .changes
            .iter()
            .filter(|(_, change)| matches!(change, Change::NameConflict { .. }))
            .count()
    };
    assert_eq!(
        (conflicts(1).min(1) + conflicts(second).min(1)),
        1,
        "exactly one instance gives up the name and reports it"
    );
    let winner = if conflicts(1) == 0 { 1 } else { second };
    assert_eq!(view_of_m1(0).map(|(instance, _)| instance), Some(network.nodes[winner].instance));
}

#[test]
fn long_names_fit_a_datagram() {
    let mut network = Network::of(3, 91);
    for number in 0..60 {
        network.add("north", &format!("member-with-a-very-long-name-{number:03}"), 2);
    }
    assert!(network.run_until_consistent(20_000.0).is_some(), "{} wrong", network.wrong_pairs());
    let longest = network.nodes.iter().map(|node| node.longest).max();
    assert!(longest.is_some_and(|bytes| bytes > 700 && bytes <= 1200), "{longest:?}");
}

#[test]
fn datagrams_without_many_updates_are_small() {
    let mut network = Network::of(10, 92);
    network.run(60_000.0);
    network.nodes.iter_mut().for_each(|node| (node.bytes, node.sent) = (0, 0));
    network.run(30_000.0);
    let (bytes, sent) =
        network.nodes.iter().fold((0, 0), |(bytes, sent), node| (bytes + node.bytes, sent + node.sent));
    assert!(bytes / sent < 200, "{} bytes each", bytes / sent);
    assert!(bytes / 10 / 30 < 500, "{} bytes a second each", bytes / 10 / 30);
}
