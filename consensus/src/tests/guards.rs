//! Without any one of the guards, some simulated history violates the protocol.

use ottersail::time::Ms;
use test_case::test_case;

use super::faults::Faults;
use super::histories::{check_recovered, run_history};
use super::simulation::Simulation;
use crate::*;

const LOSSY: Faults = Faults {
    loss: 200,
    duplicate: 50,
    cut_link: 100,
    crash: 250,
    lose_store: 0,
    refuse_accept: 0,
    extra_sync_ms: 40,
};
const LOSES_STORES: Faults = Faults { lose_store: 1000, refuse_accept: 300, ..LOSSY };

fn first_violation(count: u64, faults: Faults, guards: Guards, seeds: u64) -> Option<(u64, String)> {
    (1..=seeds).find_map(|seed| {
        let mut sim = run_history(count, seed, faults, guards);
        let wrong = sim.checker.violation.clone().or_else(|| check_recovered(&mut sim).err());
        wrong.map(|wrong| (seed, wrong))
    })
}

#[test_case(LOSSY, Guards { persist_before_reply: false, ..Guards::ALL }; "replies before the disk has it")]
#[test_case(LOSSY, Guards { keep_promises: false, ..Guards::ALL }; "promises not kept")]
#[test_case(LOSSY, Guards { adopt_highest: false, ..Guards::ALL }; "highest accepted value not adopted")]
#[test_case(LOSSY, Guards { write_back: false, ..Guards::ALL }; "reported before it is written back")]
#[test_case(LOSES_STORES, Guards { abstain_until_recovered: false, ..Guards::ALL }; "participating with an empty store")]
#[test_case(LOSES_STORES, Guards { recovery_majority: false, ..Guards::ALL }; "recovered from too few councillors")]
fn removing_a_guard_breaks_a_history(faults: Faults, guards: Guards) {
    let found = first_violation(3, faults, guards, 3000);
    println!("{found:?}");
    assert!(found.is_some());
    let with_all_guards = first_violation(3, faults, Guards::ALL, found.map_or(0, |(seed, _)| seed));
    assert_eq!(with_all_guards, None);
}

/// Run by hand: `cargo test --release -p ottersail-consensus long_search -- --ignored --nocapture`.
#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
#[ignore = "takes a minute or more"]
fn long_search(count: u64) {
    for faults in [LOSSY, LOSES_STORES] {
        assert_eq!(first_violation(count, faults, Guards::ALL, 5_000), None);
    }
}

#[test_case(true)]
#[test_case(false)]
fn empty_stores_found_no_council_beside_an_existing_one(founding_all: bool) {
    let guards = Guards { founding_by_all: founding_all, ..Guards::ALL };
    let mut sim = Simulation::new(3, 1, Faults::default(), guards);
    for member in [MemberId(1), MemberId(2)] {
        sim.crash(member);
        sim.lose_store(member);
        sim.start(member);
    }
    sim.run(Ms(20_000.0));
    assert_eq!(sim.up[&MemberId(1)].participates(), !founding_all);
    assert_eq!(sim.up[&MemberId(2)].participates(), !founding_all);
}
