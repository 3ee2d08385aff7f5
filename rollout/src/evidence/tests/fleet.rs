//! Simulates the release of a version to a fleet, in windows of 2 s, with the noise that managers show in practice.

use super::plan::{FalseReport, Noise, Plan};
use crate::evidence::{Evidence, Measure, MemberSample};
use crate::order::HaltPolicy;
use crate::status::ViewingCounts;
use crate::{InstanceId, MemberId};
use fastrand::Rng;
use std::collections::BTreeMap;

pub const HALTS: HaltPolicy = HaltPolicy { by_evidence: true, alarms: 100, points: 5 };
const WINDOW_S: f64 = 2.0;
/// Windows for which a released member is out (10 s).
const OUT: usize = 5;
/// Windows until a returned member has settled, and for which a completed step is observed (20 s).
const SETTLES: usize = 10;
/// Maximum number of windows for which a step waits for the evidence (10 min).
const MAX_HOLD_WINDOWS: usize = 300;
const ZONES: usize = 3;

struct Member {
    instance: u64,
    counts: ViewingCounts,
    /// Permanent factor of its rate of bad ends.
    rate_factor: f64,
    /// Logarithm of the drifting factor of that rate.
    log_drift: f64,
    /// Permanent factor of its set-up time.
    set_up_factor: f64,
    /// Bad ends of a cluster that exceeded the viewings of the window; they count in the next one.
    carried_over: u64,
    /// Windows since it settled in the ordered version; negative until then; `None` before its release.
    released: Option<isize>,
}

/// A halt by the evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Halt {
    /// Index of the step during which the release halted.
    pub step: usize,
    /// Number of windows in which a released member was counted.
    pub windows: usize,
    /// The measure that halted the release.
    pub measure: Measure,
}

/// One simulated release.
pub struct Trial {
    plan: Plan,
    rng: Rng,
    fleet: Vec<Member>,
    pub evidence: Evidence,
    false_reporters: Vec<usize>,
    /// Windows in which a fault outside the version affects members.
    fault_windows: std::ops::Range<usize>,
    window: usize,
    /// Windows in which a released member was counted.
    windows_with_released: usize,
    pub halt: Option<Halt>,
    /// What alternative tests detect on the same counts.
    pub alternatives: super::alternatives::Detections,
}

fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

fn poisson(rng: &mut Rng, mean: f64) -> u64 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.f64(), 0);
    while product > limit {
        product *= rng.f64();
        count += 1;
    }
    count
}

impl Trial {
    pub fn new(plan: Plan, seed: u64) -> Trial {
        let mut rng = Rng::with_seed(seed);
        let fault_start = 25 + rng.usize(0..60);
        let fleet = (0..plan.members).map(|_| Member {
            instance: 1,
            counts: ViewingCounts::default(),
            rate_factor: if plan.noise.has(Noise::Differ) {
                (0.5 * normal(&mut rng) - 0.125).exp()
            } else {
                1.0
            },
            log_drift: 0.5 * normal(&mut rng),
            set_up_factor: (0.3 * normal(&mut rng)).exp(),
            carried_over: 0,
            released: None,
        });
        let fleet = fleet.collect();
        let evidence = Evidence::new(HALTS);
        let fault_windows = fault_start..fault_start + 10;
        let alternatives = Default::default();
        Trial {
            plan,
            rng,
            fleet,
            evidence,
            false_reporters: vec![],
            fault_windows,
            window: 0,
            windows_with_released: 0,
            halt: None,
            alternatives,
        }
    }

    /// Runs 3 minutes before the release, then its steps, until the evidence halts it.
    pub fn run(&mut self) -> Option<Halt> {
        for _ in 0..90 {
            (0..self.fleet.len()).for_each(|index| self.simulate_window(index, false));
        }
        self.observe(0, 10);
        let mut order: Vec<usize> = (0..self.fleet.len()).collect();
        self.rng.shuffle(&mut order);
        let all = self.fleet.len();
        self.false_reporters = order[all - self.plan.false_reporters..].to_vec();
        let mut released = 0;
        for (step, until) in [1, all.div_ceil(20), all.div_ceil(4), all].into_iter().enumerate() {
            if step == self.plan.steps {
                break;
            }
            while released < until && self.halt.is_none() {
                let batch = (until - released).min(all.div_ceil(20));
                for &index in &order[released..released + batch] {
                    let member = &mut self.fleet[index];
                    (member.instance, member.counts) = (member.instance + 1, ViewingCounts::default());
                    member.released = Some(-((OUT + SETTLES) as isize));
                }
                released += batch;
                self.observe(step, OUT + SETTLES);
            }
            self.observe(step, SETTLES);
            // One member alone proves little when members differ: the first step is not held.
            for _ in 0..MAX_HOLD_WINDOWS {
                if !self.plan.held || step != 1 || self.evidence.summary().cleared {
                    break;
                }
                self.observe(step, 1);
            }
        }
        self.halt
    }

    /// Simulates windows during a step and evaluates the evidence after each.
    fn observe(&mut self, step: usize, windows: usize) {
        for _ in 0..windows {
            if self.halt.is_some() {
                return;
            }
            self.window += 1;
            (0..self.fleet.len()).for_each(|index| self.simulate_window(index, true));
            let samples = self.samples();
            self.windows_with_released += usize::from(samples.values().any(|sample| sample.released));
            let verdict = self.evidence.add_window(&samples);
            self.alternatives.update(&self.evidence, step);
            self.halt = verdict.map(|verdict| Halt {
                step,
                windows: self.windows_with_released,
                measure: verdict.measure,
            });
        }
    }

    /// The latest samples of all ready members.
    pub fn samples(&self) -> BTreeMap<MemberId, MemberSample> {
        let members = self.fleet.iter().enumerate();
        let settled = members.filter(|(_, member)| member.released.is_none_or(|windows| windows >= 0));
        let samples = settled.map(|(index, member)| {
            let (released, instance) = (member.released.is_some(), InstanceId(member.instance));
            let counts = if self.false_reporters.contains(&index) {
                self.false_report(member.counts)
            } else {
                member.counts
            };
            (MemberId(index as u64), MemberSample { instance, released, counts })
        });
        samples.collect()
    }

    fn false_report(&self, counts: ViewingCounts) -> ViewingCounts {
        let many = self.window as u64 * 1_000_000_000_000;
        let none = ViewingCounts { asked: many, set_ups: many, ..ViewingCounts::default() };
        match self.plan.false_report {
            FalseReport::AllBad => {
                ViewingCounts { blocked: many, broken_off: u64::MAX, set_up_ms: u64::MAX, ..none }
            }
            FalseReport::AllGood => ViewingCounts { set_up_ms: many * 200, ..none },
            FalseReport::Worse => ViewingCounts { blocked: counts.blocked + counts.asked * 3 / 10, ..counts },
        }
    }

    fn simulate_window(&mut self, index: usize, ordered: bool) {
        let (plan, rng) = (self.plan, &mut self.rng);
        let member = &mut self.fleet[index];
        let bursts = plan.noise.has(Noise::Bursts);
        let mut rate = plan.base * member.rate_factor;
        if plan.noise.has(Noise::Wander) {
            member.log_drift = 0.93 * member.log_drift + 0.5 * (1.0 - 0.93f64.powi(2)).sqrt() * normal(rng);
            rate *= (member.log_drift - 0.125).exp();
        }
        if ordered && self.fault_windows.contains(&self.window) {
            rate += if plan.noise.has(Noise::Lost) { 0.2 } else { 0.0 };
            rate += if plan.noise.has(Noise::LostZone) && index.is_multiple_of(ZONES) { 0.3 } else { 0.0 };
        }
        let mut slower = member.set_up_factor;
        if let Some(since) = member.released.as_mut() {
            *since += 1;
            match *since {
                // The member is out, and after its return uncertain about its servers.
                windows if windows <= -(SETTLES as isize) => return,
                windows if windows < 0 => rate += 0.3,
                windows if windows >= plan.after as isize => {
                    rate += plan.worse;
                    slower *= plan.slower;
                }
                _ => {}
            }
        }
        let burst_factor = if bursts && rng.f64() < 0.2 { 3.0 } else { 1.0 };
        let asked = poisson(rng, plan.rate * WINDOW_S * burst_factor / if bursts { 1.4 } else { 1.0 });
        let cluster_size = if bursts { 3.0 } else { 1.0 };
        let clusters = poisson(rng, rate.min(0.9) * asked as f64 / cluster_size);
        let mut bad = std::mem::take(&mut member.carried_over);
        for _ in 0..clusters {
            bad += 1;
            while bursts && rng.f64() < 1.0 - 1.0 / cluster_size {
                bad += 1;
            }
        }
        member.carried_over = bad.saturating_sub(asked).min(20);
        let bad = bad.min(asked);
        let blocked = bad - bad / 4;
        member.counts.asked += asked;
        member.counts.blocked += blocked;
        member.counts.broken_off += bad / 4;
        let set_ups = asked - blocked;
        if set_ups > 0 {
            // Approximates the mean of `set_ups` log-normal times.
            let mean = (0.8 / (set_ups as f64).sqrt() * normal(rng)).exp();
            member.counts.set_ups += set_ups;
            member.counts.set_up_ms += (200.0 * slower * mean * set_ups as f64) as u64;
        }
    }
}
