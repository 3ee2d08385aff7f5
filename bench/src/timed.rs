//! Decisions, and the time that they take.

use ottersail_front::decisions::{Decisions, TuneInEnd};
use ottersail_front::ids::{PackageIndex, ServerId, TenantIndex, TimerTag, ViewingId};
use ottersail_front::state::{ListMode, Load, Outcome, ServerEntry, Topic, ViewingRequest};
use ottersail_front::{Ms, PlacementActions};
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
    fn package_named(&self, name: &str) -> Option<PackageIndex> {
        self.of.package_named(name)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        self.of.tenant_named(name)
    }

    fn update_servers(
        &mut self,
        now: Ms,
        mode: ListMode,
        entries: &[ServerEntry],
        out: &mut dyn PlacementActions,
    ) {
        self.time(|it| it.update_servers(now, mode, entries, out));
    }

    fn request_viewing(&mut self, now: Ms, wish: ViewingRequest, out: &mut dyn PlacementActions) {
        self.time(|it| it.request_viewing(now, wish, out));
    }

    fn timer_fired(&mut self, now: Ms, tag: TimerTag, out: &mut dyn PlacementActions) {
        self.time(|it| it.timer_fired(now, tag, out));
    }

    fn viewing_started(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        server: &ServerId,
        out: &mut dyn PlacementActions,
    ) {
        self.time(|it| it.viewing_started(now, vw, server, out));
    }

    fn tune_in_ended(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        ended: TuneInEnd,
        load: Load,
        out: &mut dyn PlacementActions,
    ) {
        self.time(|it| it.tune_in_ended(now, vw, ended, load, out));
    }

    fn note_received(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        out: &mut dyn PlacementActions,
    ) {
        self.time(|it| it.note_received(now, vw, topic, value, server, out));
    }

    fn viewer_left(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn PlacementActions) {
        self.time(|it| it.viewer_left(now, vw, out));
    }

    fn probe_ended(
        &mut self,
        now: Ms,
        server: &ServerId,
        outcome: Outcome,
        load: Load,
        out: &mut dyn PlacementActions,
    ) {
        self.time(|it| it.probe_ended(now, server, outcome, load, out));
    }
}
