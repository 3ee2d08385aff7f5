//! A plain random pick among the holders that are up: no split, no pace, no budget, no health. For comparison only.

use ottersail_front::decisions::{Decisions, Ended};
use ottersail_front::ids::{BellTag, Cell, PackageIx, Rung, ServerId, TenantIx, ViewingId};
use ottersail_front::state::{Availability, Entry, ListMode, Load, Topic, Wish};
use ottersail_front::terms::Terms;
use ottersail_front::{Answers, Ms};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

pub struct RandomPick {
    terms: Terms,
    cells: BTreeMap<Cell, Vec<ServerId>>,
    rng: fastrand::Rng,
}

impl RandomPick {
    pub fn new(terms: Terms) -> RandomPick {
        RandomPick { terms, cells: BTreeMap::new(), rng: fastrand::Rng::with_seed(1) }
    }
}

impl Decisions for RandomPick {
    fn package_named(&self, name: &str) -> Option<PackageIx> {
        self.terms.packages.iter().position(|it| it.name == name).map(PackageIx)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIx> {
        self.terms.tenants.iter().position(|it| it.name == name).map(TenantIx)
    }

    fn members(&mut self, _: Ms, _: ListMode, entries: &[Entry], _: &mut dyn Answers) {
        for entry in entries {
            let there = self.cells.entry(entry.cell).or_default();
            there.retain(|it| *it != entry.server);
            if entry.availability == Availability::Up {
                there.push(entry.server.clone());
            }
        }
    }

    fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        let cells = (0..wish.copies).map(|it| Cell((wish.base + it) % self.terms.cells.max(1)));
        let holders: Vec<&ServerId> = cells.filter_map(|it| self.cells.get(&it)).flatten().collect();
        if holders.is_empty() {
            return out.shed(&wish.vw, None);
        }
        let server = holders[self.rng.usize(..holders.len())].clone();
        out.step_to(&wish.vw, Rung(0));
        out.relay(&wish.vw, &server, wish.due - now);
    }

    fn bell(&mut self, _: Ms, _: BellTag, _: &mut dyn Answers) {}

    fn first(&mut self, _: Ms, _: &ViewingId, _: &ServerId, _: &mut dyn Answers) {}

    fn answer(&mut self, _: Ms, vw: &ViewingId, ended: Ended, _: Load, out: &mut dyn Answers) {
        if !ended.last {
            out.abort(vw);
        }
    }

    fn change(&mut self, _: Ms, _: &ViewingId, _: Topic, _: f64, _: &ServerId, _: &mut dyn Answers) {}

    fn dropped(&mut self, _: Ms, _: &ViewingId, _: &mut dyn Answers) {}
}

/// Adds up the time that decisions take.
pub struct Timed {
    pub of: Box<dyn Decisions>,
    pub spent: std::rc::Rc<std::cell::Cell<Duration>>,
}

impl Timed {
    fn time<T>(&mut self, call: impl FnOnce(&mut dyn Decisions) -> T) -> T {
        let began = Instant::now();
        let result = call(&mut *self.of);
        self.spent.set(self.spent.get() + began.elapsed());
        result
    }
}

impl Decisions for Timed {
    fn package_named(&self, name: &str) -> Option<PackageIx> {
        self.of.package_named(name)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIx> {
        self.of.tenant_named(name)
    }

    fn members(&mut self, now: Ms, mode: ListMode, entries: &[Entry], out: &mut dyn Answers) {
        self.time(|it| it.members(now, mode, entries, out));
    }

    fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        self.time(|it| it.incoming(now, wish, out));
    }

    fn bell(&mut self, now: Ms, tag: BellTag, out: &mut dyn Answers) {
        self.time(|it| it.bell(now, tag, out));
    }

    fn first(&mut self, now: Ms, vw: &ViewingId, server: &ServerId, out: &mut dyn Answers) {
        self.time(|it| it.first(now, vw, server, out));
    }

    fn answer(&mut self, now: Ms, vw: &ViewingId, ended: Ended, load: Load, out: &mut dyn Answers) {
        self.time(|it| it.answer(now, vw, ended, load, out));
    }

    fn change(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        out: &mut dyn Answers,
    ) {
        self.time(|it| it.change(now, vw, topic, value, server, out));
    }

    fn dropped(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn Answers) {
        self.time(|it| it.dropped(now, vw, out));
    }
}
