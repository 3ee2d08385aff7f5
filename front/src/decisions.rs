//! [`Decisions`], the interface between the front and the placement decisions. Production uses [`Placement`];
//! benchmarks replace it with other implementations.

use ottersail::actions::PlacementActions;
use ottersail::ids::{PackageIndex, ServerId, TenantIndex, TimerTag, TuneInIndex, ViewingId};
use ottersail::placement::Placement;
use ottersail::state::{ListMode, Load, Outcome, ServerEntry, Topic, ViewingRequest};
use ottersail::time::Ms;

/// The inputs of [`Placement`] that the front uses; see the methods there.
pub trait Decisions {
    fn package_named(&self, name: &str) -> Option<PackageIndex>;
    fn tenant_named(&self, name: &str) -> Option<TenantIndex>;
    fn update_servers(
        &mut self,
        now: Ms,
        mode: ListMode,
        entries: &[ServerEntry],
        actions: &mut dyn PlacementActions,
    );
    fn request_viewing(&mut self, now: Ms, request: ViewingRequest, actions: &mut dyn PlacementActions);
    fn timer_fired(&mut self, now: Ms, tag: TimerTag, actions: &mut dyn PlacementActions);
    fn viewing_started(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        server: &ServerId,
        actions: &mut dyn PlacementActions,
    );
    fn tune_in_ended(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        end: TuneInEnd,
        load: Load,
        actions: &mut dyn PlacementActions,
    );
    fn note_received(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        actions: &mut dyn PlacementActions,
    );
    fn viewer_left(&mut self, now: Ms, viewing: &ViewingId, actions: &mut dyn PlacementActions);
    /// Sets this manager's slots and the number of all slots. The default ignores them, for decisions without
    /// limits shared between managers.
    fn set_slots(&mut self, _now: Ms, _slots: &[u64], _total: f64) {}
    /// Result of a probe. The default ignores it, for decisions that never probe.
    fn probe_ended(
        &mut self,
        _now: Ms,
        _server: &ServerId,
        _outcome: Outcome,
        _load: Load,
        _actions: &mut dyn PlacementActions,
    ) {
    }
}

/// The end of a tune-in that failed, or of the viewing that it started.
#[derive(Clone, Debug)]
pub struct TuneInEnd {
    pub tune_in: TuneInIndex,
    pub server: ServerId,
    pub outcome: Outcome,
    /// Whether the viewing is over, so that no further tune-in or answer is expected.
    pub last: bool,
}

impl Decisions for Placement {
    fn package_named(&self, name: &str) -> Option<PackageIndex> {
        Placement::package_named(self, name)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        Placement::tenant_named(self, name)
    }

    fn update_servers(
        &mut self,
        now: Ms,
        mode: ListMode,
        entries: &[ServerEntry],
        actions: &mut dyn PlacementActions,
    ) {
        Placement::update_servers(self, now, mode, entries, actions);
    }

    fn request_viewing(&mut self, now: Ms, request: ViewingRequest, actions: &mut dyn PlacementActions) {
        Placement::request_viewing(self, now, request, actions);
    }

    fn timer_fired(&mut self, now: Ms, tag: TimerTag, actions: &mut dyn PlacementActions) {
        Placement::timer_fired(self, now, tag, actions);
    }

    fn viewing_started(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        server: &ServerId,
        actions: &mut dyn PlacementActions,
    ) {
        Placement::viewing_started(self, now, viewing, server, actions);
    }

    fn tune_in_ended(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        end: TuneInEnd,
        load: Load,
        actions: &mut dyn PlacementActions,
    ) {
        let TuneInEnd { tune_in, server, outcome, last } = end;
        Placement::tune_in_ended(self, now, viewing, tune_in, &server, outcome, last, load, actions);
    }

    fn note_received(
        &mut self,
        now: Ms,
        viewing: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        actions: &mut dyn PlacementActions,
    ) {
        Placement::note_received(self, now, viewing, topic, value, server, actions);
    }

    fn viewer_left(&mut self, now: Ms, viewing: &ViewingId, actions: &mut dyn PlacementActions) {
        Placement::viewer_left(self, now, viewing, actions);
    }

    fn probe_ended(
        &mut self,
        now: Ms,
        server: &ServerId,
        outcome: Outcome,
        load: Load,
        actions: &mut dyn PlacementActions,
    ) {
        Placement::probe_ended(self, now, server, outcome, load, actions);
    }

    fn set_slots(&mut self, now: Ms, slots: &[u64], total: f64) {
        Placement::set_slots(self, now, slots, total);
    }
}
