//! When servers ran and got set-ups, and how far that is from what chance alone would give.

use crate::spread::figures::{Swing, AFTER};

/// A server that got nothing for so many of its mean gaps is idle; chance alone leaves e^-3, 5 in 100, so
/// long.
const IDLE: f64 = 3.0;

/// Servers that got fewer set-ups have no gap to speak of.
const FEW: usize = 5;

/// From when until when a server ran, and when it got set-ups.
pub(super) struct Run {
    pub from: f64,
    pub until: f64,
    pub got: Vec<f64>,
}

impl Run {
    fn rate(&self) -> f64 {
        self.got.len() as f64 / (self.until - self.from).max(1.0)
    }

    fn count(&self, (from, until): (f64, f64)) -> f64 {
        (self.got.partition_point(|at| *at < until) - self.got.partition_point(|at| *at < from)) as f64
    }

    fn ran(&self, (from, until): (f64, f64)) -> bool {
        self.from <= from && until <= self.until
    }
}

pub(super) fn swing(runs: &[Run], windows: &[(f64, f64)], window: f64) -> Option<Swing> {
    if windows.len() < 2 {
        return None;
    }
    let (herd, largest) = herd(runs, windows)?;
    // The usual parts are taken from the same windows: one of them is not free.
    let free = windows.len() as f64 / (windows.len() as f64 - 1.0);
    Some(Swing { window, herd: herd * free, largest })
}

/// The herd index over some windows, and the largest count over the mean.
pub(super) fn herd(runs: &[Run], windows: &[(f64, f64)]) -> Option<(f64, f64)> {
    let (mut seen, mut chance, mut largest, mut counted) = (0.0, 0.0, 0.0, 0.0);
    for window in windows {
        let there: Vec<&Run> = runs.iter().filter(|it| it.ran(*window)).collect();
        let counts: Vec<f64> = there.iter().map(|it| it.count(*window)).collect();
        let (all, usual) = (counts.iter().sum::<f64>(), there.iter().map(|it| it.rate()).sum::<f64>());
        if all < 1.0 || usual <= 0.0 {
            continue;
        }
        for (it, count) in there.iter().zip(&counts) {
            let part = it.rate() / usual;
            seen += (count - all * part).powi(2);
            chance += all * part * (1.0 - part);
        }
        largest += counts.iter().fold(0.0, |a: f64, b| a.max(*b)) / (all / counts.len() as f64);
        counted += 1.0;
    }
    (chance > 0.0).then(|| (seen / chance, largest / counted))
}

/// The herd index of single servers in the second after their own notes: who hears that one is empty goes
/// there together.
pub(super) fn after_notes(runs: &[Run], notes: &[(usize, f64)], last: f64) -> Option<f64> {
    let (mut seen, mut chance) = (0.0, 0.0);
    for (server, at) in notes {
        let window = (*at, at + AFTER);
        let Some(it) = runs.get(*server).filter(|it| it.ran(window) && window.1 <= last) else {
            continue;
        };
        let there = runs.iter().filter(|it| it.ran(window));
        let (all, usual) = there.fold((0.0, 0.0), |sum, it| (sum.0 + it.count(window), sum.1 + it.rate()));
        if all >= 1.0 && usual > 0.0 {
            let part = it.rate() / usual;
            seen += (it.count(window) - all * part).powi(2);
            chance += all * part * (1.0 - part);
        }
    }
    (chance > 0.0).then(|| seen / chance)
}

pub(super) fn idle(runs: &[Run]) -> f64 {
    let (mut idle, mut all) = (0.0, 0.0);
    for it in runs.iter().filter(|it| it.got.len() >= FEW) {
        let most = IDLE / it.rate();
        let ends = it.got.iter().copied().chain([it.until]);
        let mut before = it.from;
        for at in ends {
            idle += (at - before - most).max(0.0);
            before = at;
        }
        all += it.until - it.from;
    }
    idle / f64::max(all, 1.0)
}
