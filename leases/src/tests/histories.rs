//! Random histories: at every instant of true time a slot counts for one member at most.

use super::terms;
use super::world::{id, World};
use crate::*;
use ottersail::time::Ms;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeMap;
use test_case::test_case;

/// One of what goes wrong.
fn fault(world: &mut World) {
    let members = world.nodes.len();
    let (one, other) = (world.chance.below(members), world.chance.below(members));
    let lease = world.terms.lease();
    match world.chance.below(8) {
        0 => drop(world.cut.insert((one, other))),
        1 => world.cut.clear(),
        2 if world.chance.below(2) == 0 => {
            // Two sides that do not hear each other.
            let side: Vec<usize> = (0..members).map(|_| world.chance.below(2)).collect();
            let pairs = (0..members * members).map(|it| (it / members, it % members));
            world.cut.extend(pairs.filter(|it| side[it.0] != side[it.1]));
        }
        2 => {
            let stands = lease * (world.chance.part() * 2.5);
            world.nodes[one].stands_until = world.now + stands;
        }
        3 => match world.chance.below(8) {
            0..=2 => world.restart(one % world.councillors.len()),
            3 => world.restart(one),
            _ => {}
        },
        // What members believe of another need not be so.
        4 | 5 => {
            let lives = |it: usize| (id(it), world.nodes[it].instance);
            let mut alive: BTreeMap<MemberId, InstanceId> = (0..members).map(lives).collect();
            alive.remove(&id(other));
            let others = world.nodes.iter_mut().enumerate().filter(|it| it.0 != other);
            others.for_each(|it| it.1.holder.set_alive(alive.clone()));
        }
        _ => {
            let wanted = world.chance.below(usize::from(world.terms.slots) * 2 / members + 2) as u16;
            world.input(one, |it, now, out| it.holder.set_target(now, wanted, out));
        }
    }
}

/// Two minutes of faults. The first instant at which a slot counted twice, or parts summed to more than the whole.
fn history(seed: u64, members: usize, councillors: u64, guards: Guards) -> Option<Ms> {
    let slots = [4, 24, 50][seed as usize % 3];
    // Clocks within 1 % and within 10 %: margins of 200 ms and of 2 s.
    let drift_ppm = [10_000, 100_000][seed as usize / 3 % 2];
    let mut world = World::new(seed, members, LeaseConfig { guards, drift_ppm, ..terms(slots, councillors) });
    (world.loss, world.slow) = ([0.0, 0.05, 0.3][world.chance.below(3)], [0.0, 0.1][world.chance.below(2)]);
    for node in 0..members {
        let wanted = (usize::from(slots) / members + 1) as u16;
        world.input(node, |it, now, out| it.holder.set_target(now, wanted, out));
    }
    while world.now < Ms(120e3) && world.broken.is_none() {
        let next = world.now + Ms(world.chance.part() * 3e3);
        world.run(next);
        for _ in 0..1 + world.chance.below(members / 3 + 1) {
            let node = world.chance.below(members);
            if world.nodes[node].stands_until <= world.now {
                fault(&mut world);
            }
        }
        if world.all_slots() > slots {
            return Some(world.now);
        }
    }
    world.broken.map(|it| it.0)
}

fn seeds(count: u32, salt: u64, look: impl Fn(u64) -> bool) {
    let config = Config {
        cases: count,
        rng_seed: RngSeed::Fixed(salt),
        failure_persistence: None,
        ..Config::default()
    };
    let held = |seed: u64| {
        prop_assert!(look(seed), "seed {seed}");
        Ok(())
    };
    TestRunner::new(config).run(&any::<u64>().prop_map(|it| it >> 8), held).unwrap();
}

#[test_case(1_000, 3, 3)]
#[test_case(1_000, 5, 5)]
#[test_case(300, 9, 3)]
#[test_case(100, 20, 7)]
#[test_case(30, 50, 5)]
fn each_slot_counts_for_one_member_at_most(histories: u32, members: usize, councillors: u64) {
    seeds(histories, members as u64, |seed| history(seed, members, councillors, Guards::default()).is_none());
}

#[test_case(|it| it.leases = false; "leases")]
#[test_case(|it| it.quarantine = false; "quarantine")]
#[test_case(|it| it.stale = false; "stale")]
#[test_case(|it| it.send_time = false; "send_time")]
#[test_case(|it| it.majority = false; "majority")]
#[test_case(|it| it.margins = false; "margins")]
#[test_case(|it| it.stop_first = false; "stop_first")]
#[test_case(|it| it.until = false; "until")]
fn without_a_guard_a_slot_counts_twice(take_out: fn(&mut Guards)) {
    let mut guards = Guards::default();
    take_out(&mut guards);
    let broken = (0..3_000).any(|seed| history(seed, 3 + seed as usize % 3, 3, guards).is_some());
    assert!(broken, "3,000 histories without it and no harm");
}
