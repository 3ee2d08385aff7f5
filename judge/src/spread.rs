//! How evenly set-ups went over the servers, from the record: chance alone is the measure. A herd is what managers do in
//! step; it shows as more swing between servers and windows than independent picks would give.

use crate::record::{Event, Line};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Windows over which set-ups are counted, in milliseconds.
const WINDOWS: [f64; 3] = [100.0, 1_000.0, 10_000.0];
/// A server that got nothing for so many of its mean gaps is idle; chance alone leaves e^-3, 5 in 100, so long.
const IDLE: f64 = 3.0;
/// Servers that got fewer set-ups have no gap to speak of.
const FEW: usize = 5;

/// Set-ups in windows of one length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Swing {
    pub window: f64,
    /// Variance of a server's set-ups in a window over what independent picks with each server's usual part would give.
    pub herd: f64,
    /// Largest count of a server in a window over the mean of its window, the mean of all windows.
    pub largest: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Spread {
    pub servers: usize,
    pub swings: Vec<Swing>,
    /// Part of the time in which a server waits for longer than three of its mean gaps.
    pub idle: f64,
    /// Viewings that stand: of the servers' means over the day, the largest and the 99th of 100 over the mean of all.
    pub standing: (f64, f64),
}

/// From when until when a server ran, and when it got set-ups.
#[derive(Default)]
struct Life {
    from: f64,
    until: f64,
    got: Vec<f64>,
    /// Viewings standing, times milliseconds; how many stand, and since when that many.
    stood: f64,
    stands: f64,
    since: f64,
}

impl Life {
    fn stand(&mut self, at: f64, more: f64) {
        self.stood += self.stands * (at - self.since);
        (self.stands, self.since) = ((self.stands + more).max(0.0), at);
    }

    fn rate(&self) -> f64 {
        self.got.len() as f64 / (self.until - self.from).max(1.0)
    }
}

/// `None` where nothing was set up.
pub fn spread(lines: &[Line]) -> Option<Spread> {
    let first = lines.iter().find(|it| matches!(it.event, Event::SetUp { .. }))?.at;
    let last = lines.iter().rfind(|it| matches!(it.event, Event::SetUp { .. }))?.at;
    let mut lives: BTreeMap<&str, Life> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::ServerStarted { server, .. } => {
                let from = line.at.max(first);
                let life = Life { from, until: last, since: from, ..Life::default() };
                lives.entry(server).or_insert(life);
            }
            Event::ServerEnded { server } | Event::Fell { server } => {
                if let Some(it) = lives.get_mut(server.as_str()) {
                    it.stand(line.at.min(last), 0.0);
                    it.until = it.until.min(line.at);
                }
            }
            Event::SetUp { server, .. } => {
                let life = || Life { from: first, until: last, since: first, ..Life::default() };
                lives.entry(server).or_insert_with(life).got.push(line.at);
            }
            Event::SetUpAnswered { server, status: 201, .. } if line.at <= last => {
                if let Some(it) = lives.get_mut(server.as_str()) {
                    it.stand(line.at, 1.0);
                }
            }
            Event::Ended { server, .. } if line.at <= last => {
                if let Some(it) = lives.get_mut(server.as_str()) {
                    it.stand(line.at, -1.0);
                }
            }
            _ => {}
        }
    }
    let mut lives: Vec<Life> = lives.into_values().filter(|it| it.until > it.from).collect();
    lives.iter_mut().for_each(|it| it.stand(it.until.max(it.since), 0.0));
    let swings = WINDOWS.iter().filter_map(|it| swing(&lives, first, last, *it)).collect();
    let means: Vec<f64> = lives.iter().map(|it| it.stood / (it.until - it.from)).collect();
    Some(Spread { servers: lives.len(), swings, idle: idle(&lives), standing: over_mean(means) })
}

fn over_mean(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    let at = |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)));
    let over = |it: Option<&f64>| it.copied().unwrap_or(0.0) / mean.max(1e-9);
    (over(all.last()), over(at(0.99)))
}

fn swing(lives: &[Life], first: f64, last: f64, window: f64) -> Option<Swing> {
    let windows = ((last - first) / window).floor() as usize;
    if windows < 2 {
        return None;
    }
    let (mut seen, mut chance, mut largest, mut counted) = (0.0, 0.0, 0.0, 0.0);
    for number in 0..windows {
        let from = first + window * number as f64;
        let there: Vec<&Life> =
            lives.iter().filter(|it| it.from <= from && from + window <= it.until).collect();
        let count = |it: &Life| {
            (it.got.partition_point(|at| *at < from + window) - it.got.partition_point(|at| *at < from))
                as f64
        };
        let counts: Vec<f64> = there.iter().map(|it| count(it)).collect();
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
    // The usual parts are taken from the same windows: one of them is not free.
    let free = windows as f64 / (windows as f64 - 1.0);
    (chance > 0.0).then(|| Swing { window, herd: seen / chance * free, largest: largest / counted })
}

fn idle(lives: &[Life]) -> f64 {
    let (mut idle, mut all) = (0.0, 0.0);
    for it in lives.iter().filter(|it| it.got.len() >= FEW) {
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
    /// The lines that are printed.
    pub fn table(&self) -> String {
        let mut text = format!("\nover {} servers          herd index   largest over mean\n", self.servers);
        for it in &self.swings {
            _ = writeln!(text, "set-ups in {:>6} ms {:>13.2} {:>19.1}", it.window, it.herd, it.largest);
        }
        _ = writeln!(text, "idle for over three mean gaps: {:.3} of the time (chance: 0.050)", self.idle);
        let (largest, most) = self.standing;
        _ = writeln!(text, "standing viewings, largest over mean: {largest:.2}, 99th of 100: {most:.2}");
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
                Line { at: 0.0, event: Event::ServerStarted { server, cold, places } }
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
        spread(lines).unwrap().swings.iter().map(|it| it.herd).collect()
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
        let idle = spread(&even).unwrap().idle;
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
            spread(&lines).unwrap().idle
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
        let (largest, most) = spread(&lines).unwrap().standing;
        assert!((largest - 30.0 / 11.0).abs() < 0.01 && (most - largest).abs() < 0.01, "{largest} {most}");
    }

    #[test]
    fn nothing_set_up_has_no_spread() {
        assert_eq!(spread(&[]), None);
    }
}
