//! What goes wrong, by the day's plan.

use super::event::Event;
use super::Model;
use crate::links::{Manager, ServerNo};
use ottersail_fake_servers::FaultKind;
use ottersail_front::recording::FrontInput;

impl Model {
    pub(super) fn pick(&mut self, part: f64) -> Vec<ServerNo> {
        let all = (0..self.links.servers.len()).map(ServerNo);
        let runs = |it: &ServerNo| self.links.servers[it.0].alive && !self.links.servers[it.0].draining;
        let mut all: Vec<ServerNo> = all.filter(runs).collect();
        self.rng.shuffle(&mut all);
        let count = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
        all.truncate(count);
        all
    }

    pub(super) fn fault(&mut self, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        let span = (fault.end - fault.start) * 1e3;
        use FaultKind as Kind;
        if matches!(fault.kind, Kind::Crowd | Kind::Burst) {
            return;
        }
        if on {
            self.taken[ix] = self.pick(fault.part);
        }
        let taken = self.taken[ix].clone();
        let managers = ((self.posts.len() as f64 * fault.part).round() as usize).clamp(1, self.posts.len());
        match fault.kind {
            Kind::ListSilent | Kind::ListFailing => {
                self.list_held = on;
                if on && fault.kind == Kind::ListFailing {
                    (0..self.posts.len())
                        .for_each(|it| self.notify(Manager(it), 0.0, FrontInput::ListFailed));
                }
                self.hear_news();
            }
            Kind::ListStale => {
                // What is told from now on is told so much later.
                self.plan.day.notice += if on { fault.size * 1e3 } else { -fault.size * 1e3 };
            }
            Kind::SlowLinks => self.links.slow = if on { fault.size } else { 1.0 },
            Kind::LateReports => self.reports_late = if on { fault.size * 1e3 } else { 0.0 },
            Kind::Hang | Kind::LoseAnswers | Kind::Stall => {
                taken.iter().for_each(|it| self.links.servers[it.0].mute = on);
            }
            Kind::Crash | Kind::Vanish => {
                for it in taken {
                    if on {
                        self.dies(it, fault.kind == Kind::Vanish);
                    } else {
                        self.comes_back(it);
                    }
                }
            }
            Kind::Drain => {
                for it in taken {
                    if !self.links.servers[it.0].alive {
                        continue;
                    }
                    self.links.servers[it.0].draining = on;
                    self.publish(it, self.plan.day.notice);
                }
            }
            Kind::Replace | Kind::Remove if on => {
                let gap = span / taken.len().max(1) as f64;
                for (count, it) in taken.into_iter().enumerate() {
                    self.after(gap * count as f64, Event::Retire { server: it, ix, on: true });
                }
            }
            Kind::Neighbour if on => self.neighbour(ix, true),
            Kind::ManagerKill => (0..managers).for_each(|it| self.kill(Manager(it), !on)),
            Kind::ManagerRoll if on => {
                let gap = span / self.posts.len() as f64;
                for it in 0..self.posts.len() {
                    let manager = Manager(it);
                    self.after(gap * it as f64, Event::Kill { manager, back: false });
                    self.after(gap * it as f64 + fault.size * 1e3, Event::Kill { manager, back: true });
                }
            }
            Kind::ManagerStall if on => {
                for it in 0..managers {
                    self.posts[it].still_until = self.now + span;
                    self.after(span, Event::Move { manager: Manager(it) });
                }
            }
            _ => {}
        }
    }

    pub(super) fn neighbour(&mut self, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        let over = self.second() >= fault.end - 1e-9;
        for it in self.taken[ix].clone() {
            self.links.servers[it.0].taken = if on && !over { fault.size } else { 0.0 };
        }
        if !over {
            let span = 2_000f64.min((fault.end - self.second()) * 1e3);
            self.after(span, Event::Neighbour { ix, on: !on });
        }
    }

    /// Drained for a while, then ended and, if so told, replaced by a cold one in its cell.
    pub(super) fn retire(&mut self, it: ServerNo, ix: usize, on: bool) {
        let fault = self.plan.day.faults[ix].clone();
        if !self.links.servers[it.0].alive {
            return;
        }
        if on {
            self.links.servers[it.0].draining = true;
            self.publish(it, self.plan.day.notice);
            return self.after(fault.size * 1e3, Event::Retire { server: it, ix, on: false });
        }
        let cell = self.links.servers[it.0].cell;
        self.dies(it, false);
        if fault.kind == FaultKind::Replace {
            self.add(cell, true);
        }
    }
}
