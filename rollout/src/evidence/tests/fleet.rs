//! A fleet that is released, simulated: windows of 2 s, members with noise as managers have it.

use super::plan::{Lie, Noise, Plan};
use crate::evidence::{Evidence, Measure, MemberSample};
use crate::order::HaltPolicy;
use crate::status::ViewingCounts;
use crate::{InstanceId, MemberId};
use fastrand::Rng;
use std::collections::BTreeMap;

pub const HALTS: HaltPolicy = HaltPolicy { by_evidence: true, alarms: 100, points: 5 };
const WINDOW_S: f64 = 2.0;
/// Ten seconds out, twenty until it is settled; a step stands for twenty.
const OUT: usize = 5;
const SETTLES: usize = 10;
/// A step that waits for the evidence does so for ten minutes at most.
const LONGEST: usize = 300;
const ZONES: usize = 3;

struct Member {
    life: u64,
    counts: ViewingCounts,
    /// Of its rate, for good.
    differs: f64,
    wanders: f64,
    slow: f64,
    /// Bad ends of a clump that no viewing was there for.
    left: u64,
    /// Windows since it was settled in the version ordered, or until then (negative).
    released: Option<isize>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Halt {
    pub step: usize,
    /// Windows since the first released one counted.
    pub windows: usize,
    pub what: Measure,
}

pub struct Play {
    plan: Plan,
    rng: Rng,
    fleet: Vec<Member>,
    pub evidence: Evidence,
    liars: Vec<usize>,
    lost: std::ops::Range<usize>,
    now: usize,
    seen: usize,
    pub halt: Option<Halt>,
    /// What other tests say of the same figures, and whether they ever called.
    pub others: super::others::Calls,
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

impl Play {
    pub fn new(plan: Plan, seed: u64) -> Play {
        let mut rng = Rng::with_seed(seed);
        let lost = 25 + rng.usize(0..60);
        let fleet = (0..plan.members).map(|_| Member {
            life: 1,
            counts: ViewingCounts::default(),
            differs: if plan.noise.has(Noise::Differ) { (0.5 * normal(&mut rng) - 0.125).exp() } else { 1.0 },
            wanders: 0.5 * normal(&mut rng),
            slow: (0.3 * normal(&mut rng)).exp(),
            left: 0,
            released: None,
        });
        let fleet = fleet.collect();
        let evidence = Evidence::new(HALTS);
        let lost = lost..lost + 10;
        let others = Default::default();
        Play { plan, rng, fleet, evidence, liars: vec![], lost, now: 0, seen: 0, halt: None, others }
    }

    /// Three minutes before, then the steps, until it halts.
    pub fn run(&mut self) -> Option<Halt> {
        for _ in 0..90 {
            (0..self.fleet.len()).for_each(|at| self.live(at, false));
        }
        self.stand(0, 10);
        let mut order: Vec<usize> = (0..self.fleet.len()).collect();
        self.rng.shuffle(&mut order);
        let all = self.fleet.len();
        self.liars = order[all - self.plan.liars..].to_vec();
        let mut through = 0;
        for (step, until) in [1, all.div_ceil(20), all.div_ceil(4), all].into_iter().enumerate() {
            if step == self.plan.steps {
                break;
            }
            while through < until && self.halt.is_none() {
                let batch = (until - through).min(all.div_ceil(20));
                for &at in &order[through..through + batch] {
                    let member = &mut self.fleet[at];
                    (member.life, member.counts) = (member.life + 1, ViewingCounts::default());
                    member.released = Some(-((OUT + SETTLES) as isize));
                }
                through += batch;
                self.stand(step, OUT + SETTLES);
            }
            self.stand(step, SETTLES);
            // One member alone proves little when members differ: the first step is not held.
            for _ in 0..LONGEST {
                if !self.plan.held || step != 1 || self.evidence.summary().cleared {
                    break;
                }
                self.stand(step, 1);
            }
        }
        self.halt
    }

    fn stand(&mut self, step: usize, windows: usize) {
        for _ in 0..windows {
            if self.halt.is_some() {
                return;
            }
            self.now += 1;
            (0..self.fleet.len()).for_each(|at| self.live(at, true));
            let told = self.told();
            self.seen += usize::from(told.values().any(|it| it.released));
            let verdict = self.evidence.add_window(&told);
            self.others.look(&self.evidence, step);
            self.halt = verdict.map(|it| Halt { step, windows: self.seen, what: it.measure });
        }
    }

    pub fn told(&self) -> BTreeMap<MemberId, MemberSample> {
        let whole = self.fleet.iter().enumerate().filter(|it| it.1.released.is_none_or(|at| at >= 0));
        let told = whole.map(|(at, it)| {
            let (released, instance) = (it.released.is_some(), InstanceId(it.life));
            let counts = if self.liars.contains(&at) { self.lie(it.counts) } else { it.counts };
            (MemberId(at as u64), MemberSample { instance, released, counts })
        });
        told.collect()
    }

    fn lie(&self, counts: ViewingCounts) -> ViewingCounts {
        let many = self.now as u64 * 1_000_000_000_000;
        let none = ViewingCounts { asked: many, set_ups: many, ..ViewingCounts::default() };
        match self.plan.lie {
            Lie::AllBad => ViewingCounts { blocked: many, broken_off: u64::MAX, set_up_ms: u64::MAX, ..none },
            Lie::AllGood => ViewingCounts { set_up_ms: many * 200, ..none },
            Lie::Worse => ViewingCounts { blocked: counts.blocked + counts.asked * 3 / 10, ..counts },
        }
    }

    fn live(&mut self, at: usize, ordered: bool) {
        let (plan, rng) = (self.plan, &mut self.rng);
        let member = &mut self.fleet[at];
        let bursts = plan.noise.has(Noise::Bursts);
        let mut rate = plan.base * member.differs;
        if plan.noise.has(Noise::Wander) {
            member.wanders = 0.93 * member.wanders + 0.5 * (1.0 - 0.93f64.powi(2)).sqrt() * normal(rng);
            rate *= (member.wanders - 0.125).exp();
        }
        if ordered && self.lost.contains(&self.now) {
            rate += if plan.noise.has(Noise::Lost) { 0.2 } else { 0.0 };
            rate += if plan.noise.has(Noise::LostZone) && at.is_multiple_of(ZONES) { 0.3 } else { 0.0 };
        }
        let mut slower = member.slow;
        if let Some(since) = member.released.as_mut() {
            *since += 1;
            match *since {
                // Out, then in doubt of its servers.
                it if it <= -(SETTLES as isize) => return,
                it if it < 0 => rate += 0.3,
                it if it >= plan.after as isize => {
                    rate += plan.worse;
                    slower *= plan.slower;
                }
                _ => {}
            }
        }
        let gust = if bursts && rng.f64() < 0.2 { 3.0 } else { 1.0 };
        let asked = poisson(rng, plan.rate * WINDOW_S * gust / if bursts { 1.4 } else { 1.0 });
        let size = if bursts { 3.0 } else { 1.0 };
        let clumps = poisson(rng, rate.min(0.9) * asked as f64 / size);
        let mut bad = std::mem::take(&mut member.left);
        for _ in 0..clumps {
            bad += 1;
            while bursts && rng.f64() < 1.0 - 1.0 / size {
                bad += 1;
            }
        }
        member.left = bad.saturating_sub(asked).min(20);
        let bad = bad.min(asked);
        let blocked = bad - bad / 4;
        member.counts.asked += asked;
        member.counts.blocked += blocked;
        member.counts.broken_off += bad / 4;
        let set_ups = asked - blocked;
        if set_ups > 0 {
            // The mean of so many log-normal ones, near enough.
            let mean = (0.8 / (set_ups as f64).sqrt() * normal(rng)).exp();
            member.counts.set_ups += set_ups;
            member.counts.set_up_ms += (200.0 * slower * mean * set_ups as f64) as u64;
        }
    }
}
