//! Thousands of random histories with faults: chosen values stay chosen and visible, and the council works again
//! once the faults end.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::faults::Faults;
use super::simulation::Simulation;
use crate::*;
use ottersail::time::Ms;

const KEYS: [Key; 2] = [Key::Founding, Key::Slots(3)];

/// Runs some seconds of faults with requests by all members; the result holds the checker.
pub fn run_history(count: u64, seed: u64, faults: Faults, guards: Guards) -> Simulation {
    let mut sim = Simulation::new(count, seed, faults, guards);
    for step in 0..60_u32 {
        let at = sim.members[sim.chance.below(sim.members.len())];
        let key = KEYS[sim.chance.below(2)];
        let known = sim
            .up
            .get(&at)
            .and_then(|councillor| councillor.follower().values().get(&key))
            .map_or(0, |value| value.revision);
        let set = Change::Set { if_revision: known, body: step.to_le_bytes().to_vec() };
        let change = if sim.chance.below(3) == 0 { Change::Read } else { set };
        sim.submit(at, key, change);
        sim.step_with_faults();
        if sim.checker.violation.is_some() {
            break;
        }
    }
    sim
}

/// Without faults every register can be read again and shows its newest value.
pub fn check_recovered(sim: &mut Simulation) -> Result<(), String> {
    sim.faults = Faults::default();
    sim.cuts.clear();
    sim.run(Ms(3_000.0));
    let asked: Vec<_> =
        KEYS.iter().map(|key| (*key, sim.submit(sim.members[0], *key, Change::Read))).collect();
    sim.run(Ms(3_000.0));
    for (key, number) in asked {
        match sim.checker.answers.get(&(sim.members[0], number)) {
            Some((Outcome::Current(_), _)) => {}
            other => {
                let state_of = |(member, councillor): (&MemberId, &Councillor)| {
                    (*member, councillor.participates(), councillor.acceptor().view())
                };
                let all: Vec<_> = sim.up.iter().map(state_of).collect();
                return Err(format!("{key:?} read with all well: {other:?}, {all:?}"));
            }
        }
    }
    sim.checker.violation.clone().map_or(Ok(()), Err)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), cases: 1500, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn one_value_per_revision_and_nothing_chosen_is_lost(
        half in 1..=3_u64, seed: u64, loss in 0..300_usize, duplicate in 0..200_usize,
        cut_link in 0..300_usize, crash in 0..200_usize, lose_store in 0..800_usize, refuse_accept in 0..200_usize, extra_sync_ms in 0..50_usize,
    ) {
        let faults = Faults { loss, duplicate, cut_link, crash, lose_store, refuse_accept, extra_sync_ms };
        let mut sim = run_history(half * 2 + 1, seed, faults, Guards::ALL);
        prop_assert_eq!(&sim.checker.violation, &None);
        prop_assert_eq!(check_recovered(&mut sim), Ok(()));
    }
}
