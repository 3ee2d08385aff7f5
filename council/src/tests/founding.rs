//! How a council begins, and how one without memory comes back.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use test_case::test_case;

use super::sim::{Faults, Sim};
use crate::*;

fn new(count: u64, seed: u64, up: u64) -> Sim {
    let faults = Faults { loss: 100, double: 50, ..Faults::default() };
    let mut sim = Sim::new(count, seed, faults, Guards::ALL);
    (sim.up, sim.disks) = (BTreeMap::new(), BTreeMap::new());
    (1..=up).for_each(|member| sim.start(MemberId(member)));
    sim
}

#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn all_new_found_a_council(count: u64) {
    for seed in 0..30 {
        let mut sim = new(count, seed, count);
        sim.run(Ms(8_000.0));
        assert!(sim.up.values().all(Councillor::sound), "seed {seed}");
        let rolls: Vec<_> = sim.disks.values().map(|disk| disk.known.len()).collect();
        assert_eq!(rolls, vec![count as usize - 1; count as usize], "seed {seed}");
    }
}

#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn with_one_missing_the_founding_waits(count: u64) {
    let mut sim = new(count, 1, count - 1);
    sim.run(Ms(20_000.0));
    assert!(!sim.up.values().any(Councillor::sound));
    sim.start(MemberId(count));
    sim.run(Ms(8_000.0));
    assert!(sim.up.values().all(Councillor::sound));
}

#[test]
fn two_without_memory_do_not_found_beside_one_that_remembers() {
    let mut sim = Sim::new(3, 1, Faults::default(), Guards::ALL);
    for member in [MemberId(1), MemberId(2)] {
        sim.crash(member);
        sim.forget(member);
        sim.start(member);
    }
    sim.run(Ms(20_000.0));
    assert!(!sim.up[&MemberId(1)].sound() && !sim.up[&MemberId(2)].sound());
}

#[test_case(3, 1)]
#[test_case(5, 2)]
#[test_case(7, 3)]
fn lost_memories_come_back_from_a_majority(count: u64, lost: u64) {
    let mut sim = Sim::new(count, 1, Faults::default(), Guards::ALL);
    let last = MemberId(count);
    for slot in 0..40 {
        sim.ask(last, Key::Slots(slot), Change::Set { if_revision: 0, body: vec![slot; 300] });
        sim.run(Ms(100.0));
    }
    // Twice each, so that the second memory has to be above the first.
    for _ in 0..2 {
        for member in 1..=lost {
            sim.crash(MemberId(member));
            sim.forget(MemberId(member));
            sim.start(MemberId(member));
        }
        sim.run(Ms(3_000.0));
    }
    for member in 1..=lost {
        let disk = &sim.disks[&MemberId(member)];
        assert!(disk.sound && disk.memory.0 >> 48 > 0, "{:?}", disk.memory);
        assert_eq!(disk.registers, sim.disks[&last].registers);
    }
    assert_eq!(sim.disks[&last].registers.len(), 40);
    assert_eq!(sim.judge.wrong, None);
}
