//! Which viewings stood where, from when until when.

use crate::record::{Event, Line, Terms, Titles};
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
