//! Runs over the simulated network: joining, deaths, restarts, leaving.

mod sim;

use ottersail_membership::{Change, State, StateChangeReason, Topic};
use sim::Network;
use test_case::test_case;

fn settled(count: usize, seed: u64) -> Network {
    let mut network = Network::of(count, seed);
    assert!(network.run_until_consistent(20_000.0).is_some(), "{} wrong", network.wrong_pairs());
    network.run(3000.0);
    network
}

#[test_case(2, 15_000.0; "two")]
#[test_case(3, 8000.0; "three")]
#[test_case(30, 6000.0; "thirty")]
fn all_members_detect_a_death(count: usize, within: f64) {
    let mut network = settled(count, 3);
    network.crash(1);
    let crashed = network.now;
    network.run(within);
    for node in network.nodes.iter().filter(|node| node.members.is_some()) {
        assert!(node.death_of(network.id(1), crashed).is_some(), "{} does not consider it dead", node.name);
        assert_eq!(node.changes_into(crashed, State::Dead), 1);
    }
}

#[test]
fn half_of_200_members_detect_a_death_within_5_seconds() {
    let mut network = settled(200, 5);
    let mut delays = Vec::new();
    for dead in [150, 20, 77] {
        network.crash(dead);
        let crashed = network.now;
        network.run(7000.0);
        let delay =
            |node: &sim::node::Node| node.death_of(network.id(dead), crashed).map(|(when, _)| when - crashed);
        delays.extend(network.nodes.iter().filter_map(delay));
    }
    delays.sort_by(f64::total_cmp);
    assert_eq!(delays.len(), 199 + 198 + 197);
    assert!(delays[297] < 5000.0, "median {}", delays[297]);
}

#[test]
fn seven_of_ten_restarted_members_are_alive_to_all_within_10_seconds() {
    let mut network = settled(10, 9);
    (3..10).for_each(|index| network.crash(index));
    network.run(6000.0);
    (3..10).for_each(|index| network.start(index));
    let took = network.run_until_consistent(10_000.0);
    assert!(took.is_some(), "{} wrong", network.wrong_pairs());
    for (index, node) in network.nodes.iter().enumerate() {
        let others = network.nodes.iter().enumerate().filter(|(other, _)| *other != index);
        for (_, other) in others {
            let others = node.members.as_ref().unwrap().others();
            let instance = others.filter(|(id, _)| **id == other.id).map(|(_, view)| view.instance).next();
            assert_eq!(instance, Some(other.instance));
        }
    }
}

/// It took 47 s at the median when a member degraded its own health for silent helpers that had died along
/// with the target.
#[test]
fn the_death_of_42_of_60_members_is_detected_by_all_within_10_seconds() {
    let mut network = settled(60, 100);
    (18..60).for_each(|index| network.crash(index));
    network.run(10_000.0);
    for observer in 0..18 {
        assert!((18..60).all(|member| network.state(observer, member) == Some(State::Dead)));
        assert!(
            (0..18).all(|member| member == observer || network.state(observer, member) == Some(State::Alive))
        );
    }
}

#[test]
fn a_member_that_leaves_has_state_left_and_not_dead() {
    let mut network = settled(10, 11);
    network.leave(4);
    let crashed = network.now;
    network.run(5000.0);
    for other in (0..10).filter(|other| *other != 4) {
        assert_eq!(network.state(other, 4), Some(State::Left));
        assert_eq!(network.nodes[other].changes_into(crashed, State::Dead), 0);
    }
}

#[test]
fn a_quick_restart_gives_the_same_member_a_new_instance() {
    let mut network = settled(5, 13);
    network.crash(3);
    network.start(3);
    let crashed = network.now;
    network.run(5000.0);
    assert_eq!(network.wrong_pairs(), 0);
    for node in network.nodes.iter().filter(|node| node.name != "m3") {
        let others = node.members.as_ref().unwrap().others();
        let instances: Vec<_> =
            others.filter(|(id, _)| **id == network.id(3)).map(|(_, view)| view.instance).collect();
        assert_eq!(instances, [network.nodes[3].instance]);
        assert_eq!(node.changes_into(crashed, State::Dead), 0);
    }
}

#[test]
fn application_messages_and_piggybacks_arrive() {
    let mut network = settled(3, 17);
    let to = network.id(1);
    network.send_message(0, to, Topic(4), &[7; 900]);
    network.nodes[0].members.as_mut().unwrap().set_piggyback(Topic(2), &[1, 2, 3]);
    network.run(5000.0);
    assert_eq!(network.nodes[1].delivered, [(network.id(0), Topic(4), vec![7; 900])]);
    let mut others = network.nodes[2].members.as_ref().unwrap().others();
    let known = others.find(|(id, _)| **id == network.id(0)).map(|(_, view)| view.piggybacks.clone());
    assert_eq!(known.and_then(|piggybacks| piggybacks.get(&Topic(2)).cloned()), Some(vec![1, 2, 3]));
    assert!(network.nodes.iter().all(|node| node.longest <= 1200));
}

#[test]
fn members_of_equal_names_in_two_clusters_do_not_mix() {
    let mut network = settled(5, 19);
    let other = network.add("south", "m1", 2);
    network.run(10_000.0);
    assert_ne!(network.id(other), network.id(1));
    assert_eq!(network.state(0, other), None);
    assert_eq!(network.nodes[other].members.as_ref().unwrap().others().count(), 0);
}

#[test]
fn a_second_instance_under_a_name_joins_only_after_the_first_is_gone() {
    let mut network = settled(5, 23);
    let second = network.add("north", "m4", 2);
    network.run(10_000.0);
    let is_conflict = |(_, change): &(f64, Change)| matches!(change, Change::NameConflict { by, .. } if *by == sim::address(4));
    assert_eq!(network.nodes[second].changes.iter().filter(|change| is_conflict(change)).count(), 1);
    let address_of_m4 = |network: &Network| {
        let members = network.nodes[0].members.as_ref().unwrap();
        members.others().find(|(id, _)| **id == network.id(4)).map(|(_, view)| view.address)
    };
    assert_eq!(address_of_m4(&network), Some(sim::address(4)));
    let deaths: usize = network.nodes.iter().map(|node| node.changes_into(3000.0, State::Dead)).sum();
    assert_eq!(deaths, 0, "no member alternates between the two");
    network.crash(4);
    network.run(15_000.0);
    assert_eq!(address_of_m4(&network), Some(sim::address(second)));
    assert!(network.nodes[second].changes.iter().any(|(_, change)| *change == Change::Joined));
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut network = settled(10, 29);
        network.loss = 20;
        network.run(20_000.0);
        network.nodes.iter().map(|node| (node.changes.clone(), node.bytes)).collect::<Vec<_>>()
    };
    assert!(run() == run());
}

#[test]
fn the_reason_of_a_death_is_reported() {
    let mut network = settled(3, 31);
    network.crash(2);
    let crashed = network.now;
    network.run(8000.0);
    let reasons: Vec<StateChangeReason> = (0..2)
        .filter_map(|index| network.nodes[index].death_of(network.id(2), crashed))
        .map(|(_, reason)| reason)
        .collect();
    assert!(reasons.contains(&StateChangeReason::SuspicionExpired), "{reasons:?}");
}
