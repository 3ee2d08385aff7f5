//! Servers, their links and the uplinks of their racks. Sums are kept as viewings change, so that what one
//! viewing gets is known at once, whatever the fleet's size.

use ottersail_wire::report::Report;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A server of the model, by its number; a replacement has a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerNo(pub usize);

/// A manager of the model, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Manager(pub usize);

#[derive(Clone, Debug)]
pub struct Held {
    pub manager: Manager,
    pub no: usize,
    pub package: usize,
    pub rung: usize,
    pub kb: f64,
    /// When it was last fetched for, in milliseconds.
    pub seen: f64,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub rack: usize,
    pub cell: u64,
    pub zone: String,
    pub weight: f64,
    /// What its link truly gives, in kB a second.
    pub link_kb: f64,
    pub places: f64,
    pub cold_since: Option<f64>,
    /// Part of the link that another program takes.
    pub taken: f64,
    /// It answers; one that does not is dead, or silent.
    pub alive: bool,
    /// It hears, and nothing comes back.
    pub mute: bool,
    pub draining: bool,
    pub asked_kb: f64,
    pub held: HashMap<String, Held>,
    pub sent: VecDeque<f64>,
    /// Who hears its notes.
    pub listeners: BTreeSet<Manager>,
    pub past: VecDeque<(f64, Report)>,
    pub was_short: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Rack {
    pub uplink_kb: f64,
    pub asked_kb: f64,
}

/// The law by which a cold server falls, from the rules.
#[derive(Clone, Copy, Debug)]
pub struct Warming {
    pub lasts: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Yes,
    NoPlace,
    Fell,
}

#[derive(Clone, Debug)]
pub struct Links {
    pub servers: Vec<Server>,
    pub racks: Vec<Rack>,
    /// All links and uplinks give so many times less.
    pub slow: f64,
    pub warming: Warming,
    /// Where each viewing is, so that none is in two places unseen.
    places: HashMap<String, ServerNo>,
    /// Viewings set up at a second server while the first still held them.
    pub twice: u64,
}

/// Kept of the past, in milliseconds: the latest that a late report tells of.
const PAST: f64 = 15_000.0;

impl Links {
    pub fn new(servers: Vec<Server>, racks: Vec<Rack>, warming: Warming) -> Links {
        Links { servers, racks, slow: 1.0, warming, places: HashMap::new(), twice: 0 }
    }

    pub fn warmth(&self, it: ServerNo, now: f64) -> f64 {
        let Warming { lasts, start_capacity, .. } = self.warming;
        let since = self.servers[it.0].cold_since.filter(|since| now - since < lasts);
        since.map_or(1.0, |since| start_capacity + (1.0 - start_capacity) * (now - since) / lasts)
    }

    fn ask(&mut self, it: ServerNo, kb: f64) {
        let server = &mut self.servers[it.0];
        server.asked_kb += kb;
        self.racks[server.rack].asked_kb += kb;
    }

    /// A set-up arrives; it takes its room from here on.
    pub fn set_up(&mut self, now: f64, it: ServerNo, vw: &str, held: Held) -> Taken {
        let warmth = self.warmth(it, now);
        let Warming { lasts, fall_multiple, fall, .. } = self.warming;
        let server = &mut self.servers[it.0];
        if server.cold_since.is_some_and(|since| now - since < lasts) {
            server.sent.push_back(now);
            while server.sent.front().is_some_and(|sent| now - sent >= fall) {
                server.sent.pop_front();
            }
            if server.sent.len() as f64 > fall_multiple * server.places / lasts * warmth * fall + 1.0 {
                return Taken::Fell;
            }
        }
        if server.draining || server.held.len() as f64 >= server.places {
            return Taken::NoPlace;
        }
        let kb = held.kb;
        let before = server.held.insert(vw.to_string(), held).map_or(0.0, |it| it.kb);
        self.ask(it, kb - before);
        let other = self.places.insert(vw.to_string(), it).filter(|other| *other != it);
        if other.is_some_and(|other| self.servers[other.0].held.contains_key(vw)) {
            self.twice += 1;
        }
        Taken::Yes
    }

    pub fn end(&mut self, it: ServerNo, vw: &str) -> Option<Held> {
        let held = self.servers[it.0].held.remove(vw)?;
        self.ask(it, -held.kb);
        let server = &mut self.servers[it.0];
        if server.held.is_empty() {
            // Nothing is left but fractions.
            let rest = std::mem::take(&mut server.asked_kb);
            self.racks[server.rack].asked_kb -= rest;
        }
        if self.places.get(vw) == Some(&it) {
            self.places.remove(vw);
        }
        Some(held)
    }

    /// The process ends, and all that it held.
    pub fn die(&mut self, it: ServerNo) -> Vec<(String, Held)> {
        let names: Vec<String> = self.servers[it.0].held.keys().cloned().collect();
        let mut ended: Vec<(String, Held)> =
            names.into_iter().filter_map(|vw| self.end(it, &vw).map(|held| (vw, held))).collect();
        // The order of a hash is another each time.
        ended.sort_by(|a, b| a.0.cmp(&b.0));
        let server = &mut self.servers[it.0];
        (server.alive, server.draining) = (false, false);
        server.sent.clear();
        server.past.clear();
        ended
    }

    pub fn set_rung(&mut self, it: ServerNo, vw: &str, rung: usize, kb: f64) -> Option<Held> {
        let held = self.servers[it.0].held.get_mut(vw)?;
        let more = kb - held.kb;
        (held.rung, held.kb) = (rung, kb);
        let held = held.clone();
        self.ask(it, more);
        Some(held)
    }

    /// What is asked over what is given, of link and uplink, and the share that each viewing there gets: on a
    /// short link, and behind a short uplink, all get the same.
    pub fn report(&self, it: ServerNo) -> Report {
        let server = &self.servers[it.0];
        let rack = &self.racks[server.rack];
        let link = server.asked_kb / (server.link_kb * (1.0 - server.taken) / self.slow).max(1.0);
        let uplink = rack.asked_kb / (rack.uplink_kb / self.slow).max(1.0);
        let share = 1.0 / link.max(uplink).max(1.0);
        Report { link: Some(link.max(0.0)), uplink: Some(uplink.max(0.0)), delivered: Some(share) }
    }

    pub fn remember(&mut self, it: ServerNo, now: f64) {
        let report = self.report(it);
        let past = &mut self.servers[it.0].past;
        past.push_back((now, report));
        while past.front().is_some_and(|it| now - it.0 > PAST) {
            past.pop_front();
        }
    }

    /// What was so `late` milliseconds ago.
    pub fn seen(&self, it: ServerNo, now: f64, late: f64) -> Option<Report> {
        self.servers[it.0].past.iter().rev().find(|it| it.0 <= now - late).map(|it| it.1)
    }

    /// The sums as they are by definition, for a check: the largest difference, in kB a second.
    pub fn drift(&self) -> f64 {
        let mut racks = vec![0.0; self.racks.len()];
        let mut most: f64 = 0.0;
        for server in &self.servers {
            let asked: f64 = server.held.values().map(|it| it.kb).sum();
            most = most.max((asked - server.asked_kb).abs());
            racks[server.rack] += asked;
        }
        self.racks.iter().zip(racks).fold(most, |most, (rack, asked)| most.max((rack.asked_kb - asked).abs()))
    }
}

#[cfg(test)]
mod tests;
