//! How evenly set-ups went over the servers, from the record: chance alone is the measure. A herd is what
//! managers do in step; it shows as more swing between servers and windows than independent picks would give.

mod figures;
mod herds;
mod table;
mod times;

pub use figures::{Compared, Spread, Swing, Times};

use crate::record::{Event, Line, Terms};
use crate::standing::{Picker, Stays};
use figures::AFTER;
use herds::{after_notes, herd, idle, swing, Run};
use std::collections::BTreeMap;
use times::times;

/// Windows over which set-ups are counted, in milliseconds.
const WINDOWS: [f64; 3] = [100.0, 1_000.0, 10_000.0];

/// What all hear of within so long is one thing.
const ONE_THING: f64 = 1_000.0;

/// `None` where nothing was set up.
pub fn spread(terms: &Terms, lines: &[Line]) -> Option<Spread> {
    let stays = Stays::of(terms, lines)?;
    let (first, last) = (stays.first, stays.last);
    let mut runs: Vec<Run> =
        stays.lives.iter().map(|it| Run { from: it.from, until: it.until, got: Vec::new() }).collect();
    let mut by_name: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (ix, it) in stays.lives.iter().enumerate() {
        by_name.entry(&it.server).or_default().push(ix);
    }
    let mut notes: Vec<(usize, f64)> = Vec::new();
    let (mut changes, mut returns): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    for line in lines {
        let at = |server: &String, runs: &[Run]| {
            let all = by_name.get(server.as_str())?;
            all.iter().copied().find(|it| runs[*it].from <= line.at && line.at <= runs[*it].until)
        };
        match &line.event {
            Event::SetUp { server, .. } => {
                at(server, &runs).into_iter().for_each(|it| runs[it].got.push(line.at))
            }
            Event::Noted { server } => notes.extend(at(server, &runs).map(|it| (it, line.at))),
            Event::Told { .. } if line.at > first => changes.push(line.at),
            Event::Fault { on: false, .. } => returns.push(line.at),
            _ => {}
        }
    }
    let windows = |window: f64| {
        let count = ((last - first) / window).floor() as usize;
        (0..count)
            .map(move |it| (first + window * it as f64, first + window * (it + 1) as f64))
            .collect::<Vec<_>>()
    };
    let swings = WINDOWS.iter().filter_map(|it| swing(&runs, &windows(*it), *it)).collect();
    let after = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times.dedup_by(|b, a| *b - *a < ONE_THING);
        let windows: Vec<(f64, f64)> =
            times.into_iter().map(|it| (it, it + AFTER)).filter(|it| it.1 <= last).collect();
        herd(&runs, &windows).map(|it| it.0)
    };
    let titles = terms.titles;
    let compared = titles.map(|titles| {
        let as_if = |pick| stays.had_it_been(titles, pick);
        Compared {
            as_it_was: stays.as_it_was(),
            oracle: as_if(Picker::Oracle),
            two_fresh: as_if(Picker::Two { old: 0.0 }),
            two_old: as_if(Picker::Two { old: terms.reports.0 + terms.reports.1 }),
            random: as_if(Picker::Random),
        }
    });
    let set_ups = lines.iter().filter(|it| matches!(it.event, Event::SetUp { .. })).count();
    let rest = lines.iter().find_map(|it| match it.event {
        Event::Rested { memory_kb, wakes, cpu, .. } => Some((memory_kb, wakes, cpu)),
        _ => None,
    });
    let cpu_a_set_up = lines.iter().find_map(|it| match it.event {
        Event::Spent { cpu } => Some(cpu / set_ups.max(1) as f64),
        _ => None,
    });
    Some(Spread {
        servers: runs.iter().filter(|it| it.until > it.from).count(),
        swings,
        after_notes: after_notes(&runs, &notes, last),
        after_changes: after(changes),
        after_returns: after(returns),
        idle: idle(&runs),
        wasted: titles.map(|it| stays.wasted(it, lines)),
        standing: stays.as_it_was(),
        compared,
        times: times(lines),
        rest,
        cpu_a_set_up,
    })
}

#[cfg(test)]
mod tests;
