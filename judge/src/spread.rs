//! How evenly set-ups went over the servers, from the record: chance alone is the measure. A herd is what managers do in
//! step; it shows as more swing between servers and windows than independent picks would give.

use crate::record::{Even, Event, Line, Terms};
use crate::standing::{Evenness, Picker, Stays};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Windows over which set-ups are counted, in milliseconds.
const WINDOWS: [f64; 3] = [100.0, 1_000.0, 10_000.0];
/// The window that is looked at after something that all managers hear of.
const AFTER: f64 = 1_000.0;
/// What all hear of within so long is one thing.
const ONE_THING: f64 = 1_000.0;
/// A server that got nothing for so many of its mean gaps is idle; chance alone leaves e^-3, 5 in 100, so long.
const IDLE: f64 = 3.0;
/// Servers that got fewer set-ups have no gap to speak of.
const FEW: usize = 5;
/// Times are counted up to an hour, in microseconds, to three digits.
const LONGEST_US: u64 = 3_600_000_000;

/// Set-ups in windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Swing {
    pub window: f64,
    /// Variance of a server's set-ups in a window over what independent picks with each server's usual part would give.
    pub herd: f64,
    /// Largest count of a server in a window over the mean of its window, the mean of all windows.
    pub largest: f64,
}

/// How it was, and how the same viewings would have stood with other picks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Compared {
    pub as_it_was: Evenness,
    pub oracle: Evenness,
    /// The emptier of two random holders, by loads that are fresh, or as old as the day's reports.
    pub two_fresh: Evenness,
    pub two_old: Evenness,
    pub random: Evenness,
}

/// Milliseconds from a request to its answer, of viewings that played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub half: f64,
    pub nine_of_ten: f64,
    pub most: f64,
    pub thousandth: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    pub servers: usize,
    pub swings: Vec<Swing>,
    /// The herd index in the second after a server's note, for that server; after each change of the list, and after a
    /// fault's end; `None` where there was none.
    pub after_notes: Option<f64>,
    pub after_changes: Option<f64>,
    pub after_returns: Option<f64>,
    /// Part of the time in which a server waits for longer than three of its mean gaps.
    pub idle: f64,
    /// Turned away while another holder of the title had room, and turned away in all.
    pub wasted: Option<(usize, usize)>,
    pub standing: Evenness,
    pub compared: Option<Compared>,
    pub times: Times,
    /// Of a manager at rest: memory in kB, wake-ups a second, milliseconds of processor time a second.
    pub rest: Option<(f64, f64, f64)>,
    /// Milliseconds of the managers' processor time for each set-up.
    pub cpu_a_set_up: Option<f64>,
}

/// From when until when a server ran, and when it got set-ups.
struct Run {
    from: f64,
    until: f64,
    got: Vec<f64>,
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

/// Milliseconds until a viewing that was asked for played.
fn times(lines: &[Line]) -> Times {
    let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
    let Ok(mut seen) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3) else {
        return Times::default();
    };
    for line in lines {
        match line.event {
            Event::Asked { ask, first: true, .. } => _ = asked.insert(ask, line.at),
            Event::Answered { ask, status: 200 } => {
                if let Some(at) = asked.remove(&ask) {
                    seen.saturating_record((((line.at - at) * 1e3) as u64).max(1));
                }
            }
            _ => {}
        }
    }
    let at = |part: f64| if seen.is_empty() { 0.0 } else { seen.value_at_quantile(part) as f64 / 1e3 };
    Times { half: at(0.5), nine_of_ten: at(0.9), most: at(0.99), thousandth: at(0.999) }
}

fn swing(runs: &[Run], windows: &[(f64, f64)], window: f64) -> Option<Swing> {
    if windows.len() < 2 {
        return None;
    }
    let (herd, largest) = herd(runs, windows)?;
    // The usual parts are taken from the same windows: one of them is not free.
    let free = windows.len() as f64 / (windows.len() as f64 - 1.0);
    Some(Swing { window, herd: herd * free, largest })
}

/// The herd index over some windows, and the largest count over the mean.
fn herd(runs: &[Run], windows: &[(f64, f64)]) -> Option<(f64, f64)> {
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

/// The herd index of single servers in the second after their own notes: who hears that one is empty goes there together.
fn after_notes(runs: &[Run], notes: &[(usize, f64)], last: f64) -> Option<f64> {
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

fn idle(runs: &[Run]) -> f64 {
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

impl Spread {
    /// What is less even than that; nothing if all is as it should be.
    pub fn misses(&self, even: Even) -> Vec<String> {
        let mut misses = Vec::new();
        let second = self.swings.iter().find(|it| it.window == AFTER).map_or(0.0, |it| it.herd);
        if second > even.herd {
            misses.push(format!("herd index {second:.2} in windows of a second, over {}", even.herd));
        }
        if self.idle > even.idle {
            misses.push(format!("servers idle for {:.3} of the time, over {}", self.idle, even.idle));
        }
        if let Some(it) = &self.compared {
            let over = it.as_it_was.largest / it.oracle.largest.max(1e-9);
            if over > even.over_oracle {
                misses.push(format!("fullest server {over:.2} times an oracle's, over {}", even.over_oracle));
            }
        }
        // What hundreds of managers do at rest, a machine does hundreds of times a second.
        if let (Some(most), Some((_, wakes, _))) = (even.wakes, self.rest) {
            if wakes > most {
                misses.push(format!("a manager at rest is woken {wakes:.1} times a second, over {most}"));
            }
        }
        misses
    }

    /// The lines that are printed.
    pub fn table(&self) -> String {
        let mut text = format!("\nover {} servers          herd index   largest over mean\n", self.servers);
        for it in &self.swings {
            _ = writeln!(text, "set-ups in {:>6} ms {:>13.2} {:>19.1}", it.window, it.herd, it.largest);
        }
        let after = [
            ("notes", self.after_notes),
            ("changes of the list", self.after_changes),
            ("faults end", self.after_returns),
        ];
        for (what, herd) in after.iter().filter_map(|it| Some((it.0, it.1?))) {
            _ = writeln!(text, "herd index in the second after {what}: {herd:.2}");
        }
        _ = writeln!(text, "idle for over three mean gaps: {:.3} of the time (chance: 0.050)", self.idle);
        if let Some((wasted, all)) = self.wasted {
            _ = writeln!(text, "turned away: {all}, while another holder had room: {wasted}");
        }
        _ = writeln!(
            text,
            "\nviewings over link or uplink       fullest  99th of 100  emptiest, over the mean"
        );
        let rows = match &self.compared {
            None => vec![("as it was", self.standing)],
            Some(it) => vec![
                ("as it was", it.as_it_was),
                ("had an oracle picked", it.oracle),
                ("two picks, fresh loads", it.two_fresh),
                ("two picks, loads as reported", it.two_old),
                ("one random pick", it.random),
            ],
        };
        for (name, it) in rows {
            _ = writeln!(text, "{name:<32} {:>9.2} {:>12.2} {:>9.2}", it.largest, it.most, it.least);
        }
        let Times { half, nine_of_ten, most, thousandth } = self.times;
        _ = writeln!(
            text,
            "ms until a viewing plays: half {half:.1}, 90 in 100 {nine_of_ten:.1}, 99 {most:.1}, 99.9 {thousandth:.1}"
        );
        if let Some((memory, wakes, cpu)) = self.rest {
            let memory = memory / 1024.0;
            _ = writeln!(
                text,
                "a manager at rest: {memory:.1} MB, {wakes:.1} wake-ups and {cpu:.2} ms of processor a second"
            );
        }
        if let Some(cpu) = self.cpu_a_set_up {
            _ = writeln!(text, "processor time of the managers a set-up: {cpu:.2} ms");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// A hundred set-ups a second for a minute over twenty servers, picked by that.
    fn record(mut pick: impl FnMut(usize, u64) -> usize) -> Vec<Line> {
        let mut chance = 7u64;
        let mut lines: Vec<Line> = (0..20)
            .map(|it| {
                let (server, cold, places) = (format!("s{it:02}"), false, 90.0);
                Line {
                    at: 0.0,
                    event: Event::ServerStarted {
                        server,
                        cold,
                        places,
                        cell: it,
                        link_kb: 1.0,
                        rack: 0,
                        uplink_kb: 0.0,
                    },
                }
            })
            .collect();
        for number in 0..6000 {
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let (server, vw) = (format!("s{:02}", pick(number, chance >> 33)), format!("v{number}"));
            let (title, package) = ("t".to_string(), "clips".to_string());
            let event = Event::SetUp { server, manager: 0, ask: 0, vw, no: 0, title, package, rung: 0 };
            lines.push(Line { at: number as f64 * 10.0, event });
        }
        lines
    }

    fn herds(lines: &[Line]) -> Vec<f64> {
        spread(&Terms::default(), lines).unwrap().swings.iter().map(|it| it.herd).collect()
    }

    /// Six windows of ten seconds tell less than six hundred.
    fn is_chance(lines: &[Line]) -> bool {
        let herds = herds(lines);
        herds.len() == 3
            && herds[..2].iter().all(|it| (0.8..1.2).contains(it))
            && (0.6..1.4).contains(&herds[2])
    }

    #[test]
    fn independent_picks_are_chance() {
        let even = record(|_, chance| (chance % 20) as usize);
        assert!(is_chance(&even), "{:?}", herds(&even));
        let idle = spread(&Terms::default(), &even).unwrap().idle;
        assert!((0.02..0.08).contains(&idle), "{idle}");
    }

    #[test]
    fn a_server_that_usually_gets_more_is_no_herd() {
        let uneven = record(|_, chance| if chance % 2 == 0 { 0 } else { (chance / 2 % 20) as usize });
        assert!(is_chance(&uneven), "{:?}", herds(&uneven));
    }

    #[test_case(25, 0; "all go to one server for a quarter of a second each")]
    #[test_case(100, 1; "for a second")]
    fn acting_in_step_shows(together: usize, window: usize) {
        let herd = herds(&record(|number, _| number / together * 7 % 20));
        assert!(herd[window] > 5.0, "{herd:?}");
    }

    #[test]
    fn a_server_that_is_passed_over_for_a_while_is_idle() {
        let idle = |pass: usize| {
            let lines = record(|number, chance| {
                let pick = (chance % 20) as usize;
                // Nothing for half the day, then its part again.
                if pick == 3 && number < pass {
                    4
                } else {
                    pick
                }
            });
            spread(&Terms::default(), &lines).unwrap().idle
        };
        assert!(idle(3000) > idle(0) + 0.015, "{} {}", idle(3000), idle(0));
    }

    #[test]
    fn viewings_that_stand_are_counted_over_time() {
        let mut lines = record(|number, _| number % 20);
        for number in 0..30 {
            let (server, vw) = ("s00".to_string(), format!("v{number}"));
            lines.push(Line { at: 0.0, event: Event::SetUpAnswered { server, vw, no: 0, status: 201 } });
        }
        for number in 1..20 {
            let (server, vw) = (format!("s{number:02}"), format!("w{number}"));
            let event = Event::SetUpAnswered { server, vw, no: 0, status: 201 };
            lines.extend((0..10).map(|_| Line { at: 0.0, event: event.clone() }));
        }
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let Evenness { largest, most, .. } = spread(&Terms::default(), &lines).unwrap().standing;
        assert!((largest - 30.0 / 11.0).abs() < 0.01 && (most - largest).abs() < 0.01, "{largest} {most}");
    }

    #[test_case(1.0, false => 0; "within all bounds")]
    #[test_case(75.0, false => 1; "woken often at rest")]
    #[test_case(1.0, true => 2; "all in step, and most of the servers idle")]
    fn bounds_that_are_missed_are_told(wakes: f64, in_step: bool) -> usize {
        let mut lines =
            record(|number, chance| if in_step { number / 100 % 20 } else { chance as usize % 20 });
        lines.push(Line { at: 1.0, event: Event::Rested { managers: 1, memory_kb: 1.0, wakes, cpu: 0.0 } });
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let even = Even { herd: 1.3, idle: 0.1, over_oracle: 0.5, wakes: Some(10.0) };
        spread(&Terms::default(), &lines).unwrap().misses(even).len()
    }

    #[test]
    fn nothing_set_up_has_no_spread() {
        assert_eq!(spread(&Terms::default(), &[]), None);
    }
}
