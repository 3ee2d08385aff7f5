//! How often what happened, and the worth of what was played.

use crate::record::{Event, Line};
use crate::rules::runs::Runs;
use crate::rules::set_ups::SetUp;
use std::collections::{BTreeMap, BTreeSet};

/// What happened, by name; and worth earned over worth offered by those who played.
pub(super) fn counts(
    lines: &[Line],
    runs: &Runs,
    setups: &[SetUp],
) -> (BTreeMap<&'static str, usize>, Option<f64>) {
    let (mut counts, mut value) = (BTreeMap::new(), (0.0, 0.0));
    let mut rungs: BTreeMap<&str, usize> = BTreeMap::new();
    for name in ["asked", "played", "blocked", "aborted", "left", "steps up", "steps down"] {
        counts.insert(name, 0);
    }
    let mut count = |name| *counts.entry(name).or_insert(0) += 1;
    let set_up: BTreeSet<u64> = setups.iter().map(|it| it.ask).collect();
    let mut reloads = BTreeSet::new();
    let sent: BTreeMap<u64, (usize, f64)> = lines
        .iter()
        .filter_map(|line| match &line.event {
            Event::Asked { ask, manager, .. } => Some((*ask, (*manager, line.at))),
            _ => None,
        })
        .collect();
    let unread = |ask: u64, until: f64| sent.get(&ask).is_some_and(|it| runs.partly_still(it.0, it.1, until));
    for line in lines {
        match &line.event {
            Event::Asked { first: true, .. } => count("asked"),
            Event::Asked { ask, .. } => {
                reloads.insert(*ask);
                count("reloads");
                if set_up.contains(ask) {
                    count("reloads set up anew");
                }
            }
            Event::Answered { ask, status } => {
                let reload = reloads.contains(ask);
                match status {
                    200 if reload => {}
                    200 => count("played"),
                    503 if reload => count("reloads blocked"),
                    503 => count("blocked"),
                    502 | 504 => count("aborted"),
                    _ => count("otherwise answered"),
                }
            }
            Event::Left { .. } => count("left"),
            Event::GaveUp { ask } | Event::Broke { ask } if unread(*ask, line.at) => {
                count("unread at a still core");
            }
            Event::Broke { .. } => count("connections broken"),
            Event::Fell { .. } => count("servers fallen"),
            Event::TicketDenied { .. } => count("tickets denied"),
            Event::Watched { offered, earned, .. } => value = (value.0 + earned, value.1 + offered),
            Event::SetUp { vw, rung, .. } => _ = rungs.insert(vw, *rung),
            Event::Rung { vw, rung, .. } => {
                let before = rungs.insert(vw, *rung).unwrap_or(*rung);
                if before != *rung {
                    count(if before < *rung { "steps up" } else { "steps down" });
                }
            }
            _ => {}
        }
    }
    (counts, (value.1 > 0.0).then(|| value.0 / value.1))
}
