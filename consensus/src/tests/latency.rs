//! How long agreement takes, in simulated time.

use ottersail::time::Ms;
use test_case::test_case;

use super::faults::Faults;
use super::simulation::Simulation;
use crate::*;

/// The slowest of 40 changes, one a second.
fn slowest(sim: &mut Simulation) -> Ms {
    let mut slowest = Ms(0.0);
    for number in 0..40_u64 {
        let members: Vec<MemberId> = sim.up.keys().copied().collect();
        let at = members[number as usize % members.len()];
        let change = Change::Set { if_revision: number, body: number.to_le_bytes().to_vec() };
        let (request, began) = (sim.submit(at, Key::Founding, change), sim.now);
        sim.run(Ms(6_500.0));
        let (outcome, ended) = sim.checker.answers[&(at, request)].clone();
        assert!(matches!(&outcome, Outcome::Chosen(value) if value.revision == number + 1), "{outcome:?}");
        slowest = slowest.max(ended - began);
    }
    slowest
}

#[test_case(3, 0, false, 1_000.0)]
#[test_case(5, 0, false, 1_000.0)]
#[test_case(7, 0, false, 1_000.0)]
#[test_case(3, 1, false, 3_000.0; "one of 3 dead, known")]
#[test_case(5, 2, false, 3_000.0; "two of 5 dead, known")]
#[test_case(7, 3, false, 3_000.0; "three of 7 dead, known")]
#[test_case(3, 1, true, 3_000.0; "one of 3 dead, not yet known")]
#[test_case(5, 2, true, 3_000.0; "two of 5 dead, not yet known")]
#[test_case(7, 3, true, 3_000.0; "three of 7 dead, not yet known")]
fn changes_are_agreed_within_the_bound(count: u64, dead: u64, unknown: bool, bound_ms: f64) {
    let mut sim = Simulation::new(count, 1, Faults::default(), Guards::ALL);
    let all = sim.up.keys().copied().collect();
    (1..=dead).for_each(|member| sim.crash(MemberId(member)));
    if unknown {
        sim.up.values_mut().for_each(|councillor| councillor.set_living(&all));
    }
    let slowest = slowest(&mut sim);
    println!("{count} councillors, {dead} dead, unknown {unknown}: slowest of 40 {:.0} ms", slowest.0);
    assert!(slowest < Ms(bound_ms), "{slowest:?}");
}

#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn without_a_majority_nothing_is_chosen_until_it_returns(count: u64) {
    let mut sim = Simulation::new(count, 1, Faults::default(), Guards::ALL);
    (1..=count / 2 + 1).for_each(|member| sim.crash(MemberId(member)));
    let last = MemberId(count);
    let set = |if_revision| Change::Set { if_revision, body: vec![7] };
    let number = sim.submit(last, Key::Founding, set(0));
    sim.run(Ms(20_000.0));
    assert_eq!(sim.checker.answers[&(last, number)].0, Outcome::Unanswered);
    assert!(sim.checker.chosen.is_empty());
    sim.start(MemberId(1));
    let number = sim.submit(last, Key::Founding, Change::Set { if_revision: 0, body: vec![8] });
    sim.run(Ms(3_000.0));
    assert!(matches!(&sim.checker.answers[&(last, number)].0, Outcome::Chosen(_)));
}

#[test]
fn preferred_proposer_keeps_competing_rounds_rare() {
    let mut sim = Simulation::new(5, 1, Faults::default(), Guards::ALL);
    for number in 0..50 {
        for member in sim.members.clone() {
            sim.submit(member, Key::Founding, Change::Set { if_revision: number, body: vec![1] });
        }
        sim.run(Ms(1_000.0));
    }
    let rounds = sim.up[&MemberId(1)].acceptor().stored().registers[&Key::Founding].promised.number;
    assert_eq!(sim.checker.newest(Key::Founding), 50);
    assert!(sim.checker.answers.len() == 250, "{}", sim.checker.answers.len());
    println!("250 requests of 5 members took {rounds} rounds");
    assert!(rounds <= 275, "{rounds}");
}
