mod figures;
mod fleet;
mod others;
mod plan;

use super::*;
use fleet::{Halt, Play, HALTS};
use plan::{Lie, Noise, Plan, NOISES, PLAN};
use test_case::test_case;

fn halts(plan: Plan, plays: u64) -> Vec<Option<Halt>> {
    (0..plays).map(|seed| Play::new(plan, 7_000 + seed).run()).collect()
}

/// Of a play: until the version's evidence is in, or two steps are through.
fn found(plan: Plan, plays: u64) -> usize {
    halts(Plan { steps: 2, ..plan }, plays).iter().flatten().count()
}

#[test]
fn noise_does_not_halt() {
    let plays = NOISES.map(|noise| Plan { noise, base: 0.02, ..PLAN });
    let false_alarms: Vec<_> = plays.into_iter().flat_map(|plan| halts(plan, 8)).flatten().collect();
    assert!(false_alarms.len() <= 1, "{false_alarms:?} of 56");
}

/// Without a part of the mean over those not released, these are where the mixture alone halts.
#[test]
fn rare_bursts_do_not_halt() {
    let plan = Plan { rate: 1.0, base: 0.02, ..PLAN };
    let plays = [Noise::Bursts, Noise::All].map(|noise| Plan { noise, ..plan });
    let halts =
        plays.into_iter().flat_map(|it| (0..10).filter_map(move |seed| Play::new(it, 6 * seed).run()));
    let halts: Vec<Halt> = halts.collect();
    assert!(halts.len() <= 1, "{halts:?} of 20");
}

#[test_case(0.05, 0.02, Noise::Plain, true; "five points, where the second step is held")]
#[test_case(0.05, 0.05, Noise::Plain, true; "five points of five")]
#[test_case(0.1, 0.05, Noise::Bursts, true; "ten points in bursts, where it is held")]
#[test_case(0.1, 0.02, Noise::Plain, false; "ten points")]
#[test_case(0.2, 0.05, Noise::Bursts, false; "twenty points in bursts")]
fn a_worse_version_is_found_in_two_steps(worse: f64, base: f64, noise: Noise, held: bool) {
    let found = found(Plan { worse, base, noise, held, ..PLAN }, 10);
    assert!(found >= 9, "{found} of 10");
}

#[test]
fn one_that_works_for_ten_seconds_is_found() {
    let found = found(Plan { worse: 0.2, after: 5, held: true, noise: Noise::Bursts, ..PLAN }, 10);
    assert!(found >= 9, "{found} of 10");
}

#[test]
fn set_ups_twice_as_long_are_found() {
    let halts = halts(Plan { slower: 2.0, steps: 2, ..PLAN }, 10);
    let slow = halts.iter().flatten().filter(|it| it.what == Measure::SetUpTime).count();
    assert!(slow >= 9, "{slow} of 10");
}

#[test_case(1, Lie::AllBad; "one that tells no end of bad ends")]
#[test_case(1, Lie::AllGood; "one that tells no end of good ones")]
#[test_case(1, Lie::Worse; "one that blocks three in ten")]
#[test_case(3, Lie::AllBad; "three that tell no end of bad ends")]
fn liars_not_released_neither_hide_nor_halt(liars: usize, lie: Lie) {
    let plan = Plan { liars, lie, steps: 3, ..PLAN };
    assert_eq!(halts(plan, 10).iter().flatten().count(), 0);
    let found = found(Plan { worse: 0.1, held: true, ..plan }, 10);
    assert!(found >= 9, "{found} of 10");
}

fn part_way(seed: u64) -> Play {
    let mut play = Play::new(Plan { steps: 2, base: 0.05, ..PLAN }, seed);
    assert_eq!(play.run(), None);
    assert!(play.evidence.summary().released.asked > 0.0);
    play
}

#[test]
fn windows_without_viewings_and_vanished_members_move_nothing() {
    let Play { evidence, .. } = &mut part_way(1);
    let before = evidence.summary();
    for _ in 0..50 {
        assert_eq!(evidence.add_window(&BTreeMap::new()), None);
    }
    assert_eq!(evidence.summary(), before);
}

#[test]
fn the_same_counts_again_move_nothing() {
    let mut play = part_way(2);
    let (before, told) = (play.evidence.summary(), play.told());
    for _ in 0..50 {
        assert_eq!(play.evidence.add_window(&told), None);
    }
    assert_eq!(play.evidence.summary(), before);
}

#[test_case(true; "those released")]
#[test_case(false; "those not released")]
fn a_new_life_or_counters_that_go_back_count_from_there(released: bool) {
    let mut play = part_way(3);
    let (before, mut told) = (play.evidence.summary(), play.told());
    for (at, it) in told.values_mut().filter(|it| it.released == released).enumerate() {
        it.instance = if at % 2 == 0 { InstanceId(77) } else { it.instance };
        let bad = if at % 2 == 0 { 900_000 } else { 1 };
        it.counts = ViewingCounts { asked: bad, blocked: bad, ..ViewingCounts::default() };
    }
    assert_eq!(play.evidence.add_window(&told), None);
    assert_eq!(play.evidence.summary(), before);
}

#[test]
fn what_breaks_off_while_nothing_is_asked_counts_later() {
    let mut play = part_way(4);
    let (before, mut told) = (play.evidence.summary(), play.told());
    let mut broken = |told: &mut BTreeMap<MemberId, MemberSample>, asked: u64| {
        for it in told.values_mut() {
            it.counts.asked += asked;
            it.counts.broken_off += 1 - asked.min(1);
        }
        play.evidence.add_window(told);
        play.evidence.summary()
    };
    assert_eq!(broken(&mut told, 0), before);
    let after = broken(&mut told, 10);
    assert_eq!(after.released.bad, before.released.bad + before.released.members as f64);
}

#[test]
fn without_halts_it_only_tells() {
    let mut play = Play::new(Plan { worse: 0.3, steps: 2, ..PLAN }, 5);
    play.evidence = Evidence::new(HaltPolicy { by_evidence: false, ..HALTS });
    assert_eq!(play.run(), None);
    let told = play.evidence.summary();
    assert!(told.bad_ends > told.halts_at, "{told:?}");
}

#[test]
fn it_can_begin_in_the_middle_of_a_release() {
    let mut told = part_way(6).told();
    let mut evidence = Evidence::new(HALTS);
    for _ in 0..30 {
        for it in told.values_mut() {
            it.counts.asked += 10;
            it.counts.blocked += if it.released { 5 } else { 1 };
        }
        evidence.add_window(&told);
    }
    let told = evidence.summary();
    assert!(told.bad_ends > told.halts_at, "{told:?}");
}
