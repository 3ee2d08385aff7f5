//! Decisions, and the time that they take.

use ottersail_front::decisions::{Decisions, Ended};
use ottersail_front::ids::{BellTag, PackageIx, ServerId, TenantIx, ViewingId};
use ottersail_front::state::{Entry, ListMode, Load, Outcome, Topic, Wish};
use ottersail_front::{Answers, Ms};
use std::time::{Duration, Instant};

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

    fn echo(&mut self, now: Ms, server: &ServerId, outcome: Outcome, load: Load, out: &mut dyn Answers) {
        self.time(|it| it.echo(now, server, outcome, load, out));
    }
}
