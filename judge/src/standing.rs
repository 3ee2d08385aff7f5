//! Which viewings stood where and for how long, and how they would have stood had they been picked otherwise: by one who
//! sees all, by the published two random picks with loads that are fresh or old, by chance alone.

use crate::record::{Event, Line, Terms, Titles};
use serde::Serialize;
use std::collections::BTreeMap;

/// A server's life, or the part of it that is looked at; times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    pub server: String,
    pub cell: u64,
    pub link_kb: f64,
    pub rack: usize,
    /// 0 if the rack has none to speak of.
    pub uplink_kb: f64,
    pub places: f64,
    pub from: f64,
    pub until: f64,
    /// Until when it is cold.
    pub cold_until: f64,
}

/// A viewing at a server.
#[derive(Clone, Debug)]
pub(crate) struct Stay {
    pub life: usize,
    pub title: String,
    pub from: f64,
    pub until: f64,
}

pub(crate) struct Stays {
    pub first: f64,
    pub last: f64,
    pub lives: Vec<Life>,
    pub stays: Vec<Stay>,
}

impl Stays {
    /// `None` where nothing was set up.
    pub fn of(terms: &Terms, lines: &[Line]) -> Option<Stays> {
        let is_set_up = |it: &&Line| matches!(it.event, Event::SetUp { .. });
        let (first, last) = (lines.iter().find(is_set_up)?.at, lines.iter().rfind(is_set_up)?.at);
        let (mut lives, mut stays): (Vec<Life>, Vec<Stay>) = (Vec::new(), Vec::new());
        let mut running: BTreeMap<&str, usize> = BTreeMap::new();
        let mut titles: BTreeMap<&str, &str> = BTreeMap::new();
        let mut open: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for line in lines.iter().filter(|it| it.at <= last) {
            match &line.event {
                Event::ServerStarted { server, cold, places, cell, link_kb, rack, uplink_kb } => {
                    let cold_until = if *cold { line.at + terms.cold } else { line.at };
                    let from = line.at.max(first);
                    running.insert(server, lives.len());
                    lives.push(Life {
                        server: server.clone(),
                        cell: *cell,
                        link_kb: *link_kb,
                        rack: *rack,
                        uplink_kb: *uplink_kb,
                        places: *places,
                        from,
                        until: last,
                        cold_until,
                    });
                }
                Event::ServerEnded { server } | Event::Fell { server } => {
                    if let Some(life) = running.remove(server.as_str()) {
                        lives[life].until = line.at.max(lives[life].from);
                        open.retain(|it, stay| {
                            let there = it.0 == server;
                            if there {
                                stays[*stay].until = line.at;
                            }
                            !there
                        });
                    }
                }
                Event::SetUp { vw, title, .. } => _ = titles.insert(vw, title),
                Event::SetUpAnswered { server, vw, status: 201, .. } => {
                    if let Some(life) = running.get(server.as_str()) {
                        let title = titles.get(vw.as_str()).unwrap_or(&"").to_string();
                        open.insert((server, vw), stays.len());
                        stays.push(Stay { life: *life, title, from: line.at, until: last });
                    }
                }
                Event::Ended { server, vw } => {
                    if let Some(stay) = open.remove(&(server.as_str(), vw.as_str())) {
                        stays[stay].until = line.at;
                    }
                }
                _ => {}
            }
        }
        // Without links that are told, all are taken for equal.
        lives.iter_mut().filter(|it| it.link_kb <= 0.0).for_each(|it| it.link_kb = 1.0);
        Some(Stays { first, last, lives, stays })
    }

    /// Viewings that stood, mean over time, over what the link gives or, if that is more, those of the rack over what its
    /// uplink gives; of the servers that ran for half of the time at least.
    fn evenness(&self, at: &[usize]) -> Evenness {
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

    fn by_rack(&self, stands: &[f64]) -> Vec<f64> {
        let mut racks = vec![0.0; self.lives.iter().map(|it| it.rack + 1).max().unwrap_or(0)];
        self.lives.iter().zip(stands).for_each(|it| racks[it.0.rack] += it.1);
        racks
    }

    fn fill(&self, life: usize, stands: f64, racks: &[f64]) -> f64 {
        let it = &self.lives[life];
        let rack = if it.uplink_kb > 0.0 { racks[it.rack] / it.uplink_kb } else { 0.0 };
        (stands / it.link_kb).max(rack)
    }

    pub fn as_it_was(&self) -> Evenness {
        self.evenness(&self.stays.iter().map(|it| it.life).collect::<Vec<_>>())
    }

    /// The same viewings in the same order, each put at a holder of its title by that way to pick.
    pub fn had_it_been(&self, titles: Titles, pick: Picker) -> Evenness {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut cells: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (ix, it) in self.lives.iter().enumerate() {
            cells.entry(it.cell).or_default().push(ix);
        }
        let mut stands = vec![0.0; self.lives.len()];
        // What is known of them, and since when.
        let (mut known, mut known_at) = (stands.clone(), f64::MIN);
        let mut racks = self.by_rack(&stands);
        let mut ends: Vec<(f64, usize)> = Vec::new();
        let mut at = Vec::new();
        let mut order: Vec<usize> = (0..self.stays.len()).collect();
        order.sort_by(|a, b| self.stays[*a].from.total_cmp(&self.stays[*b].from));
        let mut place = vec![0; self.stays.len()];
        for ix in order {
            let stay = &self.stays[ix];
            ends.retain(|(until, life)| {
                let over = *until <= stay.from;
                if over {
                    stands[*life] -= 1.0;
                }
                !over
            });
            let every = if let Picker::Two { old } = pick { old } else { 0.0 };
            if stay.from >= known_at + every {
                (known, known_at) = (stands.clone(), stay.from);
                racks = self.by_rack(&known);
            }
            let runs = |it: &usize| self.lives[*it].from <= stay.from && stay.from < self.lives[*it].until;
            let holders: Vec<usize> = titles
                .cells_of(&stay.title)
                .filter_map(|it| cells.get(&it))
                .flatten()
                .copied()
                .filter(runs)
                .collect();
            let fill = |it: &usize| self.fill(*it, known[*it], &racks);
            let life = if holders.is_empty() {
                stay.life
            } else {
                let mut draw = || holders[rng.usize(..holders.len())];
                let (first, second) = (draw(), draw());
                match pick {
                    Picker::Oracle => {
                        *holders.iter().min_by(|a, b| fill(a).total_cmp(&fill(b))).unwrap_or(&first)
                    }
                    Picker::Two { .. } if fill(&second) < fill(&first) => second,
                    _ => first,
                }
            };
            place[ix] = life;
            stands[life] += 1.0;
            ends.push((stay.until, life));
        }
        at.append(&mut place);
        self.evenness(&at)
    }

    /// Of those turned away, how many while a holder of the same title had room and was warm.
    pub fn wasted(&self, titles: Titles, lines: &[Line]) -> (usize, usize) {
        let (mut wasted, mut all) = (0, 0);
        let mut asked: BTreeMap<&str, &str> = BTreeMap::new();
        for line in lines {
            match &line.event {
                Event::SetUp { vw, title, .. } => _ = asked.insert(vw, title),
                Event::SetUpAnswered { vw, status: 503, .. } => {
                    all += 1;
                    let title = asked.get(vw.as_str()).unwrap_or(&"");
                    let stood = |life: usize| {
                        let here = |it: &&Stay| it.life == life && it.from <= line.at && line.at < it.until;
                        self.stays.iter().filter(here).count() as f64
                    };
                    let room = |(ix, it): (usize, &Life)| {
                        it.cold_until <= line.at
                            && it.from <= line.at
                            && line.at < it.until
                            && stood(ix) < it.places
                    };
                    let cells: Vec<u64> = titles.cells_of(title).collect();
                    let mut holders = self.lives.iter().enumerate().filter(|it| cells.contains(&it.1.cell));
                    wasted += usize::from(holders.any(room));
                }
                _ => {}
            }
        }
        (wasted, all)
    }
}

/// A way to pick a holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Picker {
    /// The emptiest of all holders, as they are.
    Oracle,
    /// The emptier of two random ones, by loads that all see anew every so many milliseconds (Mitzenmacher, "How useful is
    /// old information?", 2000: the bulletin board).
    Two {
        old: f64,
    },
    Random,
}

/// Viewings standing over what a server's link or uplink gives, whichever is fuller, the mean over time: of the fullest server, of the 99th of 100 and of
/// the emptiest, over the mean of all.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evenness {
    pub largest: f64,
    pub most: f64,
    pub least: f64,
}

/// Lines for tests: a set-up, and its answer.
#[cfg(test)]
pub(crate) fn set_up((server, vw, title): (&str, &str, &str), at: f64, status: u16) -> [Line; 2] {
    let (server, vw, title, package) =
        (server.to_string(), vw.to_string(), title.to_string(), "clips".into());
    let (manager, ask, no, rung) = (0, 0, 0, 0);
    let event =
        Event::SetUp { server: server.clone(), manager, ask, vw: vw.clone(), no, title, package, rung };
    [Line { at, event }, Line { at, event: Event::SetUpAnswered { server, vw, no, status } }]
}

#[cfg(test)]
mod tests {
    use super::*;

    const TITLES: Titles = Titles { cells: 10, copies: 4, stride: 3 };

    /// Ten servers, two of them with twice the link; viewings of ten seconds, one each ten milliseconds, all where told.
    fn record(at: impl Fn(usize) -> usize) -> Vec<Line> {
        let mut lines: Vec<Line> = (0..10u64)
            .map(|cell| {
                let (server, link_kb) = (format!("s{cell}"), if cell < 2 { 200.0 } else { 100.0 });
                Line {
                    at: 0.0,
                    event: Event::ServerStarted {
                        server,
                        cold: false,
                        places: 1e9,
                        cell,
                        link_kb,
                        rack: 0,
                        uplink_kb: 0.0,
                    },
                }
            })
            .collect();
        for number in 0..3000 {
            let (server, vw, title) =
                (format!("s{}", at(number)), format!("v{number}"), format!("t-{number}"));
            let begins = number as f64 * 10.0;
            lines.extend(set_up((&server, &vw, &title), begins, 201));
            lines.push(Line { at: begins + 10_000.0, event: Event::Ended { server, vw } });
        }
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        lines
    }

    #[test]
    fn ways_to_pick_are_in_the_order_that_is_published() {
        let stays = Stays::of(&Terms::default(), &record(|it| it % 10)).unwrap();
        assert!((stays.as_it_was().largest - 1.1).abs() < 0.03, "{:?}", stays.as_it_was());
        let largest = |pick| stays.had_it_been(TITLES, pick).largest;
        let (oracle, fresh) = (largest(Picker::Oracle), largest(Picker::Two { old: 0.0 }));
        let (old, random) = (largest(Picker::Two { old: 4_000.0 }), largest(Picker::Random));
        assert!(oracle < 1.05 && oracle <= fresh + 0.02 && fresh < old, "{oracle} {fresh} {old} {random}");
        assert!(fresh < random, "{fresh} {random}");
    }

    #[test]
    fn who_is_turned_away_while_another_holder_has_room_is_wasted() {
        let mut lines = record(|it| it % 10);
        lines.extend(set_up(("s0", "x", "t-0"), 50.0, 503));
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let stays = Stays::of(&Terms::default(), &lines).unwrap();
        assert_eq!(stays.wasted(TITLES, &lines), (1, 1));
        let alone = Titles { copies: 1, ..TITLES };
        let mut full = stays;
        full.lives[0].places = 0.0;
        assert_eq!(full.wasted(alone, &lines), (0, 1), "the only holder is full");
    }
}
