//! Each guard taken out: something breaks.

use ottersail::time::Ms;
use test_case::test_case;

use super::histories::{history, settled};
use super::sim::{Faults, Sim};
use crate::*;

const ROUGH: Faults = Faults { loss: 200, double: 50, cut: 100, crash: 250, forget: 0, refuse: 0, sync: 40 };
const FORGETFUL: Faults = Faults { forget: 1000, refuse: 300, ..ROUGH };

fn broken(count: u64, faults: Faults, guards: Guards, seeds: u64) -> Option<(u64, String)> {
    (1..=seeds).find_map(|seed| {
        let mut sim = history(count, seed, faults, guards);
        let wrong = sim.judge.wrong.clone().or_else(|| settled(&mut sim).err());
        wrong.map(|wrong| (seed, wrong))
    })
}

#[test_case(ROUGH, Guards { persist_before_reply: false, ..Guards::ALL }; "replies before the disk has it")]
#[test_case(ROUGH, Guards { keep_promises: false, ..Guards::ALL }; "promises not held")]
#[test_case(ROUGH, Guards { adopt_highest: false, ..Guards::ALL }; "not the highest accepted value taken up")]
#[test_case(ROUGH, Guards { write_back: false, ..Guards::ALL }; "told before it is written back")]
#[test_case(FORGETFUL, Guards { abstain_until_recovered: false, ..Guards::ALL }; "taking part without generation")]
#[test_case(FORGETFUL, Guards { recovery_majority: false, ..Guards::ALL }; "recovered from too few")]
fn without_it_a_history_breaks(faults: Faults, guards: Guards) {
    let found = broken(3, faults, guards, 3000);
    println!("{found:?}");
    assert!(found.is_some());
    let sound = broken(3, faults, Guards::ALL, found.map_or(0, |(seed, _)| seed));
    assert_eq!(sound, None);
}

/// Run by hand: `cargo test --release -p ottersail-consensus long_search -- --ignored --nocapture`.
#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
#[ignore = "takes a minute or more"]
fn long_search(count: u64) {
    for faults in [ROUGH, FORGETFUL] {
        assert_eq!(broken(count, faults, Guards::ALL, 5_000), None);
    }
}

#[test_case(true)]
#[test_case(false)]
fn two_without_memory_found_no_council_beside_one_that_remembers(founding_all: bool) {
    let guards = Guards { founding_by_all: founding_all, ..Guards::ALL };
    let mut sim = Sim::new(3, 1, Faults::default(), guards);
    for member in [MemberId(1), MemberId(2)] {
        sim.crash(member);
        sim.forget(member);
        sim.start(member);
    }
    sim.run(Ms(20_000.0));
    assert_eq!(sim.up[&MemberId(1)].participates(), !founding_all);
    assert_eq!(sim.up[&MemberId(2)].participates(), !founding_all);
}
