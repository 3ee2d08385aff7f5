//! Managers: their fronts, what they are told and what they want done.

use super::event::Event;
use super::wishes::Wishes;
use super::Model;
use crate::links::Manager;
use crate::parts::{By, Parts};
use ottersail_front::ids::ManagerIndex;
use ottersail_front::recording::FrontInput;
use ottersail_front::{Front, FrontSettings, Ms};
use ottersail_wire::catalogue::Title;

impl Model {
    pub(super) fn begin(&mut self, manager: Manager) {
        let day = &self.plan.day;
        let mut terms = self.plan.terms.clone();
        terms.manager = ManagerIndex(manager.0 as u64);
        terms.zone = day.zones[manager.0 % day.zones.len()].as_str().into();
        let house = FrontSettings {
            url: format!("http://manager-{}", manager.0),
            keys: self.keys.clone(),
            ticket_lifetime_s: 600,
            max_waiting: 100_000,
            max_watches: 1_000_000,
            max_send_delay: Ms(self.plan.drain_grace.0 * 0.25),
            end_timeout: Ms(1000.0),
        };
        let mut wishes = Wishes::default();
        let (now, seed) = (Ms(self.now), self.rng.u64(..));
        let front = Front::with_decisions(now, terms, house, &mut wishes, |terms, out| {
            (self.decide)(now, seed, terms, out)
        });
        let post = &mut self.posts[manager.0];
        post.front = Some(front);
        post.life += 1;
        post.armed = f64::INFINITY;
        self.parts.iter_mut().for_each(|it| it.forget(manager.0));
        self.carry_out(manager, wishes);
        let (day, list) = (&self.plan.day, self.list.values().cloned().collect());
        let cells = self.plan.terms.cells.max(1);
        let titles = day.packages.iter().flat_map(|package| {
            (0..day.titles).map(move |number| Title {
                name: format!("{}-{number}", package.name),
                base: (number as u64 * 7) % cells,
                copies: day.copies,
            })
        });
        let titled = FrontInput::TitlesListed { titles: titles.collect() };
        let listed = FrontInput::ServersListed { index: self.index, list };
        self.tell(manager, titled);
        self.tell(manager, listed);
    }

    /// The managers hold leased slots besides, with leases of so many milliseconds.
    pub fn leased(&mut self, by: By, lease: f64) {
        let parts = Parts::new(by, self.now, lease, self.plan.day.fall, self.posts.len());
        self.wheel.put(self.now, Event::Parts);
        self.parts = Some(parts);
    }

    pub(super) fn share_out(&mut self) {
        let Some(parts) = &mut self.parts else { return };
        let (tells, every) = (parts.look(self.now), parts.every());
        for (ix, part) in tells {
            self.tell(Manager(ix), FrontInput::SlotShareChanged { share: part });
        }
        self.after(every, Event::Parts);
    }

    pub(super) fn tell(&mut self, manager: Manager, told: FrontInput) {
        let now = self.now;
        let post = &mut self.posts[manager.0];
        if now < post.still_until {
            return post.waits.push(told);
        }
        let Some(front) = &mut post.front else {
            return;
        };
        let mut wishes = Wishes::default();
        told.apply(front, Ms(now), &mut wishes);
        if !matches!(told, FrontInput::TimersDue) && front.next_timer().is_some_and(|it| it.0 <= now) {
            front.run_due_timers(Ms(now), &mut wishes);
        }
        let due = front.next_timer().map_or(f64::INFINITY, |it| it.0);
        if due < post.armed {
            post.armed = due;
            let life = post.life;
            self.wheel.put(due.max(now), Event::Wake { manager, life });
        }
        self.carry_out(manager, wishes);
    }

    pub(super) fn carry_out(&mut self, manager: Manager, wishes: Wishes) {
        for (ask, reply) in wishes.replies {
            if let Some(viewer) = self.posts[manager.0].asks.remove(&ask.0) {
                let way = self.way();
                self.after(way, Event::Reply { viewer, ask: ask.0, reply });
            }
        }
        // In order on each way: what is done for a viewing is done in order.
        let way = self.way();
        for order in wishes.orders {
            self.after(way, Event::Order { manager, order: Box::new(order) });
        }
    }

    /// A server, or the list, tells a manager something, after its way and `span` more.
    pub(super) fn notify(&mut self, manager: Manager, span: f64, told: FrontInput) {
        let (way, life) = (self.way(), self.posts[manager.0].life);
        self.after(way + span, Event::Front { manager, life, told: Box::new(told) });
    }

    pub(super) fn kill(&mut self, manager: Manager, back: bool) {
        if back {
            return self.begin(manager);
        }
        let post = &mut self.posts[manager.0];
        post.front = None;
        post.life += 1;
        post.waits.clear();
        let asks = std::mem::take(&mut post.asks);
        for server in &mut self.links.servers {
            server.listeners.remove(&manager);
        }
        for (ask, viewer) in asks {
            let waits = &mut self.viewers[viewer].ask;
            if let Some((_, _, first)) = waits.take_if(|it| it.0 == ask) {
                self.figures.broken += u64::from(first);
                self.viewers[viewer].watch = None;
                self.again(viewer, 600.0);
            }
        }
    }

    pub(super) fn moves(&mut self, manager: Manager) {
        let waits = std::mem::take(&mut self.posts[manager.0].waits);
        for told in waits {
            self.tell(manager, told);
        }
        self.tell(manager, FrontInput::TimersDue);
    }
}
