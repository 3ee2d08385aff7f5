//! The part of what all managers share: it ends with its lease, whatever happens first then.

use super::stage::{all_set_ups, house, set_up, terms, Stage, START};
use crate::decisions::{Decisions, TuneInEnd};
use crate::ids::{PackageIndex, ServerId, TenantIndex, TimerTag, ViewingId};
use crate::recording::EffectRecorder;
use crate::state::{ListMode, Load, ServerEntry, Topic, ViewingRequest};
use crate::{Front, Ms, PlacementActions, SlotShare};
use std::cell::RefCell;
use std::rc::Rc;

fn part(until: f64) -> SlotShare {
    SlotShare { own_slot: 5, leased_slots: vec![0, 1], total_slots: 8.0, lease_end_ms: START + until }
}

// By the house's own term a set-up may be sent for 250 ms.
#[test]
fn no_set_up_leaves_after_the_lease() {
    let mut stage = Stage::new();
    let free = set_up(&stage.asks("clips"));
    assert_eq!(free.send_by.0 - stage.now, 250.0);
    let mut stage = Stage::new();
    let until = stage.now + 100.0;
    stage.does(|front, now, _| front.set_slot_share(now, SlotShare { lease_end_ms: until, ..part(0.0) }));
    assert_eq!(set_up(&stage.asks("clips")).send_by.0, until);
}

#[test]
fn a_lease_that_has_run_out_bounds_nothing_more() {
    let mut stage = Stage::new();
    let until = stage.now + 100.0;
    stage.does(|front, now, _| front.set_slot_share(now, SlotShare { lease_end_ms: until, ..part(0.0) }));
    // Nothing happens for a second, as after a standstill; then a viewer comes.
    stage.now += 1_000.0;
    let sent = all_set_ups(&stage.asks("clips"));
    assert_eq!(sent.iter().map(|it| it.send_by.0 - stage.now).collect::<Vec<_>>(), [250.0]);
}

#[test]
fn a_part_whose_lease_is_over_when_it_is_told_is_none() {
    let mut stage = Stage::new();
    let until = stage.now - 1.0;
    stage.does(|front, now, _| front.set_slot_share(now, SlotShare { lease_end_ms: until, ..part(0.0) }));
    assert_eq!(set_up(&stage.asks("clips")).send_by.0 - stage.now, 250.0);
}

/// Decisions that only note which part they were told.
#[derive(Default)]
struct Noting(Rc<RefCell<Vec<Vec<u64>>>>);

impl Decisions for Noting {
    fn package_named(&self, _: &str) -> Option<PackageIndex> {
        None
    }
    fn tenant_named(&self, _: &str) -> Option<TenantIndex> {
        None
    }
    fn update_servers(&mut self, _: Ms, _: ListMode, _: &[ServerEntry], _: &mut dyn PlacementActions) {}
    fn request_viewing(&mut self, _: Ms, _: ViewingRequest, _: &mut dyn PlacementActions) {}
    fn timer_fired(&mut self, _: Ms, _: TimerTag, _: &mut dyn PlacementActions) {}
    fn viewing_started(&mut self, _: Ms, _: &ViewingId, _: &ServerId, _: &mut dyn PlacementActions) {}
    fn tune_in_ended(&mut self, _: Ms, _: &ViewingId, _: TuneInEnd, _: Load, _: &mut dyn PlacementActions) {}
    fn note_received(
        &mut self,
        _: Ms,
        _: &ViewingId,
        _: Topic,
        _: f64,
        _: &ServerId,
        _: &mut dyn PlacementActions,
    ) {
    }
    fn viewer_left(&mut self, _: Ms, _: &ViewingId, _: &mut dyn PlacementActions) {}
    fn set_slots(&mut self, _: Ms, slots: &[u64], _: f64) {
        self.0.borrow_mut().push(slots.to_vec());
    }
}

#[test]
fn what_is_left_after_the_lease_is_the_kept_slot() {
    let told = Rc::new(RefCell::new(Vec::new()));
    let heard = told.clone();
    let mut lines = Vec::new();
    let mut out = EffectRecorder { lines: &mut lines, effects: None };
    let mut front =
        Front::with_decisions(Ms(START), terms(), house(), &mut out, |_, _| Box::new(Noting(heard)));
    front.set_slot_share(Ms(START), part(100.0));
    front.run_due_timers(Ms(START + 99.0), &mut out);
    assert_eq!(*told.borrow(), [vec![5, 0, 1]]);
    front.run_due_timers(Ms(START + 100.0), &mut out);
    front.run_due_timers(Ms(START + 200.0), &mut out);
    assert_eq!(*told.borrow(), [vec![5, 0, 1], vec![5]]);
}
