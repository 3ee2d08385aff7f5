//! The founding of a council, and the recovery of councillors that lost their store.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use test_case::test_case;

use super::faults::Faults;
use super::simulation::Simulation;
use crate::*;

fn unfounded(count: u64, seed: u64, up: u64) -> Simulation {
    let faults = Faults { loss: 100, duplicate: 50, ..Faults::default() };
    let mut sim = Simulation::new(count, seed, faults, Guards::ALL);
    (sim.up, sim.disks) = (BTreeMap::new(), BTreeMap::new());
    (1..=up).for_each(|member| sim.start(MemberId(member)));
    sim
}

#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn new_councillors_found_a_council(count: u64) {
    for seed in 0..30 {
        let mut sim = unfounded(count, seed, count);
        sim.run(Ms(8_000.0));
        assert!(sim.up.values().all(Councillor::participates), "seed {seed}");
        let known_counts: Vec<_> = sim.disks.values().map(|disk| disk.known.len()).collect();
        assert_eq!(known_counts, vec![count as usize - 1; count as usize], "seed {seed}");
    }
}

#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn founding_waits_for_all_councillors(count: u64) {
    let mut sim = unfounded(count, 1, count - 1);
    sim.run(Ms(20_000.0));
    assert!(!sim.up.values().any(Councillor::participates));
    sim.start(MemberId(count));
    sim.run(Ms(8_000.0));
    assert!(sim.up.values().all(Councillor::participates));
}

fn values(disk: &StoredState) -> BTreeMap<Key, &Value> {
    disk.registers.iter().filter_map(|(key, held)| Some((*key, &held.accepted.as_ref()?.1))).collect()
}

#[test_case(3, 1)]
#[test_case(5, 2)]
#[test_case(7, 3)]
fn lost_stores_recover_from_a_majority(count: u64, lost: u64) {
    let mut sim = Simulation::new(count, 1, Faults::default(), Guards::ALL);
    let last = MemberId(count);
    for slot in 0..40 {
        sim.submit(last, Key::Slots(slot), Change::Set { if_revision: 0, body: vec![slot; 300] });
        sim.run(Ms(100.0));
    }
    // Each store is lost twice, so that the second generation has to be above the first.
    for _ in 0..2 {
        for member in 1..=lost {
            sim.crash(MemberId(member));
            sim.lose_store(MemberId(member));
            sim.start(MemberId(member));
        }
        sim.run(Ms(3_000.0));
    }
    for member in 1..=lost {
        let disk = &sim.disks[&MemberId(member)];
        assert!(disk.participating && disk.generation.0 >> 48 > 0, "{:?}", disk.generation);
        assert_eq!(values(disk), values(&sim.disks[&last]));
    }
    assert_eq!(values(&sim.disks[&last]).len(), 40);
    assert_eq!(sim.checker.violation, None);
}

/// One store is lost at any moment of a founding on a lossy network. The founding may then wait for the operator, but
/// it never creates two councils.
#[test]
fn store_lost_during_founding_creates_no_second_council() {
    let (mut agreed, mut waiting) = (0, 0);
    for seed in 0..300 {
        let mut sim = unfounded(3, seed, 3);
        sim.faults = Faults { loss: 300, duplicate: 100, ..Faults::default() };
        let lost = sim.chance.below(60);
        for step in 0..120 {
            if step == lost {
                let victim = sim.members[sim.chance.below(3)];
                sim.crash(victim);
                sim.lose_store(victim);
                sim.start(victim);
            }
            let at = sim.members[sim.chance.below(3)];
            let known = sim.checker.newest(Key::Founding);
            sim.submit(at, Key::Founding, Change::Set { if_revision: known, body: vec![step as u8] });
            sim.run(Ms(50.0));
        }
        assert_eq!(sim.checker.violation, None, "seed {seed}");
        agreed += u32::from(sim.checker.newest(Key::Founding) > 0);
        waiting += u32::from(sim.checker.newest(Key::Founding) == 0);
    }
    println!("300 foundings with a lost store: {agreed} agreed on something in 6 s, {waiting} did not");
    assert!(agreed > 100, "{agreed}");
}
