//! How even viewings stood over the servers.

use crate::standing::stays::{Life, Stays};
use serde::Serialize;

/// Viewings standing over what a server's link or uplink gives, whichever is fuller, the mean over time: of
/// the fullest server, of the 99th of 100 and of the emptiest, over the mean of all.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evenness {
    pub largest: f64,
    pub most: f64,
    pub least: f64,
}

impl Stays {
    /// Viewings that stood, mean over time, over what the link gives or, if that is more, those of the rack
    /// over what its uplink gives; of the servers that ran for half of the time at least.
    pub(super) fn evenness(&self, at: &[usize]) -> Evenness {
        let mut stood = vec![0.0; self.lives.len()];
        for (stay, life) in self.stays.iter().zip(at) {
            stood[*life] += (stay.until - stay.from).max(0.0) / (self.last - self.first).max(1.0);
        }
        let racks = self.by_rack(&stood);
        let part = |it: &Life| (it.until - it.from) / (self.last - self.first).max(1.0);
        let there = self.lives.iter().enumerate().filter(|it| part(it.1) >= 0.5);
        let mut fills: Vec<f64> = there.map(|(ix, it)| self.fill(ix, stood[ix] / part(it), &racks)).collect();
        fills.sort_by(f64::total_cmp);
        let mean = fills.iter().sum::<f64>() / fills.len().max(1) as f64;
        let over = |part: f64| {
            let ix = ((fills.len() as f64 * part) as usize).min(fills.len().saturating_sub(1));
            fills.get(ix).map_or(0.0, |it| it / mean.max(1e-12))
        };
        Evenness { largest: over(1.0), most: over(0.99), least: over(0.0) }
    }

    pub(super) fn by_rack(&self, stands: &[f64]) -> Vec<f64> {
        let mut racks = vec![0.0; self.lives.iter().map(|it| it.rack + 1).max().unwrap_or(0)];
        self.lives.iter().zip(stands).for_each(|it| racks[it.0.rack] += it.1);
        racks
    }

    pub(super) fn fill(&self, life: usize, stands: f64, racks: &[f64]) -> f64 {
        let it = &self.lives[life];
        let rack = if it.uplink_kb > 0.0 { racks[it.rack] / it.uplink_kb } else { 0.0 };
        (stands / it.link_kb).max(rack)
    }

    pub fn as_it_was(&self) -> Evenness {
        self.evenness(&self.stays.iter().map(|it| it.life).collect::<Vec<_>>())
    }
}
