//! Packet loss, paused members and members short of CPU: few members are falsely declared dead, and none for
//! longer than the fault lasts.

mod sim;

use ottersail_membership::{Change, State};
use sim::Network;
use test_case::test_case;

const COUNT: usize = 12;

fn settled(seed: u64) -> Network {
    let mut network = Network::of(COUNT, seed);
    assert!(network.run_until_consistent(20_000.0).is_some(), "{} wrong", network.wrong_pairs());
    network.run(3000.0);
    network
}

fn deaths(network: &Network, since: f64) -> usize {
    network.nodes.iter().map(|node| node.changes_into(since, State::Dead)).sum()
}

#[test_case(0, false, 0; "no loss")]
#[test_case(5, false, 0; "5 in 100")]
#[test_case(20, false, 1; "20 in 100")]
#[test_case(40, false, 12; "40 in 100")]
#[test_case(40, true, 12; "40 in 100, connections pass")]
fn packet_loss_causes_few_false_deaths_that_end_with_it(loss: usize, dials: bool, most: usize) {
    for seed in 50..53 {
        let mut network = settled(seed);
        let from = network.now;
        (network.loss, network.dials) = (loss, dials);
        network.run(60_000.0);
        let dead = deaths(&network, from);
        network.loss = 0;
        let consistent_after = network.run_until_consistent(20_000.0);
        println!("loss {loss} seed {seed}: {dead} deaths, consistent_after {consistent_after:?}");
        assert!(dead <= most, "{dead} deaths");
        assert!(consistent_after.is_some(), "{} wrong", network.wrong_pairs());
    }
}

#[test_case(500.0, 1, false; "half a second, one")]
#[test_case(2000.0, 1, false; "2 s, one")]
#[test_case(10_000.0, 1, true; "10 s, one")]
#[test_case(500.0, COUNT / 3, false; "half a second, a third")]
#[test_case(2000.0, COUNT / 3, false; "2 s, a third")]
#[test_case(10_000.0, COUNT / 3, true; "10 s, a third")]
fn paused_members_declare_no_others_dead(span: f64, how_many: usize, may_be_dead: bool) {
    for seed in 60..63 {
        let mut network = settled(seed);
        let from = network.now;
        for offset in 0..how_many {
            network.nodes[COUNT - 1 - offset].paused_until = from + span;
        }
        network.run(span);
        let dead = deaths(&network, from);
        assert!(may_be_dead || dead == 0, "{dead} deaths");
        let resumed = network.now;
        let consistent_after = network.run_until_consistent(10_000.0);
        println!("pause {span} of {how_many}: {dead} deaths, consistent_after {consistent_after:?}");
        assert!(consistent_after.is_some(), "{} wrong", network.wrong_pairs());
        network.run(20_000.0);
        for offset in 0..how_many {
            let node = &network.nodes[COUNT - 1 - offset];
            let running = (0..COUNT - how_many).map(|other| network.id(other));
            let wrongly = running.filter_map(|id| node.death_of(id, resumed)).count();
            assert_eq!(wrongly, 0, "{} declared running members dead", node.name);
            let paused =
                node.changes.iter().filter(|(_, change)| matches!(change, Change::Paused { .. })).count();
            assert!(paused == 0 || span > 1000.0, "half a second is not reported as a pause");
            assert!(paused > 0 || span < 10_000.0, "ten seconds are reported as a pause");
        }
    }
}

#[test]
fn a_member_without_cpu_a_third_of_the_time_is_suspected_but_never_declared_dead() {
    let (mut suspected, mut dead) = (0, 0);
    for seed in 70..73 {
        let mut network = settled(seed);
        let from = network.now;
        network.nodes[7].starved = Some((3000.0, 1000.0));
        network.run(120_000.0);
        suspected += network.nodes.iter().map(|node| node.changes_into(from, State::Suspect)).sum::<usize>();
        dead += deaths(&network, from);
    }
    println!("{suspected} suspicions");
    assert!(suspected > 0);
    assert_eq!(dead, 0);
}

/// Such a member can't refute a suspicion. Others do so over connections; only in a few runs they have no
/// time to.
#[test]
fn a_paused_member_that_nobody_hears_is_rarely_declared_dead() {
    let mut runs_with_death = 0;
    for seed in 200..220 {
        let mut network = Network::of(30, seed);
        assert!(network.run_until_consistent(20_000.0).is_some());
        network.run(3000.0);
        network.connections_pass_cuts = true;
        network.cuts = (0..30).map(|other| (28, other)).collect();
        network.run(1000.0);
        network.nodes[28].paused_until = network.now + 2000.0;
        network.run(4000.0);
        let dead = (0..30).filter(|observer| network.state(*observer, 28) == Some(State::Dead)).count();
        runs_with_death += usize::from(dead > 15);
    }
    println!("declared dead in {runs_with_death} of 20 runs");
    assert!(runs_with_death <= 5, "{runs_with_death} of 20 runs");
}

#[test]
fn the_halves_of_a_partition_rejoin_without_false_deaths() {
    let mut network = settled(80);
    let halves = (0..6).flat_map(|lower| (6..COUNT).flat_map(move |upper| [(lower, upper), (upper, lower)]));
    network.cuts = halves.collect();
    network.run(300_000.0);
    let from = network.now;
    network.cuts.clear();
    assert!(network.run_until_consistent(10_000.0).is_some(), "{} wrong", network.wrong_pairs());
    assert_eq!(
        deaths(&network, from),
        0,
        "no half declares its running members dead because of the other's report"
    );
}
