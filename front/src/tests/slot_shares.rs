//! The share of the common limits: it ends with its lease, whichever input comes first after that.

use super::harness::{all_set_ups, config, set_up, settings, Harness, START};
use crate::decisions::{Decisions, TuneInEnd};
use crate::ids::{PackageIndex, ServerId, TenantIndex, TimerTag, ViewingId};
use crate::recording::EffectRecorder;
use crate::state::{ListMode, Load, ServerEntry, Topic, ViewingRequest};
use crate::{Front, Ms, PlacementActions, SlotShare};
use std::cell::RefCell;
use std::rc::Rc;

fn share_until(lease_end_ms: f64) -> SlotShare {
    SlotShare { own_slot: 5, leased_slots: vec![0, 1], total_slots: 8.0, lease_end_ms }
}

/// By the front's settings a set-up may be sent for 250 ms.
#[test]
fn no_set_up_is_sent_after_the_lease() {
    let mut harness = Harness::new();
    let without_lease = set_up(&harness.request("clips"));
    assert_eq!(without_lease.send_by.0 - harness.now, 250.0);
    let mut harness = Harness::new();
    let end = harness.now + 100.0;
    harness.call(|front, now, _| front.set_slot_share(now, share_until(end)));
    assert_eq!(set_up(&harness.request("clips")).send_by.0, end);
}

#[test]
fn an_expired_lease_does_not_limit_set_ups() {
    let mut harness = Harness::new();
    let end = harness.now + 100.0;
    harness.call(|front, now, _| front.set_slot_share(now, share_until(end)));
    // The process pauses for a second; then a request arrives.
    harness.now += 1_000.0;
    let sent = all_set_ups(&harness.request("clips"));
    let delays: Vec<f64> = sent.iter().map(|set_up| set_up.send_by.0 - harness.now).collect();
    assert_eq!(delays, [250.0]);
}

#[test]
fn a_share_whose_lease_has_expired_on_arrival_does_not_limit_set_ups() {
    let mut harness = Harness::new();
    let end = harness.now - 1.0;
    harness.call(|front, now, _| front.set_slot_share(now, share_until(end)));
    assert_eq!(set_up(&harness.request("clips")).send_by.0 - harness.now, 250.0);
}

/// Decisions that only record the slots that they are given.
#[derive(Default)]
struct SlotRecorder(Rc<RefCell<Vec<Vec<u64>>>>);

impl Decisions for SlotRecorder {
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
fn the_own_slot_remains_after_the_lease() {
    let recorded = Rc::new(RefCell::new(Vec::new()));
    let recorder = SlotRecorder(recorded.clone());
    let mut lines = Vec::new();
    let mut effects = EffectRecorder { lines: &mut lines, effects: None };
    let mut front =
        Front::with_decisions(Ms(START), config(), settings(), &mut effects, |_, _| Box::new(recorder));
    front.set_slot_share(Ms(START), share_until(START + 100.0));
    front.run_due_timers(Ms(START + 99.0), &mut effects);
    assert_eq!(*recorded.borrow(), [vec![5, 0, 1]]);
    front.run_due_timers(Ms(START + 100.0), &mut effects);
    front.run_due_timers(Ms(START + 200.0), &mut effects);
    assert_eq!(*recorded.borrow(), [vec![5, 0, 1], vec![5]]);
}
