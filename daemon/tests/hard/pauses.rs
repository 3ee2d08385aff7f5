//! Processes that stand still together, and one that does so again and again.

use crate::cluster::{Cluster, Node};
use crate::looks::{dead, during, lines, names, until_at_rest, until_whole};
use crate::peer::within;
use std::time::{Duration, Instant};

fn hold(all: &mut Cluster, who: std::ops::Range<usize>, still: bool) {
    all.nodes[who].iter_mut().for_each(|it: &mut Node| it.hold(still));
}

/// Half a period, then two.
#[test]
fn a_third_stands_still_together_and_nobody_is_buried() {
    let mut all = Cluster::met(9, 1_000);
    for span in [500, 2_000] {
        hold(&mut all, 0..3, true);
        during(&all, Duration::from_millis(span), dead);
        hold(&mut all, 0..3, false);
        during(&all, Duration::from_secs(3), dead);
        until_whole(&all, 20, dead);
    }
    assert_eq!(lines(&all, "is=\"dead\""), 0, "{}", all.told());
}

/// They may be buried while they stand still; nobody else is, by anybody. On waking they bury nobody by their
/// own word: that others of them were buried lies unread, and is contradicted within the same moment.
#[test]
fn a_third_stands_still_for_ten_periods_and_is_alive_soon_after() {
    let mut all = Cluster::met(9, 1_000);
    let third = names(&all, |ix| ix < 3);
    let others = |_: &str, of: &str, state: &str| state != "alive" && !third.iter().any(|it| it == of);
    let others_dead = |by: &str, of: &str, state: &str| state == "dead" && others(by, of, state);
    hold(&mut all, 0..3, true);
    during(&all, Duration::from_secs(10), others);
    hold(&mut all, 0..3, false);
    let took = until_whole(&all, 20, others_dead);
    println!("{} burials, whole after {took:?}", lines(&all, "is=\"dead\""));
    for node in &all.nodes[..3] {
        let log = node.log();
        let burials: Vec<&str> = log.lines().filter(|it| it.contains("is=\"dead\"")).collect();
        let of_a_third = |line: &&&str| third.iter().any(|it| line.contains(&format!("name=\"{it}\"")));
        assert_eq!(burials.iter().filter(of_a_third).count(), burials.len(), "{log}");
        assert!(burials.iter().all(|it| it.contains("why=\"told\"")), "{log}");
        assert!(node.figure("ottersail_member_pauses_total") >= 1.0, "{}", node.log());
    }
    until_at_rest(&all, 25, others_dead);
}

/// One second of three for 20 s, a period each time: suspected at times, buried by nobody.
#[test]
fn one_without_processor_time_a_second_of_three_is_not_buried() {
    let mut all = Cluster::met(6, 1_000);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        all.nodes[2].hold(true);
        let stat = format!("/proc/{}/stat", all.nodes[2].child.as_ref().unwrap().id());
        let still = || std::fs::read_to_string(&stat).unwrap().contains(") T ");
        assert!(within(Duration::from_secs(1), still), "it does stand still");
        during(&all, Duration::from_secs(1), dead);
        all.nodes[2].hold(false);
        during(&all, Duration::from_secs(2), dead);
    }
    let suspected = lines(&all, "is=\"suspect\"");
    println!("{suspected} suspicions, whole after {:?}", until_whole(&all, 10, dead));
    assert_eq!(lines(&all, "is=\"dead\""), 0, "{}", all.told());
}
