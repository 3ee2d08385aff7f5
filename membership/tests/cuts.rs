//! Cuts in one or both directions: which states result, that no member changes its view repeatedly, and that
//! all members agree again once the cut ends.

mod sim;

use ottersail_membership::{Change, Reachability, State};
use sim::Network;
use std::collections::BTreeSet;
use test_case::test_case;

const COUNT: usize = 10;

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    /// Member 9 receives nothing.
    Deaf,
    /// Nothing that member 9 sends arrives.
    Mute,
    Both,
}

#[derive(Clone, Copy, PartialEq)]
enum CutPairs {
    /// Between members 9 and 4 only.
    Pair,
    /// Between member 9 and all others.
    One,
    /// Between members 5..10 and 0..5: the upper half is deaf, or mute.
    Halves,
}

fn cuts(direction: Direction, cut_pairs: CutPairs) -> BTreeSet<(usize, usize)> {
    let pairs: Vec<(usize, usize)> = match cut_pairs {
        CutPairs::Pair => vec![(9, 4)],
        CutPairs::One => (0..9).map(|other| (9, other)).collect(),
        CutPairs::Halves => (5..10).flat_map(|upper| (0..5).map(move |lower| (upper, lower))).collect(),
    };
    let mut cuts = BTreeSet::new();
    for (upper, lower) in pairs {
        if direction != Direction::Mute {
            cuts.insert((lower, upper));
        }
        if direction != Direction::Deaf {
            cuts.insert((upper, lower));
        }
    }
    cuts
}

/// How often the observer changed its state of the member since a time.
fn state_changes(network: &Network, observer: usize, member: usize, since: f64) -> usize {
    let id = network.id(member);
    let about_member =
        |(_, change): &&(f64, Change)| matches!(change, Change::State { id: changed, .. } if *changed == id);
    network.nodes[observer].changes.iter().filter(about_member).filter(|(when, _)| *when >= since).count()
}

fn most_state_changes(network: &Network, since: f64) -> usize {
    let pairs = (0..COUNT).flat_map(|observer| (0..COUNT).map(move |member| (observer, member)));
    pairs.map(|(observer, member)| state_changes(network, observer, member, since)).max().unwrap_or(0)
}

/// The set of states that the observers have of the members.
fn states(
    network: &Network,
    observers: std::ops::Range<usize>,
    members: std::ops::Range<usize>,
) -> BTreeSet<State> {
    let pairs = observers.flat_map(|observer| members.clone().map(move |member| (observer, member)));
    pairs.filter(|(of, about)| of != about).filter_map(|(of, about)| network.state(of, about)).collect()
}

fn reachability(network: &Network, observer: usize, member: usize) -> Option<Reachability> {
    let mut others = network.nodes[observer].members.as_ref()?.others();
    others.find(|(id, _)| **id == network.id(member)).map(|(_, view)| view.reachability)
}

// Each states_during_and_after_a_cut: what those on the one side hold of the other side after 120 s (400 s
// for one from all), and the other way round.
#[test_case(Direction::Deaf, CutPairs::Pair, false, State::Alive, State::Alive; "pair, deaf")]
#[test_case(Direction::Mute, CutPairs::Pair, false, State::Alive, State::Alive; "pair, mute")]
#[test_case(Direction::Both, CutPairs::Pair, false, State::Alive, State::Alive; "pair, both")]
#[test_case(Direction::Deaf, CutPairs::One, false, State::Dead, State::Dead; "one, deaf")]
#[test_case(Direction::Mute, CutPairs::One, false, State::Dead, State::Dead; "one, mute")]
#[test_case(Direction::Both, CutPairs::One, false, State::Dead, State::Dead; "one, both")]
#[test_case(Direction::Deaf, CutPairs::Halves, false, State::Dead, State::Dead; "halves, deaf")]
#[test_case(Direction::Mute, CutPairs::Halves, false, State::Dead, State::Dead; "halves, mute")]
#[test_case(Direction::Both, CutPairs::Halves, false, State::Dead, State::Dead; "halves, both")]
#[test_case(Direction::Deaf, CutPairs::Pair, true, State::Alive, State::Alive; "pair, deaf, connections pass")]
#[test_case(Direction::Mute, CutPairs::Pair, true, State::Alive, State::Alive; "pair, mute, connections pass")]
#[test_case(Direction::Both, CutPairs::Pair, true, State::Alive, State::Alive; "pair, both, connections pass")]
#[test_case(Direction::Deaf, CutPairs::One, true, State::Alive, State::Alive; "one, deaf, connections pass")]
#[test_case(Direction::Mute, CutPairs::One, true, State::Alive, State::Alive; "one, mute, connections pass")]
#[test_case(Direction::Both, CutPairs::One, true, State::Alive, State::Alive; "one, both, connections pass")]
#[test_case(Direction::Deaf, CutPairs::Halves, true, State::Alive, State::Alive; "halves, deaf, connections pass")]
#[test_case(Direction::Mute, CutPairs::Halves, true, State::Alive, State::Alive; "halves, mute, connections pass")]
#[test_case(Direction::Both, CutPairs::Halves, true, State::Alive, State::Alive; "halves, both, connections pass")]
fn states_during_and_after_a_cut(
    direction: Direction,
    cut_pairs: CutPairs,
    connections_pass_cuts: bool,
    lower_of_upper: State,
    upper_of_lower: State,
) {
    let mut network = Network::of(COUNT, 41);
    assert!(network.run_until_consistent(10_000.0).is_some());
    network.run(3000.0);
    let from = network.now;
    network.cuts = cuts(direction, cut_pairs);
    network.connections_pass_cuts = connections_pass_cuts;
    // A member that hears nobody degrades its own health first and so declares the others dead slowly.
    network.run(if cut_pairs == CutPairs::One && !connections_pass_cuts { 400_000.0 } else { 120_000.0 });

    let (lower, upper) = match cut_pairs {
        CutPairs::Pair => (4..5, 9..10),
        CutPairs::One => (0..9, 9..10),
        CutPairs::Halves => (0..5, 5..10),
    };
    let of_upper = states(&network, lower.clone(), upper.clone());
    let of_lower = states(&network, upper.clone(), lower.clone());
    println!("state changes {}, wrong pairs {}", most_state_changes(&network, from), network.wrong_pairs());
    if cut_pairs == CutPairs::Pair {
        let wanted = match direction {
            Direction::Deaf => (Reachability::InboundOnly, Reachability::OutboundOnly),
            Direction::Mute => (Reachability::OutboundOnly, Reachability::InboundOnly),
            Direction::Both => (Reachability::ThroughOthers, Reachability::ThroughOthers),
        };
        assert_eq!(
            (reachability(&network, 4, 9), reachability(&network, 9, 4)),
            (Some(wanted.0), Some(wanted.1))
        );
    }
    assert_eq!(of_upper, BTreeSet::from([lower_of_upper]), "lower's view of upper");
    assert_eq!(of_lower, BTreeSet::from([upper_of_lower]), "upper's view of lower");
    // Members on the same side consider each other alive throughout.
    assert!(states(&network, lower.clone(), lower).iter().all(|state| *state == State::Alive));
    assert!(states(&network, upper.clone(), upper).iter().all(|state| *state == State::Alive));
    // Suspected and declared dead once, refuted at most once in between: no member changes its state
    // repeatedly.
    let allowed = if lower_of_upper == State::Alive { 0 } else { 4 };
    assert!(
        most_state_changes(&network, from) <= allowed,
        "{} state changes",
        most_state_changes(&network, from)
    );
    let settled = network.now - 60_000.0;
    assert_eq!(most_state_changes(&network, settled), 0, "no state changes in the last minute");

    network.cuts.clear();
    let healed = network.run_until_consistent(30_000.0);
    println!("consistent again after {healed:?}");
    assert!(healed.is_some(), "{} wrong pairs after the cut", network.wrong_pairs());
}
