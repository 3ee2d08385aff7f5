//! The table of one-sided cuts: who is believed what, that nobody swings, and that all heals.

mod sim;

use ottersail_membership::{Change, Reachability, State};
use sim::Net;
use std::collections::BTreeSet;
use test_case::test_case;

const COUNT: usize = 10;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Member 9 does not hear.
    Deaf,
    /// Member 9 is not heard.
    Mute,
    Both,
}

#[derive(Clone, Copy, PartialEq)]
enum Who {
    /// Between 9 and 4 only.
    Pair,
    /// Between 9 and all others.
    One,
    /// Between 5..10 and 0..5: the upper half is deaf, or mute.
    Halves,
}

fn cuts(way: Way, who: Who) -> BTreeSet<(usize, usize)> {
    let pairs: Vec<(usize, usize)> = match who {
        Who::Pair => vec![(9, 4)],
        Who::One => (0..9).map(|other| (9, other)).collect(),
        Who::Halves => (5..10).flat_map(|upper| (0..5).map(move |lower| (upper, lower))).collect(),
    };
    let mut cuts = BTreeSet::new();
    for (upper, lower) in pairs {
        if way != Way::Mute {
            cuts.insert((lower, upper));
        }
        if way != Way::Deaf {
            cuts.insert((upper, lower));
        }
    }
    cuts
}

/// How often the holder changed its mind about the other in a span.
fn swings(net: &Net, of: usize, about: usize, since: f64) -> usize {
    let id = net.id(about);
    let ours = |it: &&(f64, Change)| matches!(&it.1, Change::State { id: it, .. } if *it == id);
    net.nodes[of].changes.iter().filter(ours).filter(|(at, _)| *at >= since).count()
}

fn most_swings(net: &Net, since: f64) -> usize {
    let pairs = (0..COUNT).flat_map(|of| (0..COUNT).map(move |about| (of, about)));
    pairs.map(|(of, about)| swings(net, of, about, since)).max().unwrap_or(0)
}

/// The states that members hold of one another while the cut stands, as a set.
fn held(net: &Net, of: std::ops::Range<usize>, about: std::ops::Range<usize>) -> BTreeSet<State> {
    let pairs = of.flat_map(|of| about.clone().map(move |about| (of, about)));
    pairs.filter(|(of, about)| of != about).filter_map(|(of, about)| net.state(of, about)).collect()
}

fn reachability(net: &Net, of: usize, about: usize) -> Option<Reachability> {
    let mut roster = net.nodes[of].members.as_ref()?.others();
    roster.find(|(id, _)| **id == net.id(about)).map(|(_, known)| known.reachability)
}

// Each cell: what those on the one side hold of the other side after 120 s (400 s for one from all), and the other way round.
#[test_case(Way::Deaf, Who::Pair, false, State::Alive, State::Alive; "pair, deaf")]
#[test_case(Way::Mute, Who::Pair, false, State::Alive, State::Alive; "pair, mute")]
#[test_case(Way::Both, Who::Pair, false, State::Alive, State::Alive; "pair, both")]
#[test_case(Way::Deaf, Who::One, false, State::Dead, State::Dead; "one, deaf")]
#[test_case(Way::Mute, Who::One, false, State::Dead, State::Dead; "one, mute")]
#[test_case(Way::Both, Who::One, false, State::Dead, State::Dead; "one, both")]
#[test_case(Way::Deaf, Who::Halves, false, State::Dead, State::Dead; "halves, deaf")]
#[test_case(Way::Mute, Who::Halves, false, State::Dead, State::Dead; "halves, mute")]
#[test_case(Way::Both, Who::Halves, false, State::Dead, State::Dead; "halves, both")]
#[test_case(Way::Deaf, Who::Pair, true, State::Alive, State::Alive; "pair, deaf, second way")]
#[test_case(Way::Mute, Who::Pair, true, State::Alive, State::Alive; "pair, mute, second way")]
#[test_case(Way::Both, Who::Pair, true, State::Alive, State::Alive; "pair, both, second way")]
#[test_case(Way::Deaf, Who::One, true, State::Alive, State::Alive; "one, deaf, second way")]
#[test_case(Way::Mute, Who::One, true, State::Alive, State::Alive; "one, mute, second way")]
#[test_case(Way::Both, Who::One, true, State::Alive, State::Alive; "one, both, second way")]
#[test_case(Way::Deaf, Who::Halves, true, State::Alive, State::Alive; "halves, deaf, second way")]
#[test_case(Way::Mute, Who::Halves, true, State::Alive, State::Alive; "halves, mute, second way")]
#[test_case(Way::Both, Who::Halves, true, State::Alive, State::Alive; "halves, both, second way")]
fn cell(way: Way, who: Who, second_way: bool, lower_of_upper: State, upper_of_lower: State) {
    let mut net = Net::of(COUNT, 41);
    assert!(net.until_right(10_000.0).is_some());
    net.run(3000.0);
    let from = net.now;
    net.cuts = cuts(way, who);
    net.second_way = second_way;
    // One that hears nobody doubts itself first, and buries the others slowly.
    net.run(if who == Who::One && !second_way { 400_000.0 } else { 120_000.0 });

    let (lower, upper) = match who {
        Who::Pair => (4..5, 9..10),
        Who::One => (0..9, 9..10),
        Who::Halves => (0..5, 5..10),
    };
    let of_upper = held(&net, lower.clone(), upper.clone());
    let of_lower = held(&net, upper.clone(), lower.clone());
    println!("swings {}, wrong {}", most_swings(&net, from), net.wrong());
    if who == Who::Pair {
        let wanted = match way {
            Way::Deaf => (Reachability::InboundOnly, Reachability::OutboundOnly),
            Way::Mute => (Reachability::OutboundOnly, Reachability::InboundOnly),
            Way::Both => (Reachability::ThroughOthers, Reachability::ThroughOthers),
        };
        assert_eq!((reachability(&net, 4, 9), reachability(&net, 9, 4)), (Some(wanted.0), Some(wanted.1)));
    }
    assert_eq!(of_upper, BTreeSet::from([lower_of_upper]), "lower's view of upper");
    assert_eq!(of_lower, BTreeSet::from([upper_of_lower]), "upper's view of lower");
    // Those on one side go on believing each other.
    assert!(held(&net, lower.clone(), lower).iter().all(|state| *state == State::Alive));
    assert!(held(&net, upper.clone(), upper).iter().all(|state| *state == State::Alive));
    // Suspected and buried once, at most once contradicted between: nobody swings.
    let allowed = if lower_of_upper == State::Alive { 0 } else { 4 };
    assert!(most_swings(&net, from) <= allowed, "{} changes of one mind", most_swings(&net, from));
    let settled = net.now - 60_000.0;
    assert_eq!(most_swings(&net, settled), 0, "in the second minute nobody changes");

    net.cuts.clear();
    let healed = net.until_right(30_000.0);
    println!("healed {healed:?}");
    assert!(healed.is_some(), "{} wrong after healing", net.wrong());
}
