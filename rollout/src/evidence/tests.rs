//! Tests of the evidence on simulated releases: false alarms, detection of worse versions, and false reports.

mod alternatives;
mod figures;
mod fleet;
mod plan;

use super::*;
use fleet::{Halt, Trial, HALTS};
use plan::{FalseReport, Noise, Plan, NOISES, PLAN};
use test_case::test_case;

fn halts(plan: Plan, trials: u64) -> Vec<Option<Halt>> {
    (0..trials).map(|seed| Trial::new(plan, 7_000 + seed).run()).collect()
}

/// The number of trials that halt within the first two steps.
fn detections(plan: Plan, trials: u64) -> usize {
    halts(Plan { steps: 2, ..plan }, trials).iter().flatten().count()
}

#[test]
fn noise_does_not_halt() {
    let trials = NOISES.map(|noise| Plan { noise, base: 0.02, ..PLAN });
    let false_alarms: Vec<_> = trials.into_iter().flat_map(|plan| halts(plan, 8)).flatten().collect();
    assert!(false_alarms.len() <= 1, "{false_alarms:?} of 56");
}

/// With few viewings and clustered bad ends, the mixture of likelihood ratios alone would halt; the division by the mean
/// over the members not released prevents this.
#[test]
fn rare_bursts_do_not_halt() {
    let plan = Plan { rate: 1.0, base: 0.02, ..PLAN };
    let trials = [Noise::Bursts, Noise::All].map(|noise| Plan { noise, ..plan });
    let halts =
        trials.into_iter().flat_map(|plan| (0..10).filter_map(move |seed| Trial::new(plan, 6 * seed).run()));
    let halts: Vec<Halt> = halts.collect();
    assert!(halts.len() <= 1, "{halts:?} of 20");
}

#[test_case(0.05, 0.02, Noise::Plain, true; "five points, where the second step is held")]
#[test_case(0.05, 0.05, Noise::Plain, true; "five points of five")]
#[test_case(0.1, 0.05, Noise::Bursts, true; "ten points in bursts, where the second step is held")]
#[test_case(0.1, 0.02, Noise::Plain, false; "ten points")]
#[test_case(0.2, 0.05, Noise::Bursts, false; "twenty points in bursts")]
fn worse_version_is_detected_within_two_steps(worse: f64, base: f64, noise: Noise, held: bool) {
    let found = detections(Plan { worse, base, noise, held, ..PLAN }, 10);
    assert!(found >= 9, "{found} of 10");
}

#[test]
fn version_that_fails_only_after_ten_seconds_is_detected() {
    let found = detections(Plan { worse: 0.2, after: 5, held: true, noise: Noise::Bursts, ..PLAN }, 10);
    assert!(found >= 9, "{found} of 10");
}

#[test]
fn set_ups_twice_as_long_are_detected() {
    let halts = halts(Plan { slower: 2.0, steps: 2, ..PLAN }, 10);
    let slow = halts.iter().flatten().filter(|halt| halt.measure == Measure::SetUpTime).count();
    assert!(slow >= 9, "{slow} of 10");
}

#[test_case(1, FalseReport::AllBad; "one that reports absurdly many bad ends")]
#[test_case(1, FalseReport::AllGood; "one that reports absurdly many good ends")]
#[test_case(1, FalseReport::Worse; "one that blocks three in ten more")]
#[test_case(3, FalseReport::AllBad; "three that report absurdly many bad ends")]
fn unreleased_members_with_false_counts_neither_hide_a_fault_nor_halt(
    false_reporters: usize,
    false_report: FalseReport,
) {
    let plan = Plan { false_reporters, false_report, steps: 3, ..PLAN };
    assert_eq!(halts(plan, 10).iter().flatten().count(), 0);
    let found = detections(Plan { worse: 0.1, held: true, ..plan }, 10);
    assert!(found >= 9, "{found} of 10");
}

fn halfway_trial(seed: u64) -> Trial {
    let mut trial = Trial::new(Plan { steps: 2, base: 0.05, ..PLAN }, seed);
    assert_eq!(trial.run(), None);
    assert!(trial.evidence.summary().released.asked > 0.0);
    trial
}

#[test]
fn windows_without_samples_leave_the_evidence_unchanged() {
    let Trial { evidence, .. } = &mut halfway_trial(1);
    let before = evidence.summary();
    for _ in 0..50 {
        assert_eq!(evidence.add_window(&BTreeMap::new()), None);
    }
    assert_eq!(evidence.summary(), before);
}

#[test]
fn repeated_counts_leave_the_evidence_unchanged() {
    let mut trial = halfway_trial(2);
    let (before, samples) = (trial.evidence.summary(), trial.samples());
    for _ in 0..50 {
        assert_eq!(trial.evidence.add_window(&samples), None);
    }
    assert_eq!(trial.evidence.summary(), before);
}

#[test_case(true; "those released")]
#[test_case(false; "those not released")]
fn new_instances_and_decreased_counters_count_from_their_first_sample(released: bool) {
    let mut trial = halfway_trial(3);
    let (before, mut samples) = (trial.evidence.summary(), trial.samples());
    for (index, sample) in samples.values_mut().filter(|sample| sample.released == released).enumerate() {
        sample.instance = if index % 2 == 0 { InstanceId(77) } else { sample.instance };
        let bad = if index % 2 == 0 { 900_000 } else { 1 };
        sample.counts = ViewingCounts { asked: bad, blocked: bad, ..ViewingCounts::default() };
    }
    assert_eq!(trial.evidence.add_window(&samples), None);
    assert_eq!(trial.evidence.summary(), before);
}

#[test]
fn viewings_broken_off_in_windows_without_requests_count_later() {
    let mut trial = halfway_trial(4);
    let (before, mut samples) = (trial.evidence.summary(), trial.samples());
    let mut broken = |samples: &mut BTreeMap<MemberId, MemberSample>, asked: u64| {
        for sample in samples.values_mut() {
            sample.counts.asked += asked;
            sample.counts.broken_off += 1 - asked.min(1);
        }
        trial.evidence.add_window(samples);
        trial.evidence.summary()
    };
    assert_eq!(broken(&mut samples, 0), before);
    let after = broken(&mut samples, 10);
    assert_eq!(after.released.bad, before.released.bad + before.released.members as f64);
}

#[test]
fn evidence_is_reported_but_does_not_halt_if_the_policy_excludes_it() {
    let mut trial = Trial::new(Plan { worse: 0.3, steps: 2, ..PLAN }, 5);
    trial.evidence = Evidence::new(HaltPolicy { by_evidence: false, ..HALTS });
    assert_eq!(trial.run(), None);
    let summary = trial.evidence.summary();
    assert!(summary.bad_ends > summary.halts_at, "{summary:?}");
}

#[test]
fn evidence_can_begin_in_the_middle_of_a_release() {
    let mut samples = halfway_trial(6).samples();
    let mut evidence = Evidence::new(HALTS);
    for _ in 0..30 {
        for sample in samples.values_mut() {
            sample.counts.asked += 10;
            sample.counts.blocked += if sample.released { 5 } else { 1 };
        }
        evidence.add_window(&samples);
    }
    let summary = evidence.summary();
    assert!(summary.bad_ends > summary.halts_at, "{summary:?}");
}
