//! Managers that are told to end give their slots back in order.

use crate::peer::within;
use crate::table::{seconds, Page, Slots, Table, LONG, SLOTS};
use std::time::{Duration, Instant};

/// So long that nothing of what is seen can be a lease that ran out.
const LEASE: Duration = Duration::from_secs(15);

/// One of three, so that the others are far below their parts and take up what is free at once.
#[test]
fn slots_of_one_told_to_end_are_with_others_long_before_the_lease_ends() {
    let began = Instant::now();
    let mut all = Table::set(3, 3, LEASE, 0);
    // By then councillors let a slot of one who left go to another, also where its change of the register came
    // too late.
    let settled = LEASE + LEASE / 4;
    let evenly = || {
        let held = all.look();
        let even = held.iter().map(Slots::len).sum::<usize>() > SLOTS - 3
            && held.iter().all(|it| (8..12).contains(&it.len()));
        even && began.elapsed() > settled
    };
    assert!(within(LEASE * 3 + LONG, evenly), "{:?}{}", all.look(), all.0.told());
    let page = Page::of(&all.0.nodes[2]);
    let (until, slots) = (page.figure("ottersail_part_until"), page.slots());
    let began = Instant::now();
    all.0.nodes[2].stop();
    println!("ended after {:?}", began.elapsed());
    // All but what rounding leaves.
    let theirs = || slots.intersection(&all.look().into_iter().flatten().collect()).count() + 2 > slots.len();
    assert!(within(LONG, theirs), "{slots:?} {:?}{}", all.look(), all.0.told());
    let left = until - seconds();
    println!(
        "{} slots with others after {:?}, {left:.1} s before the lease's end",
        slots.len(),
        began.elapsed()
    );
    assert!(left > 0.0, "the lease ended {left} s ago{}{}", all.0.nodes[2].log(), all.0.told());
    // The module first, and then the others.
    let log = all.0.nodes[2].log();
    let (told, given) = (log.rfind("slots=0 held=0"), log.find("slots given back"));
    assert!(told.is_some() && told < given, "{log}");
    println!("{}", log.lines().filter(|it| it.contains("slots given back")).collect::<String>());
    all.fills(2);
}
