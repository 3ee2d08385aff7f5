//! Rules 3 and 4: servers that drain, and servers that are cold.

use crate::record::{Event, Line, Standing, Terms};
use crate::rules::runs::{Runs, SLACK};
use crate::verdict::Finding;
use std::collections::BTreeMap;

/// Set-ups that chance may add to a cold server's budget.
const CHANCE: f64 = 1.0;

/// Rule 3.
pub(super) fn drains(terms: &Terms, lines: &[Line], runs: &Runs) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    // Since when a server is not up, as far as the manager was told.
    let mut told: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Told { manager, server, standing } => {
                let key = (*manager, server.as_str());
                match standing {
                    Standing::Up => _ = told.remove(&key),
                    _ => _ = told.entry(key).or_insert(line.at),
                }
            }
            Event::ManagerKilled { manager } | Event::ManagerEnded { manager } => {
                told.retain(|it, _| it.0 != *manager)
            }
            Event::SetUp { manager, server, vw, .. } => {
                if let Some(since) = told.get(&(*manager, server.as_str())) {
                    judged += 1;
                    let until = runs.run_for(*manager, *since, terms.drain_grace);
                    if line.at > until + SLACK {
                        let late = line.at - since;
                        broken.push(format!(
                            "viewing {vw} was set up at {server} {late:.0} ms after manager {manager} \
                             was told"
                        ));
                    }
                }
            }
            _ => {}
        }
    }
    let of = if judged == 0 { "set-ups within the grace" } else { "set-ups after being told" };
    // All set-ups are judged; those after being told are the ones that could have been late.
    let all = lines.iter().filter(|it| matches!(it.event, Event::SetUp { .. })).count();
    Finding { rule: 3, name: "drains kept", judged: if judged == 0 { all } else { judged }, of, broken }
}

/// Rule 4.
pub(super) fn cold(terms: &Terms, lines: &[Line]) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    let mut started: BTreeMap<&str, (f64, f64, Vec<f64>)> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::ServerStarted { server, cold: true, places, .. } => {
                started.insert(server, (line.at, *places, Vec::new()));
            }
            Event::ServerEnded { server } => _ = started.remove(server.as_str()),
            Event::Fell { server } => broken.push(format!("{server} was pushed over")),
            Event::SetUp { server, .. } => {
                let Some((start, places, sent)) = started.get_mut(server.as_str()) else {
                    continue;
                };
                let age = line.at - *start;
                if age >= terms.cold || terms.cold <= 0.0 {
                    continue;
                }
                judged += 1;
                sent.push(line.at);
                sent.retain(|it| line.at - it < terms.fall);
                let warmth = terms.start_capacity + (1.0 - terms.start_capacity) * age / terms.cold;
                let most = terms.fall_multiple * *places / terms.cold * warmth * terms.fall + CHANCE;
                if sent.len() as f64 > most {
                    broken.push(format!(
                        "{server} got {} set-ups in {} ms while cold",
                        sent.len(),
                        terms.fall
                    ));
                }
            }
            _ => {}
        }
    }
    Finding { rule: 4, name: "cold servers not pushed over", judged, of: "set-ups at cold servers", broken }
}
