//! Long measurements for `docs/releases-evidence.md`: how often unchanged versions halt and worse ones are detected. Run
//! with `cargo test --release -p ottersail-rollout -- --ignored
//! --nocapture figures`; `PART=1/3` runs the first of three parts, `PLAYS` sets the number of trials of each
//! case, `HELD=1` holds the second step until an increase is ruled out.

use super::fleet::{Halt, Trial};
use super::plan::{Noise, Plan, NOISES, PLAN};
use std::collections::BTreeMap;

const BASES: [f64; 3] = [0.02, 0.05, 0.15];
const RATES: [f64; 2] = [1.0, 5.0];

/// Whether the case with this index belongs to the part that `PART` selects.
fn is_selected(index: usize) -> bool {
    let selection = std::env::var("PART").unwrap_or_else(|_| "1/1".into());
    let (part, parts) = selection.split_once('/').expect("PART is like 1/3");
    let (part, parts): (usize, usize) = (part.parse().expect("a number"), parts.parse().expect("a number"));
    index % parts == part - 1
}

fn trials() -> u64 {
    std::env::var("PLAYS").ok().and_then(|count| count.parse().ok()).unwrap_or(2_000)
}

#[test]
#[ignore = "minutes"]
fn figures_of_false_alarms() {
    let held = std::env::var("HELD").is_ok();
    let sizes = [60, 200, 10];
    for (index, (members, noise)) in
        sizes.into_iter().flat_map(|members| NOISES.map(|noise| (members, noise))).enumerate()
    {
        if !is_selected(index) {
            continue;
        }
        let (mut halts, mut wald, mut quasi, mut mixture) = (vec![], 0, 0, 0);
        for seed in 0..trials() {
            let (base, rate) = (BASES[seed as usize % 3], RATES[seed as usize / 3 % 2]);
            let mut trial = Trial::new(Plan { members, noise, base, rate, held, ..PLAN }, seed);
            halts.extend(trial.run().map(|halt| (base, rate, halt)));
            wald += usize::from(trial.alternatives.wald.is_some());
            quasi += usize::from(trial.alternatives.quasi.is_some());
            mixture += usize::from(trial.alternatives.mixture.is_some());
        }
        let (trials, ours) = (trials(), halts.len());
        println!("{members} {noise:?}: {ours} of {trials}; wald {wald}, quasi {quasi}, mixture {mixture}");
        let mut counts_by_case = BTreeMap::new();
        for (base, rate, halt) in halts {
            *counts_by_case
                .entry(format!("step {} {:?} at {rate}/s {base}", halt.step + 1, halt.measure))
                .or_insert(0) += 1;
        }
        println!("    {counts_by_case:?}");
    }
}

#[test]
#[ignore = "minutes"]
fn figures_of_detections() {
    let mut index = 0;
    let trials = trials().min(200);
    for members in [60, 200] {
        for (rate, base) in RATES.into_iter().flat_map(|rate| BASES.map(|base| (rate, base))) {
            for (worse, held) in [(0.05, false), (0.05, true), (0.1, false), (0.1, true), (0.2, false)] {
                for noise in [Noise::Plain, Noise::Bursts, Noise::All] {
                    index += 1;
                    if !is_selected(index) {
                        continue;
                    }
                    let plan = Plan { members, rate, base, worse, noise, held, steps: 2, ..PLAN };
                    let halts: Vec<Option<Halt>> =
                        (0..trials).map(|seed| Trial::new(plan, 1_000_000 + seed).run()).collect();
                    let mut windows: Vec<usize> = halts.iter().flatten().map(|halt| halt.windows).collect();
                    windows.sort_unstable();
                    let first = halts.iter().flatten().filter(|halt| halt.step == 0).count();
                    let (found, middle) = (windows.len(), windows.get(windows.len() / 2).copied());
                    let late = windows.get(windows.len() * 9 / 10).copied();
                    println!(
                        "{members} at {rate}/s base {base} +{worse} {noise:?} held {held}: {found} of {trials} \
                         (step one {first}), windows {middle:?} {late:?}"
                    );
                }
            }
        }
    }
}
