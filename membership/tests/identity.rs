//! Two lives under one name, where the network is cut between them, and names as long as they may be.

mod sim;

use ottersail_membership::{Change, State};
use sim::Net;
use std::collections::BTreeSet;

/// Six members in two halves that never met, with a second `m1` in the other half.
fn two_of_a_name() -> (Net, usize) {
    let mut net = Net::of(6, 90);
    assert!(net.until_right(10_000.0).is_some());
    let first: BTreeSet<usize> = [0, 1, 2].into();
    let second = 6;
    for a in 0..=second {
        for b in 0..=second {
            if first.contains(&a) != first.contains(&b) {
                net.cuts.insert((a, b));
            }
        }
    }
    net.run(60_000.0);
    net.add("north", "m1", 5);
    net.run(20_000.0);
    (net, second)
}

#[test]
fn after_a_partition_one_of_two_lives_stays() {
    let (mut net, second) = two_of_a_name();
    assert_eq!(net.state(3, second), Some(State::Alive));
    assert_eq!(net.state(0, 1), Some(State::Alive));
    net.cuts.clear();
    net.run(20_000.0);
    let holds = |of: usize| {
        let mut roster = net.nodes[of].members.as_ref().unwrap().others();
        roster.find(|(id, _)| **id == net.id(1)).map(|(_, known)| (known.instance, known.state))
    };
    let views: BTreeSet<_> = [0, 2, 3, 4, 5].into_iter().map(holds).collect();
    assert_eq!(views.len(), 1, "{views:?}");
    assert_eq!(holds(0).map(|it| it.1), Some(State::Alive));
    let aside = |at: usize| {
        net.nodes[at].changes.iter().filter(|(_, it)| matches!(it, Change::NameConflict { .. })).count()
    };
    assert_eq!((aside(1).min(1) + aside(second).min(1)), 1, "one steps aside, and says so");
    let stays = if aside(1) == 0 { 1 } else { second };
    assert_eq!(holds(0).map(|it| it.0), Some(net.nodes[stays].instance));
}

#[test]
fn long_names_fit_a_datagram() {
    let mut net = Net::of(3, 91);
    for at in 0..60 {
        net.add("north", &format!("member-with-a-very-long-name-{at:03}"), 2);
    }
    assert!(net.until_right(20_000.0).is_some(), "{} wrong", net.wrong());
    let longest = net.nodes.iter().map(|node| node.longest).max();
    assert!(longest.is_some_and(|bytes| bytes > 700 && bytes <= 1200), "{longest:?}");
}

#[test]
fn a_probe_with_little_news_is_small() {
    let mut net = Net::of(10, 92);
    net.run(60_000.0);
    net.nodes.iter_mut().for_each(|node| (node.bytes, node.sent) = (0, 0));
    net.run(30_000.0);
    let (bytes, sent) = net.nodes.iter().fold((0, 0), |sum, it| (sum.0 + it.bytes, sum.1 + it.sent));
    assert!(bytes / sent < 200, "{} bytes each", bytes / sent);
    assert!(bytes / 10 / 30 < 500, "{} bytes a second each", bytes / 10 / 30);
}
