//! Thousands of random histories: what was chosen stays chosen and is seen, and afterwards things go on.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::sim::{Faults, Sim};
use crate::*;
use ottersail::time::Ms;

const KEYS: [Key; 2] = [Key::Founding, Key::Slots(3)];

/// Some seconds of faults with requests by all; then the judge's word.
pub fn history(count: u64, seed: u64, faults: Faults, guards: Guards) -> Sim {
    let mut sim = Sim::new(count, seed, faults, guards);
    for step in 0..60_u32 {
        let at = sim.members[sim.chance.below(sim.members.len())];
        let key = KEYS[sim.chance.below(2)];
        let known = sim.up.get(&at).and_then(|c| c.follower().values().get(&key)).map_or(0, |v| v.revision);
        let set = Change::Set { if_revision: known, body: step.to_le_bytes().to_vec() };
        let change = if sim.chance.below(3) == 0 { Change::Read } else { set };
        sim.submit(at, key, change);
        sim.trouble();
        if sim.judge.wrong.is_some() {
            break;
        }
    }
    sim
}

/// With all well again every register can be read and shows the newest.
pub fn settled(sim: &mut Sim) -> Result<(), String> {
    sim.faults = Faults::default();
    sim.cuts.clear();
    sim.run(Ms(3_000.0));
    let asked: Vec<_> =
        KEYS.iter().map(|key| (*key, sim.submit(sim.members[0], *key, Change::Read))).collect();
    sim.run(Ms(3_000.0));
    for (key, number) in asked {
        match sim.judge.answers.get(&(sim.members[0], number)) {
            Some((Outcome::Current(_), _)) => {}
            other => {
                let standing =
                    |(member, c): (&MemberId, &Councillor)| (*member, c.participates(), c.acceptor().view());
                let all: Vec<_> = sim.up.iter().map(standing).collect();
                return Err(format!("{key:?} read with all well: {other:?}, {all:?}"));
            }
        }
    }
    sim.judge.wrong.clone().map_or(Ok(()), Err)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), cases: 1500, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn one_value_per_revision_and_nothing_chosen_is_lost(
        half in 1..=3_u64, seed: u64, loss in 0..300_usize, double in 0..200_usize,
        cut in 0..300_usize, crash in 0..200_usize, forget in 0..800_usize, refuse in 0..200_usize, sync in 0..50_usize,
    ) {
        let faults = Faults { loss, double, cut, crash, forget, refuse, sync };
        let mut sim = history(half * 2 + 1, seed, faults, Guards::ALL);
        prop_assert_eq!(&sim.judge.wrong, &None);
        prop_assert_eq!(settled(&mut sim), Ok(()));
    }
}
