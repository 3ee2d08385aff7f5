//! What the wires between members lose.

use crate::cluster::{loss, pairs, Cluster, CUT};
use std::time::Duration;
use test_case::test_case;

const BURIALS: &str = "ottersail_member_burials_total";
const SENT: &str = "ottersail_member_bytes_total{way=\"out\"}";

#[test_case(0.2; "a fifth")]
#[test_case(0.4; "two fifths")]
fn nobody_is_buried_for_what_is_lost(part: f64) {
    let all = Cluster::met(8, 500);
    all.set_all(loss(part));
    let seen = all.watch(Duration::from_secs(10));
    assert!(seen.values().all(|it| !it.contains(&"dead".into())), "{seen:?}");
    assert_eq!((seen.len(), all.sum(BURIALS)), (8, 0.0), "{}", all.told());
    all.set_all(Default::default());
    all.all_alive(10);
}

/// A cut one way only, of one pair, of one member from all that it sends, and of one from all sent to it.
#[test_case(&[(1, 2)], 6; "of one pair")]
#[test_case(&[(1, 0), (1, 2), (1, 3), (1, 4), (1, 5)], 6; "nobody hears it")]
#[test_case(&[(0, 1), (2, 1), (3, 1), (4, 1), (5, 1)], 6; "it hears nobody")]
fn nobody_swings_while_one_way_is_cut(cut: &[(usize, usize)], count: usize) {
    let all = Cluster::met(count, 500);
    cut.iter().for_each(|it| all.set(it.0, it.1, CUT));
    let seen = all.watch(Duration::from_secs(10));
    assert!(seen.values().all(|it| it == &["alive"]), "{seen:?}{}", all.told());
    assert_eq!((seen.len(), all.sum(BURIALS)), (count, 0.0), "{}", all.told());
    let heard = all.sum("ottersail_members_heard{hearing=\"both\"}");
    assert!(heard < (count * (count - 1)) as f64, "the cut is seen by somebody: {heard}");
    cut.iter().for_each(|it| all.set(it.0, it.1, Default::default()));
    all.all_alive(10);
}

/// Each half takes the other for dead or hears that it lives by the second way; healed, all are alive.
#[test]
fn two_halves_find_each_other_again() {
    let all = Cluster::met(6, 500);
    let across = || pairs(6).filter(|it| (it.0 < 3) != (it.1 < 3));
    across().for_each(|it| all.set(it.0, it.1, CUT));
    all.watch(Duration::from_secs(8));
    across().for_each(|it| all.set(it.0, it.1, Default::default()));
    println!("alive to all after {:?}", all.all_alive(20));
}

/// At rest, with a period of a second; under 500 bytes a second are wanted.
#[test]
fn at_rest_a_member_sends_little() {
    let all = Cluster::met(8, 1_000);
    std::thread::sleep(Duration::from_secs(4));
    let (before, span) = (all.sum(SENT), Duration::from_secs(10));
    std::thread::sleep(span);
    let each = (all.sum(SENT) - before) / 8.0 / span.as_secs_f64();
    println!("{each:.0} bytes a second");
    assert!((50.0..500.0).contains(&each), "{each} bytes a second: {}", all.told());
}
