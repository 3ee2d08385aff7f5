//! What servers do of what they are told.

use super::event::Event;
use super::wishes::{name, Order};
use super::{Model, SILENCE};
use crate::crowd::playlist;
use crate::links::{Held, Manager, ServerNo, Taken};
use ottersail_front::recording::FrontInput;
use ottersail_front::SetUpEnd;
use ottersail_wire::report::Report;

/// A machine that is silent is given up after so long when connecting, in milliseconds.
const CONNECT: f64 = 500.0;

impl Model {
    pub(super) fn rate(&self, package: usize, rung: usize) -> f64 {
        let day = &self.plan.day;
        day.rates_kb.get(rung).copied().unwrap_or(1.0) * day.packages[package].scale
    }

    pub(super) fn order(&mut self, manager: Manager, order: Order) {
        let now = self.now;
        match order {
            Order::SetUp { vw, no, server, title, package, rung, send_by } => {
                let life = self.posts[manager.0].life;
                let end = |end| FrontInput::SetUpEnded {
                    viewing: vw.clone(),
                    tune_in: no,
                    end,
                    report: Report::default(),
                };
                if now > send_by {
                    return self.notify(manager, 0.0, end(SetUpEnd::NotSent));
                }
                if !self.links.servers[server.0].alive {
                    let span = if self.kept[server.0].silent { CONNECT } else { 0.0 };
                    return self.notify(manager, span, end(SetUpEnd::NoConnection));
                }
                self.figures.set_ups += 1;
                let warmth = self.links.warmth(server, now);
                self.figures.cold_set_ups += u64::from(warmth < 1.0);
                let package = self.plan.day.packages.iter().position(|it| it.name == package).unwrap_or(0);
                let kb = self.rate(package, rung);
                let held = Held { manager, no, package, rung, kb, seen: now };
                match self.links.set_up(now, server, &vw, held) {
                    Taken::Yes => {
                        let work = self.plan.day.set_up * (0.5 + self.rng.f64()) / warmth.max(0.05);
                        let born = self.kept[server.0].born;
                        self.after(work, Event::Worked { manager, life, server, born, vw, no, title });
                    }
                    Taken::NoPlace => {
                        self.figures.turned_away += 1;
                        let report = Report { delivered: None, ..self.links.report(server) };
                        let told = FrontInput::SetUpEnded {
                            viewing: vw,
                            tune_in: no,
                            end: SetUpEnd::TurnedAway,
                            report,
                        };
                        self.notify(manager, 0.0, told);
                    }
                    Taken::Fell => {
                        self.figures.fell += 1;
                        self.notify(manager, 0.0, end(SetUpEnd::ConnectionLost));
                        self.dies(server, false);
                    }
                }
            }
            Order::CallOff { vw, no, server } => {
                let held = self.links.servers[server.0].held.get(&vw).is_some_and(|it| it.no == no);
                if held {
                    self.links.end(server, &vw);
                }
            }
            Order::ChangeRung { vw, server, rung } => {
                let package = self.links.servers[server.0].held.get(&vw).map(|it| it.package);
                let list = package.filter(|_| self.links.servers[server.0].alive).map(|package| {
                    let kb = self.rate(package, rung);
                    let before = self.links.servers[server.0].held[&vw].rung;
                    self.links.set_rung(server, &vw, rung, kb);
                    self.figures.steps_up += u64::from(rung > before);
                    self.figures.steps_down += u64::from(rung < before);
                    // All titles of a package have segments of one length; the front keeps the title's own
                    // list.
                    playlist(&self.plan.day, package, 0)
                });
                self.notify(manager, 0.0, FrontInput::RungChanged { viewing: vw, rung, playlist: list });
            }
            Order::LetGo { vw, server } => {
                let alive = self.links.servers[server.0].alive;
                if alive {
                    self.links.end(server, &vw);
                    self.notify(manager, 0.0, FrontInput::EndConfirmed { viewing: vw });
                }
            }
            Order::Listen { server } => {
                if self.links.servers[server.0].alive {
                    self.links.servers[server.0].listeners.insert(manager);
                } else {
                    let span = if self.kept[server.0].silent { SILENCE } else { 0.0 };
                    self.notify(manager, span, FrontInput::ServerLost { server: name(server) });
                }
            }
            Order::HangUp { server } => _ = self.links.servers[server.0].listeners.remove(&manager),
            // One that is not answered is given up by the front's own clock.
            Order::Probe { server } => {
                if self.links.servers[server.0].alive && !self.kept[server.0].silent {
                    let report = Some(Report { delivered: None, ..self.links.report(server) });
                    self.notify(manager, 0.0, FrontInput::ProbeEnded { server: name(server), report });
                }
            }
        }
    }

    pub(super) fn worked(
        &mut self,
        (manager, life): (Manager, u32),
        it: ServerNo,
        vw: String,
        no: usize,
        title: usize,
    ) {
        let Some(held) = self.links.servers[it.0].held.get(&vw).filter(|it| it.no == no) else {
            return;
        };
        if self.posts[manager.0].life != life {
            // Its connection closed with its manager: nobody has the answer.
            self.links.end(it, &vw);
            return;
        }
        if self.links.servers[it.0].mute {
            return;
        }
        let list = playlist(&self.plan.day, held.package, title);
        let report = Report { delivered: None, ..self.links.report(it) };
        let end = SetUpEnd::Playing { playlist: list };
        self.notify(manager, 0.0, FrontInput::SetUpEnded { viewing: vw, tune_in: no, end, report });
    }
}
