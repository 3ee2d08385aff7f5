//! Loss, pauses and starved members: false deaths do not outlive their fault, and most never come.

mod sim;

use ottersail_membership::{Change, State};
use sim::Net;
use test_case::test_case;

const COUNT: usize = 12;

fn settled(seed: u64) -> Net {
    let mut net = Net::of(COUNT, seed);
    assert!(net.until_right(20_000.0).is_some(), "{} wrong", net.wrong());
    net.run(3000.0);
    net
}

fn deaths(net: &Net, since: f64) -> usize {
    net.nodes.iter().map(|node| node.turns(since, State::Dead)).sum()
}

#[test_case(0, false, 0; "no loss")]
#[test_case(5, false, 0; "5 in 100")]
#[test_case(20, false, 1; "20 in 100")]
#[test_case(40, false, 12; "40 in 100")]
#[test_case(40, true, 12; "40 in 100, second way")]
fn loss_each_way_buries_few_and_none_for_long(loss: usize, dials: bool, most: usize) {
    for seed in 50..53 {
        let mut net = settled(seed);
        let from = net.now;
        (net.loss, net.dials) = (loss, dials);
        net.run(60_000.0);
        let buried = deaths(&net, from);
        net.loss = 0;
        let healed = net.until_right(20_000.0);
        println!("loss {loss} seed {seed}: {buried} deaths, healed {healed:?}");
        assert!(buried <= most, "{buried} deaths");
        assert!(healed.is_some(), "{} wrong", net.wrong());
    }
}

#[test_case(500.0, 1, false; "half a second, one")]
#[test_case(2000.0, 1, false; "2 s, one")]
#[test_case(10_000.0, 1, true; "10 s, one")]
#[test_case(500.0, COUNT / 3, false; "half a second, a third")]
#[test_case(2000.0, COUNT / 3, false; "2 s, a third")]
#[test_case(10_000.0, COUNT / 3, true; "10 s, a third")]
fn the_paused_bury_nobody_for_their_own_pause(span: f64, how_many: usize, may_be_buried: bool) {
    for seed in 60..63 {
        let mut net = settled(seed);
        let from = net.now;
        for at in 0..how_many {
            net.nodes[COUNT - 1 - at].paused_until = from + span;
        }
        net.run(span);
        let buried = deaths(&net, from);
        assert!(may_be_buried || buried == 0, "{buried} deaths");
        let awake = net.now;
        let healed = net.until_right(10_000.0);
        println!("pause {span} of {how_many}: {buried} deaths, healed {healed:?}");
        assert!(healed.is_some(), "{} wrong", net.wrong());
        net.run(20_000.0);
        for at in 0..how_many {
            let node = &net.nodes[COUNT - 1 - at];
            let awake_ones = (0..COUNT - how_many).map(|other| net.id(other));
            let wrongly = awake_ones.filter_map(|id| node.buried(id, awake)).count();
            assert_eq!(wrongly, 0, "{} buried the awake", node.name);
            let paused = node.changes.iter().filter(|(_, it)| matches!(it, Change::Paused { .. })).count();
            assert!(paused == 0 || span > 1000.0, "half a second is no pause");
            assert!(paused > 0 || span < 10_000.0, "ten seconds are one");
        }
    }
}

#[test]
fn one_that_starves_a_third_of_the_time_is_suspected_and_never_buried() {
    let (mut suspected, mut buried) = (0, 0);
    for seed in 70..73 {
        let mut net = settled(seed);
        let from = net.now;
        net.nodes[7].starved = Some((3000.0, 1000.0));
        net.run(120_000.0);
        suspected += net.nodes.iter().map(|node| node.turns(from, State::Suspect)).sum::<usize>();
        buried += deaths(&net, from);
    }
    println!("{suspected} suspicions");
    assert!(suspected > 0);
    assert_eq!(buried, 0);
}

/// It can't contradict what is said of it. Others do, by the second way; few plays leave them no time.
#[test]
fn one_that_stood_still_while_nobody_hears_it_is_seldom_buried() {
    let mut buried = 0;
    for seed in 200..220 {
        let mut net = Net::of(30, seed);
        assert!(net.until_right(20_000.0).is_some());
        net.run(3000.0);
        net.second_way = true;
        net.cuts = (0..30).map(|other| (28, other)).collect();
        net.run(1000.0);
        net.nodes[28].paused_until = net.now + 2000.0;
        net.run(4000.0);
        let dead = (0..30).filter(|of| net.state(*of, 28) == Some(State::Dead)).count();
        buried += usize::from(dead > 15);
    }
    println!("buried in {buried} of 20");
    assert!(buried <= 5, "{buried} of 20");
}

#[test]
fn a_halved_network_finds_itself_again() {
    let mut net = settled(80);
    let halves = (0..6).flat_map(|a| (6..COUNT).flat_map(move |b| [(a, b), (b, a)]));
    net.cuts = halves.collect();
    net.run(300_000.0);
    let from = net.now;
    net.cuts.clear();
    assert!(net.until_right(10_000.0).is_some(), "{} wrong", net.wrong());
    assert_eq!(deaths(&net, from), 0, "the halves' own living are not buried by the other's word");
}
