//! Two variants, run by run: the mean of their paired differences, and between what bounds it lies.

use crate::experiment::Outcome;
use crate::figures::Figures;

/// Means are drawn anew this often.
const DRAWS: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub pairs: usize,
    pub of_a: f64,
    pub of_b: f64,
    /// Of B less A.
    pub mean: f64,
    /// Between which 95 in 100 of the means drawn anew from the pairs lie (bootstrap, percentiles).
    pub from: f64,
    pub to: f64,
}

impl Difference {
    /// Whether it can be told from none.
    pub fn is_clear(&self) -> bool {
        self.pairs > 1 && (self.from > 0.0 || self.to < 0.0)
    }
}

/// Pairs of the same day and seed. `None` without any.
pub fn difference(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let count = pairs.len() as f64;
    let all: Vec<f64> = pairs.iter().map(|it| it.1 - it.0).collect();
    let mean = |it: &mut dyn Iterator<Item = f64>| it.sum::<f64>() / count;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut means: Vec<f64> =
        (0..DRAWS).map(|_| mean(&mut (0..all.len()).map(|_| all[rng.usize(..all.len())]))).collect();
    means.sort_by(f64::total_cmp);
    Some(Difference {
        pairs: pairs.len(),
        of_a: mean(&mut pairs.iter().map(|it| it.0)),
        of_b: mean(&mut pairs.iter().map(|it| it.1)),
        mean: mean(&mut all.iter().copied()),
        from: means[DRAWS / 40],
        to: means[DRAWS - 1 - DRAWS / 40],
    })
}

/// A figure by name, and how it is had.
pub type Measure = (&'static str, fn(&Figures) -> f64);

pub const MEASURES: &[Measure] = &[
    ("value of what was asked", Figures::value_asked),
    ("value of what was watched", Figures::value),
    ("blocked, in 100", |it| 100.0 * it.blocked as f64 / it.asked.max(1) as f64),
    ("aborted, in 100", |it| 100.0 * it.aborted as f64 / it.asked.max(1) as f64),
    ("cold set-ups, of 100 allowed", |it| 100.0 * it.cold_set_ups as f64 / it.cold_allowed.max(1.0)),
    ("cold servers that fell", |it| it.fell as f64),
    ("short delivery, in 100", |it| 100.0 * it.short as f64 / it.sampled.max(1) as f64),
    ("stalled, s a viewing", |it| it.stalled_ms / 1e3 / it.played.max(1) as f64),
    ("steps a viewing", |it| (it.steps_up + it.steps_down) as f64 / it.played.max(1) as f64),
    ("start, ms", |it| it.start_ms / it.played.max(1) as f64),
];

/// Every figure of two variants.
pub fn compare(all: &[Outcome], a: &str, b: &str) -> Vec<(&'static str, Option<Difference>)> {
    let of = |name: &str| all.iter().filter(move |it| it.variant == name).collect::<Vec<_>>();
    let others = of(b);
    let pairs: Vec<(&Outcome, &Outcome)> = of(a)
        .into_iter()
        .filter_map(|it| {
            let same = others.iter().find(|other| (&other.day, other.seed) == (&it.day, it.seed))?;
            Some((it, *same))
        })
        .collect();
    let each = MEASURES.iter().map(|(name, of)| {
        let pairs: Vec<(f64, f64)> = pairs.iter().map(|it| (of(&it.0.figures), of(&it.1.figures))).collect();
        (*name, difference(&pairs))
    });
    each.collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[(1.0, 1.5), (2.0, 2.4), (0.5, 1.1), (3.0, 3.5)] => true; "each pair says the same")]
    #[test_case(&[(1.0, 1.5), (2.0, 1.4), (0.5, 1.1), (3.0, 2.5)] => false; "they say this and that")]
    #[test_case(&[(1.0, 5.0)] => false; "one pair tells nothing")]
    fn told_from_noise(pairs: &[(f64, f64)]) -> bool {
        difference(pairs).unwrap().is_clear()
    }

    #[test]
    fn the_mean_lies_between_its_bounds() {
        let it = difference(&[(0.0, 1.0), (0.0, 2.0), (0.0, 6.0)]).unwrap();
        assert_eq!((it.pairs, it.of_a, it.of_b, it.mean), (3, 0.0, 3.0, 3.0));
        assert!(it.from >= 1.0 && it.from < 3.0 && it.to > 3.0 && it.to <= 6.0, "{it:?}");
        assert_eq!(difference(&[]), None);
    }
}
