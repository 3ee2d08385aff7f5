//! The model of links, uplinks, places and warm-up. No I/O; the time is an argument, in milliseconds.

use ottersail_wire::report::Report;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub struct Held {
    pub manager: usize,
    pub no: usize,
    pub title: usize,
    pub package: usize,
    pub rung: usize,
    pub kb: f64,
    /// When it was last fetched for.
    pub seen: f64,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub rack: usize,
    pub cell: u64,
    pub zone: String,
    pub weight: f64,
    pub link_kb: f64,
    pub places: f64,
    /// When it started, if it started cold.
    pub cold_since: Option<f64>,
    /// Part of the link that another program takes.
    pub taken: f64,
    /// Its link gives so many times less.
    pub short: f64,
    pub asked_kb: f64,
    pub held: BTreeMap<String, Held>,
    pub sent: VecDeque<f64>,
    /// Link, uplink and share over the last while, oldest first.
    pub past: VecDeque<(f64, Report)>,
}

#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub servers: BTreeMap<String, Server>,
    pub uplinks_kb: Vec<f64>,
    /// All links give so many times less.
    pub slow: f64,
    pub cold: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Yes,
    NoPlace,
    /// That was too much for a cold server.
    Fell,
}

impl Server {
    pub fn warmth(&self, now: f64, cold: f64, start: f64) -> f64 {
        let since = self.cold_since.filter(|it| now - it < cold);
        since.map_or(1.0, |it| start + (1.0 - start) * (now - it) / cold)
    }
}

impl Fleet {
    /// A set-up arrives; room is taken from here on.
    pub fn set_up(&mut self, now: f64, id: &str, vw: &str, held: Held) -> Taken {
        let (cold, start, multiple, fall) = (self.cold, self.start_capacity, self.fall_multiple, self.fall);
        let Some(server) = self.servers.get_mut(id) else {
            return Taken::NoPlace;
        };
        let warmth = server.warmth(now, cold, start);
        if server.cold_since.is_some_and(|it| now - it < cold) {
            server.sent.push_back(now);
            while server.sent.front().is_some_and(|it| now - it >= fall) {
                server.sent.pop_front();
            }
            if server.sent.len() as f64 > multiple * server.places / cold * warmth * fall + 1.0 {
                return Taken::Fell;
            }
        }
        if server.held.len() as f64 >= server.places {
            return Taken::NoPlace;
        }
        server.asked_kb += held.kb;
        if let Some(before) = server.held.insert(vw.to_string(), held) {
            server.asked_kb -= before.kb;
        }
        Taken::Yes
    }

    pub fn end(&mut self, id: &str, vw: &str) -> Option<Held> {
        let server = self.servers.get_mut(id)?;
        let held = server.held.remove(vw)?;
        server.asked_kb = if server.held.is_empty() { 0.0 } else { server.asked_kb - held.kb };
        Some(held)
    }

    pub fn set_rung(&mut self, id: &str, vw: &str, rung: usize, kb: f64) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let Some(held) = server.held.get_mut(vw) else {
            return false;
        };
        server.asked_kb += kb - held.kb;
        (held.rung, held.kb) = (rung, kb);
        true
    }

    /// What is asked over what is given: the link, the rack's uplink; and the share that each viewing gets.
    pub fn report(&self, id: &str) -> Report {
        let Some(server) = self.servers.get(id) else {
            return Report::default();
        };
        let slow = self.slow.max(1.0);
        let gives = server.link_kb * (1.0 - server.taken) / (slow * server.short);
        let link = server.asked_kb / gives.max(1.0);
        let there = self.servers.values().filter(|it| it.rack == server.rack);
        let uplink =
            there.map(|it| it.asked_kb).sum::<f64>() / (self.uplinks_kb[server.rack] / slow).max(1.0);
        let share = 1.0 / link.max(uplink).max(1.0);
        Report { link: Some(link), uplink: Some(uplink), delivered: Some(share) }
    }

    /// What was so `late` milliseconds ago, as far as that is kept.
    pub fn seen(&self, id: &str, now: f64, late: f64) -> Option<Report> {
        let past = &self.servers.get(id)?.past;
        past.iter().rev().find(|it| it.0 <= now - late).map(|it| it.1)
    }

    pub fn remember(&mut self, id: &str, now: f64) {
        let report = self.report(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.past.push_back((now, report));
            while server.past.front().is_some_and(|it| now - it.0 > 15_000.0) {
                server.past.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet() -> Fleet {
        let server = |rack| Server {
            rack,
            cell: 0,
            zone: "a".into(),
            weight: 1.0,
            link_kb: 100.0,
            places: 4.0,
            cold_since: None,
            taken: 0.0,
            short: 1.0,
            asked_kb: 0.0,
            held: BTreeMap::new(),
            sent: VecDeque::new(),
            past: VecDeque::new(),
        };
        Fleet {
            servers: [("a".into(), server(0)), ("b".into(), server(0)), ("c".into(), server(1))].into(),
            uplinks_kb: vec![150.0, 150.0],
            slow: 1.0,
            cold: 1000.0,
            start_capacity: 0.5,
            fall_multiple: 2.0,
            fall: 500.0,
        }
    }

    fn held(kb: f64) -> Held {
        Held { manager: 0, no: 0, title: 0, package: 0, rung: 0, kb, seen: 0.0 }
    }

    #[test]
    fn all_on_a_link_or_uplink_get_the_same_share() {
        let mut fleet = fleet();
        fleet.set_up(0.0, "a", "v1", held(80.0));
        assert_eq!(fleet.report("a").delivered, Some(1.0));
        fleet.set_up(0.0, "a", "v2", held(80.0));
        assert_eq!(fleet.report("a").link, Some(1.6));
        fleet.set_up(0.0, "b", "v3", held(80.0));
        assert_eq!(fleet.report("b").uplink, Some(1.6), "the rack's uplink is short for both");
        assert_eq!(fleet.report("c").uplink, Some(0.0));
        fleet.set_rung("a", "v2", 0, 20.0);
        fleet.end("b", "v3");
        assert_eq!(fleet.report("a").delivered, Some(1.0));
        fleet.slow = 2.0;
        assert_eq!(fleet.report("a").delivered, Some(0.5));
    }

    #[test]
    fn a_cold_server_falls_when_pushed() {
        let mut fleet = fleet();
        fleet.servers.get_mut("a").unwrap().cold_since = Some(0.0);
        let taken: Vec<Taken> =
            (0..4).map(|it| fleet.set_up(0.0, "a", &format!("v{it}"), held(1.0))).collect();
        assert_eq!(taken, [Taken::Yes, Taken::Yes, Taken::Yes, Taken::Fell]);
    }

    #[test]
    fn places_are_counted() {
        let mut fleet = fleet();
        let taken: Vec<Taken> =
            (0..5).map(|it| fleet.set_up(0.0, "b", &format!("v{it}"), held(1.0))).collect();
        assert_eq!(taken[3..], [Taken::Yes, Taken::NoPlace]);
        fleet.end("b", "v0");
        assert_eq!(fleet.set_up(0.0, "b", "v9", held(1.0)), Taken::Yes);
    }
}
