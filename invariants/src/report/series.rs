//! A day as rows of samples over time.

use crate::record::{Event, Line, Terms};
use crate::standing::Stays;
use std::collections::BTreeMap;

/// Samples over the day.
pub(super) const SAMPLES: usize = 240;

/// What each server is asked over what its link gives, over time.
pub(super) struct Series {
    pub seconds: Vec<f64>,
    /// By server, by sample; `None` while it does not run.
    pub fill: Vec<Vec<Option<f64>>>,
    /// The herd index of the second that ends there.
    pub herd: Vec<f64>,
}

/// `None` where nothing was set up.
pub(super) fn series(terms: &Terms, lines: &[Line]) -> Option<Series> {
    let stays = Stays::of(terms, lines)?;
    let (first, last) = (stays.first, stays.last);
    let step = ((last - first) / SAMPLES as f64).max(1.0);
    let mut names: BTreeMap<&str, usize> = BTreeMap::new();
    for it in &stays.lives {
        let next = names.len();
        names.entry(&it.server).or_insert(next);
    }
    let mut link = vec![1.0; names.len()];
    let mut asked: Vec<Option<f64>> = vec![None; names.len()];
    let mut held: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    let mut wants: BTreeMap<&str, (&str, usize)> = BTreeMap::new();
    let rate = |package: &str, rung: usize| {
        let scale = terms.packages.get(package).map_or(1.0, |it| it.scale);
        terms.rates_kb.get(rung).copied().unwrap_or(1.0) * if scale > 0.0 { scale } else { 1.0 }
    };
    let mut series = Series { seconds: Vec::new(), fill: vec![Vec::new(); names.len()], herd: Vec::new() };
    let mut counts = vec![0.0; names.len()];
    let (mut next, mut herd, mut next_herd) = (first, 1.0, first + 1_000.0);
    for line in lines {
        while line.at >= next_herd && next_herd <= last {
            let all: f64 = counts.iter().sum();
            let there: f64 = asked.iter().flatten().count() as f64;
            let mean = all / there.max(1.0);
            let seen: f64 =
                counts.iter().zip(&asked).filter(|it| it.1.is_some()).map(|it| (it.0 - mean).powi(2)).sum();
            herd = if all >= 1.0 { seen / (all * (1.0 - 1.0 / there.max(2.0))) } else { 1.0 };
            counts.fill(0.0);
            next_herd += 1_000.0;
        }
        while line.at >= next && next <= last {
            series.seconds.push((next - first) / 1e3);
            for (ix, it) in asked.iter().enumerate() {
                series.fill[ix].push(it.map(|it| it / link[ix]));
            }
            series.herd.push(herd);
            next += step;
        }
        match &line.event {
            Event::ServerStarted { server, link_kb, .. } => {
                if let Some(ix) = names.get(server.as_str()) {
                    (link[*ix], asked[*ix]) = (link_kb.max(1.0), Some(0.0));
                }
            }
            Event::ServerEnded { server } | Event::Fell { server } => {
                if let Some(ix) = names.get(server.as_str()) {
                    asked[*ix] = None;
                    held.retain(|it, _| it.0 != *ix);
                }
            }
            Event::SetUp { server, vw, package, rung, .. } => {
                wants.insert(vw, (package, *rung));
                names.get(server.as_str()).into_iter().for_each(|it| counts[*it] += 1.0);
            }
            Event::SetUpAnswered { server, vw, status: 201, .. } | Event::Rung { server, vw, .. } => {
                let Some(ix) = names.get(server.as_str()) else { continue };
                let Some((package, rung)) = wants.get_mut(vw.as_str()) else { continue };
                if let Event::Rung { rung: now, .. } = &line.event {
                    *rung = *now;
                }
                let kb = rate(package, *rung);
                let before = held.insert((*ix, vw), kb).unwrap_or(0.0);
                asked[*ix] = asked[*ix].map(|it| it + kb - before);
            }
            Event::Ended { server, vw } => {
                let Some(ix) = names.get(server.as_str()) else { continue };
                if let Some(kb) = held.remove(&(*ix, vw.as_str())) {
                    asked[*ix] = asked[*ix].map(|it| (it - kb).max(0.0));
                }
            }
            _ => {}
        }
    }
    Some(series)
}
