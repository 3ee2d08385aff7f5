//! The share that the placement gets from a holder whose only councillor grants everything.

use super::outputs::PendingWork;
use super::part::PartInUse;
use ottersail::time::Ms;
use ottersail_leases::{Bucket, BucketId, Guards, Holder, InstanceId, LeaseConfig, MemberId, Renewed};

pub(super) const ME: (MemberId, InstanceId) = (MemberId(1), InstanceId(2));
pub(super) const COUNCILLOR: MemberId = MemberId(9);
pub(super) const WINDOW: Ms = Ms(300.0);

pub(super) fn holder() -> Holder {
    #[allow(clippy::default_constructed_unit_structs)]
    let guards = Guards::default();
    let terms =
        LeaseConfig { slots: 32, lease_ms: 1_000, drift_ppm: 0, councillors: vec![COUNCILLOR], guards };
    Holder::new(Ms(0.0), 1, ME, terms)
}

/// Makes the holder acquire that many slots, requested at `now`.
pub(super) fn acquire_slots(holder: &mut Holder, now: Ms, revision: u64, slots: usize) {
    holder.set_target(now, slots as u16, &mut PendingWork::default());
    let body = Bucket::empty(24).acquire(slots, ME).encode().unwrap();
    holder.register_changed(BucketId(0), revision, &body, &mut PendingWork::default()).unwrap();
    renewed(holder, now);
}

fn renewed(holder: &mut Holder, now: Ms) {
    let mut renewals = PendingWork::default();
    holder.handle_deadline(now, &mut renewals);
    for (to, message) in renewals.messages {
        if let super::messages::CouncilMessage::Renew(renew) = message {
            let answer = Renewed { instance: renew.instance, number: renew.number, refused: vec![] };
            holder.renewed(now, to, &answer, &mut PendingWork::default());
        }
    }
}

pub(super) fn part_in_use() -> PartInUse {
    PartInUse::new((3, 5.0), 32, WINDOW)
}

#[test]
fn without_a_lease_only_the_own_slot_is_reported_and_only_once() {
    let (mut share, holder) = (part_in_use(), holder());
    let part = share.update(Ms(0.0), Some(&holder), false).unwrap();
    assert_eq!(
        (part.own_slot, part.leased_slots.len(), part.total_slots, part.lease_end_ms),
        (35, 0, 37.0, 0.0)
    );
    assert_eq!(share.update(Ms(1.0), None, false), None);
    assert!(share.update(Ms(2.0), None, true).is_some(), "somebody waits for it");
}

#[test]
fn a_new_slot_is_used_only_after_the_window_of_the_rule_on_cold_servers() {
    let (mut share, mut holder) = (part_in_use(), holder());
    acquire_slots(&mut holder, Ms(10.0), 1, 2);
    let part = share.update(Ms(10.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), part.lease_end_ms), (0, 1_010.0));
    assert_eq!((share.held().count(), share.next_timer()), (2, Ms(310.0)));
    assert_eq!(share.update(Ms(309.0), Some(&holder), false), None);
    let part = share.update(Ms(310.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots, share.next_timer()), (vec![0, 1], Ms(1_010.0)));
}

#[test]
fn after_expiry_no_slot_is_held_and_renewed_slots_wait_again() {
    let (mut share, mut holder) = (part_in_use(), holder());
    acquire_slots(&mut holder, Ms(0.0), 1, 2);
    share.update(Ms(0.0), Some(&holder), false);
    assert_eq!(share.update(Ms(400.0), Some(&holder), false).unwrap().leased_slots.len(), 2);
    let part = share.update(Ms(1_500.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), part.lease_end_ms, share.expirations()), (0, 0.0, 1));
    renewed(&mut holder, Ms(1_500.0));
    let part = share.update(Ms(1_500.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), share.held().count()), (0, 2));
    assert_eq!(share.update(Ms(1_800.0), Some(&holder), false).unwrap().leased_slots.len(), 2);
}
