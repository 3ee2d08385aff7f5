//! What the module is told, over a holder whose one councillor grants all.

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

/// Holds so many slots from then on, asked for at that moment.
pub(super) fn holds(holder: &mut Holder, now: Ms, revision: u64, slots: usize) {
    holder.set_target(now, slots as u16, &mut PendingWork::default());
    let body = Bucket::empty(24).acquire(slots, ME).encode().unwrap();
    holder.register_changed(BucketId(0), revision, &body, &mut PendingWork::default()).unwrap();
    renewed(holder, now);
}

fn renewed(holder: &mut Holder, now: Ms) {
    let mut wants = PendingWork::default();
    holder.handle_deadline(now, &mut wants);
    for (to, post) in wants.posts {
        if let super::messages::CouncilMessage::Renew(it) = post {
            let answer = Renewed { instance: it.instance, number: it.number, refused: vec![] };
            holder.renewed(now, to, &answer, &mut PendingWork::default());
        }
    }
}

pub(super) fn part_in_use() -> PartInUse {
    PartInUse::new((3, 5.0), 32, WINDOW)
}

#[test]
fn without_a_lease_the_kept_slot_alone_is_told_and_once() {
    let (mut share, holder) = (part_in_use(), holder());
    let part = share.look(Ms(0.0), Some(&holder), false).unwrap();
    assert_eq!(
        (part.own_slot, part.leased_slots.len(), part.total_slots, part.lease_end_ms),
        (35, 0, 37.0, 0.0)
    );
    assert_eq!(share.look(Ms(1.0), None, false), None);
    assert!(share.look(Ms(2.0), None, true).is_some(), "somebody waits for it");
}

#[test]
fn a_new_slot_is_used_only_after_the_window_of_the_rule_on_cold_servers() {
    let (mut share, mut holder) = (part_in_use(), holder());
    holds(&mut holder, Ms(10.0), 1, 2);
    let part = share.look(Ms(10.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), part.lease_end_ms), (0, 1_010.0));
    assert_eq!((share.held().count(), share.next_timer()), (2, Ms(310.0)));
    assert_eq!(share.look(Ms(309.0), Some(&holder), false), None);
    let part = share.look(Ms(310.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots, share.next_timer()), (vec![0, 1], Ms(1_010.0)));
}

#[test]
fn past_the_lease_nothing_is_held_and_what_comes_back_waits_again() {
    let (mut share, mut holder) = (part_in_use(), holder());
    holds(&mut holder, Ms(0.0), 1, 2);
    share.look(Ms(0.0), Some(&holder), false);
    assert_eq!(share.look(Ms(400.0), Some(&holder), false).unwrap().leased_slots.len(), 2);
    let part = share.look(Ms(1_500.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), part.lease_end_ms, share.ran_out()), (0, 0.0, 1));
    renewed(&mut holder, Ms(1_500.0));
    let part = share.look(Ms(1_500.0), Some(&holder), false).unwrap();
    assert_eq!((part.leased_slots.len(), share.held().count()), (0, 2));
    assert_eq!(share.look(Ms(1_800.0), Some(&holder), false).unwrap().leased_slots.len(), 2);
}
