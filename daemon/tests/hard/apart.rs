//! Two clusters on one range of addresses: each of their members has those of both as seeds.

use crate::cluster::{Cluster, Node, KEYS};
use crate::looks::{during, names, once, until, Look};
use std::time::Duration;
use test_case::test_case;

const OTHER_KEYS: &str = "b BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB\n";
const DROPPED: &str = "ottersail_member_datagrams_dropped_total";
const SIDE: usize = 3;

/// The first three and the last three, each of their own cluster and keys.
fn two(clusters: [&str; 2], keys: [&str; 2]) -> Cluster {
    let side = |ix: usize| usize::from(ix >= SIDE);
    // Each asks the seeds of the other cluster before those of its own.
    let edit = |ix: usize, text: String| {
        let told = text.lines().find(|it| it.starts_with("seeds = ")).unwrap();
        let mut seeds: Vec<&str> = told.trim_start_matches("seeds = ").split(", ").collect();
        seeds.rotate_left(if side(ix) == 0 { SIDE } else { 0 });
        text.replace(told, &format!("seeds = {}", seeds.join(", ")))
    };
    let of = |ix: usize| (clusters[side(ix)].to_string(), format!("m-{ix}"));
    let mut all = Cluster::edited(2 * SIDE, 500, of, edit);
    for (ix, node) in all.nodes.iter_mut().enumerate() {
        std::fs::write(node.path("keys"), keys[side(ix)]).unwrap();
        node.start();
    }
    all
}

/// Whether each knows those of its side for alive, and nobody else.
fn met(look: &Look, sides: &[Vec<String>]) -> bool {
    look.iter().all(|(name, beliefs)| {
        let mut own = sides.iter().filter(|it| it.contains(name)).flatten().filter(|it| *it != name);
        own.all(|it| beliefs.get(it).is_some_and(|it| it.0 == "alive"))
    })
}

#[test_case(["east", "west"], [KEYS, OTHER_KEYS], "cluster"; "other names and other keys")]
#[test_case(["east", "west"], [KEYS, KEYS], "cluster"; "other names and the same keys")]
#[test_case(["east", "east"], [KEYS, OTHER_KEYS], "forged"; "one name and other keys")]
fn nobody_is_known_across(clusters: [&str; 2], keys: [&str; 2], dropped: &str) {
    let all = two(clusters, keys);
    let sides = [names(&all, |ix| ix < SIDE), names(&all, |ix| ix >= SIDE)];
    let across = |by: &str, of: &str, _: &str| {
        !sides.iter().any(|it| [by, of].iter().all(|name| it.iter().any(|it| it == name)))
    };
    until(&all, 20, across, |it| met(it, &sides));
    during(&all, Duration::from_secs(3), across);
    for side in all.nodes.chunks(SIDE) {
        let came = |it: &Node| it.figure(&format!("{DROPPED}{{kind=\"{dropped}\"}}"));
        assert!(side.iter().map(came).sum::<f64>() > 0.0, "they were asked by the others: {}", all.told());
    }
}

/// The addresses of a member that was killed go to one of the other cluster: the first holds the dead for
/// dead though somebody answers there, and neither knows the other's.
#[test_case(KEYS; "the same keys")]
#[test_case(OTHER_KEYS; "other keys")]
fn an_address_that_goes_to_the_other_cluster_takes_nobody_along(west: &str) {
    let mut all = two(["east", "west"], [KEYS, west]);
    let mut sides = [names(&all, |ix| ix < SIDE), names(&all, |ix| ix >= SIDE)];
    until(&all, 20, |_, _, _| false, |it| met(it, &sides));
    let node = &mut all.nodes[2];
    node.kill();
    let text = std::fs::read_to_string(node.path("m.ini")).unwrap();
    let text = text.replace("name = m-2", "name = m-9").replace("cluster = east", "cluster = west");
    std::fs::write(node.path("m.ini"), text).unwrap();
    std::fs::write(node.path("keys"), west).unwrap();
    node.name = "m-9".into();
    node.start();
    let east = std::mem::take(&mut sides[0]);
    sides = [east[..2].to_vec(), [sides[1].clone(), vec!["m-9".to_string()]].concat()];
    let across = |by: &str, of: &str, _: &str| {
        let by_east = sides[0].iter().any(|it| it == by);
        if by_east {
            !east.iter().any(|it| it == of)
        } else {
            !sides[1].iter().any(|it| it == of)
        }
    };
    let dead =
        |look: &Look| look.iter().filter(|it| sides[0].contains(&it.0)).all(|it| it.1["m-2"].0 == "dead");
    let took = until(&all, 30, across, |it| met(it, &sides) && dead(it));
    println!("held for dead by its own after {took:?}");
    during(&all, Duration::from_secs(2), across);
    assert!(dead(&once(&all, across)), "{}", all.told());
}
