//! Slots go to others with a lease's end, and not before.

use crate::peer::within;
use crate::table::{seconds, Page, Table, LONG};

#[test]
fn all_slots_are_held_and_those_of_the_killed_go_to_others_after_the_lease() {
    let mut all = Table::full();
    let page = Page::of(&all.0.nodes[3]);
    let (slots, until) = (page.slots(), page.figure("ottersail_part_until"));
    let changes = "ottersail_council_answer_seconds_count{ask=\"change\",outcome=\"done\"}";
    assert!(page.figure(changes) >= 1.0, "it holds what it asked for: {}", page.0);
    all.0.nodes[3].kill();
    assert!(!slots.is_empty() && until > seconds(), "{}", page.0);
    let mut first = f64::INFINITY;
    let taken = || {
        let theirs = all.others(3);
        all.look();
        if !theirs.is_disjoint(&slots) {
            first = first.min(seconds());
        }
        theirs.is_superset(&slots)
    };
    assert!(within(LONG, taken), "{}", all.0.told());
    println!("lease until {until}, the first of them held by another {:.1} s later", first - until);
    assert!(first > until, "held by another at {first}, leased until {until}");
    all.fills(4);
}

#[test]
fn one_that_stood_still_past_its_lease_holds_nothing_of_what_others_hold() {
    let mut all = Table::full();
    let slots = Page::of(&all.0.nodes[4]).slots();
    all.0.nodes[4].hold(true);
    assert!(!slots.is_empty());
    assert!(within(LONG, || all.others(4).is_superset(&slots)), "{}", all.0.told());
    all.0.nodes[4].hold(false);
    let now = Page::of(&all.0.nodes[4]).slots();
    assert!(now.is_disjoint(&all.others(4)), "{now:?}{}", all.0.told());
    let told = || all.0.nodes[4].log().contains("the lease ran out");
    assert!(within(LONG, told), "{}", all.0.nodes[4].log());
    assert!(all.0.nodes[4].figure("ottersail_part_leases_ran_out_total") >= 1.0);
    all.fills(5);
}
