//! Random histories of faults: at every moment a slot has one holder at most.

use super::config;
use super::world::{id, World};
use crate::*;
use ottersail::time::Ms;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeMap;
use test_case::test_case;

/// Applies a random fault or a random new target.
fn random_fault(world: &mut World) {
    let members = world.nodes.len();
    let (one, other) = (world.rng.below(members), world.rng.below(members));
    let lease = world.config.lease();
    match world.rng.below(8) {
        0 => drop(world.cut.insert((one, other))),
        1 => world.cut.clear(),
        2 if world.rng.below(2) == 0 => {
            // A partition into two sides.
            let side: Vec<usize> = (0..members).map(|_| world.rng.below(2)).collect();
            let pairs = (0..members * members).map(|pair| (pair / members, pair % members));
            world.cut.extend(pairs.filter(|(from, to)| side[*from] != side[*to]));
        }
        2 => {
            let pause = lease * (world.rng.fraction() * 2.5);
            world.nodes[one].paused_until = world.now + pause;
        }
        3 => match world.rng.below(8) {
            0..=2 => world.restart(one % world.councillors.len()),
            3 => world.restart(one),
            _ => {}
        },
        // The members' view of which others are alive may be wrong.
        4 | 5 => {
            let instance = |index: usize| (id(index), world.nodes[index].instance);
            let mut alive: BTreeMap<MemberId, InstanceId> = (0..members).map(instance).collect();
            alive.remove(&id(other));
            let others = world.nodes.iter_mut().enumerate().filter(|(index, _)| *index != other);
            others.for_each(|(_, node)| node.holder.set_alive(alive.clone()));
        }
        _ => {
            let wanted = world.rng.below(usize::from(world.config.slots) * 2 / members + 2) as u16;
            world.input(one, |member, now, effects| member.holder.set_target(now, wanted, effects));
        }
    }
}

/// Runs two minutes of faults. Returns the first moment at which a slot had two holders, or the members held
/// more slots than there are.
fn history(seed: u64, members: usize, councillors: u64, guards: Guards) -> Option<Ms> {
    let slots = [4, 24, 50][seed as usize % 3];
    // Clocks drift by 1 % or by 10 % at most: margins of 200 ms and of 2 s.
    let drift_ppm = [10_000, 100_000][seed as usize / 3 % 2];
    let mut world =
        World::new(seed, members, LeaseConfig { guards, drift_ppm, ..config(slots, councillors) });
    (world.loss, world.slow) = ([0.0, 0.05, 0.3][world.rng.below(3)], [0.0, 0.1][world.rng.below(2)]);
    for node in 0..members {
        let wanted = (usize::from(slots) / members + 1) as u16;
        world.input(node, |member, now, effects| member.holder.set_target(now, wanted, effects));
    }
    while world.now < Ms(120e3) && world.violation.is_none() {
        let next = world.now + Ms(world.rng.fraction() * 3e3);
        world.run(next);
        for _ in 0..1 + world.rng.below(members / 3 + 1) {
            let node = world.rng.below(members);
            if world.nodes[node].paused_until <= world.now {
                random_fault(&mut world);
            }
        }
        if world.all_slots() > slots {
            return Some(world.now);
        }
    }
    world.violation.map(|(when, ..)| when)
}

fn check_seeds(count: u32, salt: u64, holds: impl Fn(u64) -> bool) {
    let config = Config {
        cases: count,
        rng_seed: RngSeed::Fixed(salt),
        failure_persistence: None,
        ..Config::default()
    };
    let check = |seed: u64| {
        prop_assert!(holds(seed), "seed {seed}");
        Ok(())
    };
    TestRunner::new(config).run(&any::<u64>().prop_map(|seed| seed >> 8), check).unwrap();
}

#[test_case(1_000, 3, 3)]
#[test_case(1_000, 5, 5)]
#[test_case(300, 9, 3)]
#[test_case(100, 20, 7)]
#[test_case(30, 50, 5)]
fn each_slot_has_at_most_one_holder_at_any_time(histories: u32, members: usize, councillors: u64) {
    check_seeds(histories, members as u64, |seed| {
        history(seed, members, councillors, Guards::default()).is_none()
    });
}

#[test_case(|guards| guards.leases = false; "leases")]
#[test_case(|guards| guards.quarantine = false; "quarantine")]
#[test_case(|guards| guards.stale = false; "stale")]
#[test_case(|guards| guards.send_time = false; "send_time")]
#[test_case(|guards| guards.majority = false; "majority")]
#[test_case(|guards| guards.margins = false; "margins")]
#[test_case(|guards| guards.stop_first = false; "stop_first")]
#[test_case(|guards| guards.until = false; "until")]
fn without_a_guard_a_slot_has_two_holders(switch_off: fn(&mut Guards)) {
    let mut guards = Guards::default();
    switch_off(&mut guards);
    let violated = (0..3_000).any(|seed| history(seed, 3 + seed as usize % 3, 3, guards).is_some());
    assert!(violated, "no violation in 3,000 histories without the guard");
}
