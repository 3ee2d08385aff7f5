//! Names that are given twice, and clusters that meet.

use crate::cluster::{Cluster, KEYS};
use crate::peer::within;
use std::time::Duration;

const HELD: &str = "ottersail_member_conflicts_total";

/// The newcomer stays out while the first answers, says so, and comes in once that is gone.
#[test]
fn of_two_with_one_name_the_first_stays() {
    let name = |ix: usize| if ix == 3 { "m-0".to_string() } else { format!("m-{ix}") };
    let mut all = Cluster::with(4, 500, |ix| ("east".into(), name(ix)));
    all.nodes[..3].iter_mut().for_each(|it| it.start());
    all.all_alive(20);
    all.nodes[3].start();
    let told = |all: &Cluster| all.nodes[3].log().contains("this name is held by another");
    assert!(within(Duration::from_secs(10), || told(&all)), "{}", all.told());
    assert!(all.nodes[3].figure(HELD) >= 1.0);
    let seen = all.watch(Duration::from_secs(4));
    assert_eq!(seen["m-0"], ["alive"], "{}", all.told());
    assert!(!all.nodes[3].log().contains("came in"));
    all.nodes[0].kill();
    let inside = || all.nodes[3].log().contains("came in") && all.nodes[1].beliefs()["m-0"].0 == "alive";
    assert!(within(Duration::from_secs(25), inside), "{}", all.told());
    assert!(within(Duration::from_secs(10), || all.all_believe("m-0", "alive")), "{}", all.told());
}

/// All know each other's addresses and have the same keys; but for the cluster's name they would meet.
#[test]
fn two_clusters_stay_apart() {
    let of = |ix: usize| (if ix < 3 { "east" } else { "west" }.to_string(), format!("m-{ix}"));
    let mut all = Cluster::with(6, 500, of);
    all.nodes.iter_mut().for_each(|it| it.start());
    let met = |ix: usize| all.nodes[ix].beliefs().values().filter(|it| it.0 == "alive").count() == 2;
    assert!(within(Duration::from_secs(20), || (0..6).all(met)), "{}", all.told());
    all.watch(Duration::from_secs(3));
    for (ix, node) in all.nodes.iter().enumerate() {
        let others = node.beliefs().into_keys().collect::<Vec<_>>();
        let side = if ix < 3 { 0..3 } else { 3..6 };
        let expected: Vec<String> = side.filter(|it| *it != ix).map(|it| format!("m-{it}")).collect();
        assert_eq!(others, expected, "{}", node.log());
    }
    assert!(all.sum("ottersail_member_datagrams_dropped_total{kind=\"cluster\"}") > 0.0);
}

/// The new key second at all, then first at all, then alone: no datagram is refused on the way.
#[test]
fn keys_follow_one_another_by_sighup() {
    const NEXT: &str = "b BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB\n";
    let mut all = Cluster::met(3, 500);
    for keys in [KEYS.to_string() + NEXT, NEXT.to_string() + KEYS, NEXT.to_string()] {
        all.nodes.iter_mut().for_each(|it| it.rekey(&keys));
        let seen = all.watch(Duration::from_secs(1));
        assert!(seen.values().all(|it| it == &["alive"]), "{seen:?}{}", all.told());
    }
    assert_eq!(all.sum("ottersail_member_datagrams_dropped_total{kind=\"forged\"}"), 0.0);
    // Who has the new key alone comes in: it is the one in force.
    all.nodes[2].kill();
    all.nodes[2].start();
    assert!(within(Duration::from_secs(10), || all.nodes[2].log().matches("came in").count() == 2));
    all.all_alive(10);
}
