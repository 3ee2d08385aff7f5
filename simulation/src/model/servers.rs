//! Servers: how they begin, end and tell of their links.

use super::event::Event;
use super::kept::Kept;
use super::wishes::name;
use super::{Model, SILENCE};
use crate::links::{Manager, Server, ServerNo, Warming};
use ottersail_front::recording::FrontInput;
use ottersail_wire::notes::{EndCause, Note};
use ottersail_wire::report::Report;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Servers look at their links this often, in milliseconds.
const SAMPLE: f64 = 250.0;
/// A server lets go of what nobody fetches for so long, in milliseconds.
const LEASE: f64 = 12_000.0;

impl Model {
    pub(super) fn add(&mut self, cell: u64, cold: bool) -> ServerNo {
        let day = &self.plan.day;
        let weight = [0.5, 1.0, 1.0, 1.5][self.rng.usize(..4)];
        let uneven = 1.0 + day.uneven * (self.rng.f64() * 2.0 - 1.0);
        let it = ServerNo(self.links.servers.len());
        self.links.servers.push(Server {
            rack: (cell % day.racks.max(1)) as usize,
            cell,
            zone: day.zones[cell as usize % day.zones.len()].clone(),
            weight,
            link_kb: day.link_kb * weight * uneven,
            places: day.places,
            cold_since: cold.then_some(self.now),
            taken: 0.0,
            alive: true,
            mute: false,
            draining: false,
            asked_kb: 0.0,
            held: HashMap::new(),
            sent: VecDeque::new(),
            listeners: BTreeSet::new(),
            past: VecDeque::new(),
            was_short: false,
        });
        self.kept.push(Kept { born: 0, next_report: 0.0, next_second: 0.0, silent: false });
        self.starts(it);
        self.publish(it, if cold { self.plan.day.notice } else { 0.0 });
        it
    }

    pub(super) fn starts(&mut self, it: ServerNo) {
        self.kept[it.0].born += 1;
        self.kept[it.0].silent = false;
        self.links.servers[it.0].alive = true;
        let born = self.kept[it.0].born;
        // Not all at the same moment.
        let first = SAMPLE * self.rng.f64();
        self.after(first, Event::Sample { server: it, born });
    }

    pub(super) fn comes_back(&mut self, it: ServerNo) {
        self.links.servers[it.0].cold_since = Some(self.now);
        self.starts(it);
        self.publish(it, self.plan.day.notice);
    }

    /// The process ends. A crash resets its connections; one that falls silent does not.
    pub(super) fn dies(&mut self, it: ServerNo, silent: bool) {
        if !self.links.servers[it.0].alive {
            return;
        }
        self.links.die(it);
        self.kept[it.0].born += 1;
        self.kept[it.0].silent = silent;
        let listeners = std::mem::take(&mut self.links.servers[it.0].listeners);
        for manager in listeners {
            let span = if silent { SILENCE } else { 0.0 };
            self.notify(manager, span, FrontInput::ServerLost { server: name(it) });
        }
        self.publish(it, if silent { self.plan.day.silent_notice } else { self.plan.day.notice });
    }

    pub(super) fn sample(&mut self, it: ServerNo) {
        let now = self.now;
        self.links.remember(it, now);
        let report = self.links.report(it);
        self.figures.sampled += 1;
        if self.links.warmth(it, now) < 1.0 {
            let Warming { lasts, start_capacity, fall_multiple, .. } = self.links.warming;
            let weight = if self.plan.day.packages.len() > 1 { 1.5 } else { 1.0 };
            let pace = self.links.servers[it.0].places / lasts * start_capacity * fall_multiple / weight;
            self.figures.cold_allowed += pace * SAMPLE;
        }
        let short = u64::from(report.delivered.is_some_and(|it| it < 0.98));
        self.figures.short += short;
        let rack = &mut self.racks[self.links.servers[it.0].rack];
        *rack = (rack.0 + 1, rack.1 + short, rack.2 + report.uplink.unwrap_or(0.0));
        let seen = self.links.seen(it, now, self.plan.day.seen_after + self.reports_late);
        let mut notes = Vec::new();
        if now >= self.kept[it.0].next_second {
            self.kept[it.0].next_second = now + 1000.0;
            let was_short = self.links.servers[it.0].was_short;
            if let Some(share) = seen.and_then(|it| it.delivered).filter(|it| *it < 0.98 || was_short) {
                self.links.servers[it.0].was_short = share < 0.98;
                notes.push(Note::Load(Report { delivered: Some(share), ..Report::default() }));
            }
        }
        if now >= self.kept[it.0].next_report {
            self.kept[it.0].next_report = now + self.plan.day.reports_every;
            notes.extend(seen.map(|it| Note::Load(Report { delivered: None, ..it })));
        }
        let listeners: Vec<Manager> = self.links.servers[it.0].listeners.iter().copied().collect();
        for note in notes {
            for manager in &listeners {
                self.notify(*manager, 0.0, FrontInput::NoteReceived { server: name(it), note: note.clone() });
            }
        }
        let idle = self.links.servers[it.0].held.iter().filter(|held| now - held.1.seen > LEASE);
        let mut idle: Vec<String> = idle.map(|it| it.0.clone()).collect();
        // The order of a hash is another each time.
        idle.sort();
        for viewing in idle {
            if let Some(held) = self.links.end(it, &viewing) {
                let note = Note::Ended { viewing, cause: EndCause::Left };
                self.notify(held.manager, 0.0, FrontInput::NoteReceived { server: name(it), note });
            }
        }
        let born = self.kept[it.0].born;
        self.after(SAMPLE, Event::Sample { server: it, born });
    }
}
