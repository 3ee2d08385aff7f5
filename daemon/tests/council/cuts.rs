//! A majority that stands still or is cut off one way, and a store that is lost behind a cut.

use crate::cluster::Node;
use crate::peer::within;
use crate::table::{Page, Slots, Table, LEASE, LONG};
use std::time::{Duration, Instant};
use test_case::test_case;

fn nobody_holds(all: &Table) -> bool {
    all.look().iter().all(Slots::is_empty)
}

#[test]
fn a_majority_that_stood_still_for_three_seconds_changes_nothing_agreed() {
    let mut all = Table::full();
    all.0.nodes[..2].iter_mut().for_each(|it| it.hold(true));
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        all.look();
    }
    assert!(nobody_holds(&all), "no majority renews for longer than a lease: {}", all.0.told());
    all.0.nodes[..2].iter_mut().for_each(|it| it.hold(false));
    // What they held is past its lease: their first pages are within this.
    all.look();
    all.fills(5);
    all.keeps_all();
}

/// Councillors 0 and 1 of three.
#[test_case(|from, _| from < 2; "that nobody hears")]
#[test_case(|_, to| to < 2; "that hears nobody")]
fn with_a_majority_cut_one_way_no_slot_is_held_until_it_heals(cut: fn(usize, usize) -> bool) {
    let all = Table::full();
    all.cut(cut);
    assert!(within(LONG, || nobody_holds(&all)), "{}", all.0.told());
    let (until, before) = (Instant::now() + LEASE, all.most());
    while Instant::now() < until {
        assert!(nobody_holds(&all), "{}", all.0.told());
    }
    assert_eq!(all.most(), before, "nothing is chosen");
    all.cut(|_, _| false);
    all.fills(5);
    all.keeps_all();
}

#[test]
fn a_store_lost_behind_a_cut_is_recovered_when_it_heals() {
    let mut all = Table::full();
    all.cut(|from, to| from == 2 || to == 2);
    all.0.nodes[2].kill();
    std::fs::remove_file(all.0.nodes[2].path("council")).unwrap();
    all.0.nodes[2].start();
    // The others go on without it, also with new changes: its slots go to them.
    let others = || {
        let held = all.look();
        assert!(held[2].is_empty() && !Page::of(&all.0.nodes[2]).sound(), "it abstains: {held:?}");
        held.iter().filter(|it| !it.is_empty()).count() == 4
    };
    assert!(within(LONG, others), "{}", all.0.told());
    let until = Instant::now() + LEASE;
    while Instant::now() < until {
        others();
    }
    all.cut(|_, _| false);
    all.take_part(2..3);
    all.fills(5);
    all.keeps_all();
    // With it and one other there is a majority, and what the dead one knew is still there.
    all.0.nodes[0].kill();
    all.fills(4);
    all.keeps_all();
}

/// Another process under a councillor's name, with a store of its own.
#[test]
fn a_second_process_of_one_councillors_name_stays_out() {
    let mut all = Table::set(5, 3, LEASE, 2);
    all.fills(5);
    // The sixth is a second m-0, the seventh a second m-1.
    Node::start(&mut all.0.nodes[6]);
    let told = || all.0.nodes[6].log().contains("this name is held by another that answers");
    assert!(within(LONG, told), "{}", all.0.nodes[6].log());
    let until = Instant::now() + LEASE * 2;
    while Instant::now() < until {
        let held = all.look();
        assert!(held[5].is_empty(), "{held:?}");
        assert!(!Page::of(&all.0.nodes[6]).sound(), "{}", all.0.nodes[6].log());
        assert!(Page::of(&all.0.nodes[1]).sound(), "{}", all.0.nodes[1].log());
    }
    all.0.nodes[6].kill();
    all.fills(5);
    all.keeps_all();
}
