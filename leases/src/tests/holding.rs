//! Each rule of a holder and of its slot balancer by itself.

use super::config;
use crate::*;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use test_case::test_case;

const A: (MemberId, InstanceId) = (MemberId(11), InstanceId(1));

/// Records all outputs of a holder.
#[derive(Default)]
struct RecordedEffects {
    renewals: Vec<(MemberId, Renew)>,
    releases: usize,
    proposals: Vec<(BucketId, u64, Vec<u8>)>,
    shrunk: Vec<Option<SlotShare>>,
    counters: Counters,
}

impl Effects for RecordedEffects {
    fn renew(&mut self, to: MemberId, message: &Renew) {
        self.renewals.push((to, message.clone()));
    }
    fn release(&mut self, _: MemberId, _: &Release) {
        self.releases += 1;
    }
    fn read(&mut self, _: BucketId) {}
    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>) {
        self.proposals.push((bucket, if_revision, body));
    }
    fn shrink(&mut self, share: Option<SlotShare>) {
        self.shrunk.push(share);
    }
    fn note(&mut self, event: LeaseEvent) {
        self.counters.count(event);
    }
}

/// Member A is assigned slots 0 and 1 of 24, and has asked all three councillors to renew them at time 0.
fn holder(effects: &mut RecordedEffects) -> Holder {
    let mut holder = Holder::new(Ms(0.0), 5, A, config(24, 3));
    holder
        .register_changed(BucketId(0), 1, &Bucket::empty(24).acquire(2, A).encode().unwrap(), effects)
        .unwrap();
    holder.set_target(Ms(0.0), 2, effects);
    holder
}

fn answer(holder: &mut Holder, now: f64, from: u64, refused: &[Slot], effects: &mut RecordedEffects) {
    let answer = Renewed { instance: A.1, number: 1, refused: refused.to_vec() };
    holder.renewed(Ms(now), MemberId(from), &answer, effects);
}

#[test_case(&[1], 0; "one of three is not enough")]
#[test_case(&[1, 1], 0; "one twice is one")]
#[test_case(&[1, 9], 0; "one that is not a councillor does not count")]
#[test_case(&[1, 3], 2; "two are")]
fn a_lease_needs_renewals_from_a_majority(from: &[u64], slots: u16) {
    let mut effects = RecordedEffects::default();
    let mut holder = holder(&mut effects);
    assert_eq!(effects.renewals.len(), 3);
    from.iter().for_each(|councillor| answer(&mut holder, 4e3, *councillor, &[], &mut effects));
    let share = holder.current_share(Ms(4e3));
    assert_eq!(share.map_or(0, |share| share.slots), slots);
    // The lease counts from the request, not from the answer; at its end nothing is held.
    let ends = share.map(|share| share.until);
    assert!(ends.is_none_or(|until| until == Timestamp(Ms(9_800.0))), "{ends:?}");
    assert_eq!(holder.current_share(Ms(9_800.0)), None);
}

#[test]
fn a_slot_that_a_majority_refuses_is_lost_at_once() {
    let mut effects = RecordedEffects::default();
    let mut holder = holder(&mut effects);
    [1, 2].iter().for_each(|councillor| answer(&mut holder, 1.0, *councillor, &[], &mut effects));
    answer(&mut holder, 2.0, 1, &[Slot(1)], &mut effects);
    assert_eq!(holder.current_share(Ms(2.0)).map(|share| share.slots), Some(2));
    answer(&mut holder, 2.0, 3, &[Slot(1)], &mut effects);
    assert_eq!((holder.current_share(Ms(2.0)).map(|share| share.slots), effects.counters.lost), (Some(1), 1));
}

#[test]
fn a_release_is_sent_only_after_finish_shrink() {
    let mut effects = RecordedEffects::default();
    let mut holder = holder(&mut effects);
    [1, 2].iter().for_each(|councillor| answer(&mut holder, 1.0, *councillor, &[], &mut effects));
    holder.set_target(Ms(3e3), 1, &mut effects);
    assert_eq!(holder.current_share(Ms(3e3)).map(|share| share.slots), Some(1));
    assert_eq!((effects.shrunk.len(), effects.releases, effects.proposals.len()), (1, 0, 0));
    holder.finish_shrink(Ms(3e3), &mut effects);
    assert!(effects.releases >= 3 && effects.proposals.len() == 1);
    // That the register still shows the assignment does not bring the slot back.
    holder
        .register_changed(BucketId(0), 2, &Bucket::empty(24).acquire(2, A).encode().unwrap(), &mut effects)
        .unwrap();
    assert_eq!(holder.retained_slots(), 1);
}

/// Holds two slots in each of two registers, of 28 slots in all.
fn holder_in_two_buckets(effects: &mut RecordedEffects) -> Holder {
    let mut holder = Holder::new(Ms(0.0), 5, A, config(28, 3));
    for (number, slots) in [(0, 24), (1, 4)] {
        let body = Bucket::empty(slots).acquire(2, A).encode().unwrap();
        holder.register_changed(BucketId(number), 7, &body, effects).unwrap();
    }
    holder.set_target(Ms(0.0), 4, effects);
    [1, 2].iter().for_each(|councillor| answer(&mut holder, 1.0, *councillor, &[], effects));
    assert_eq!(holder.current_share(Ms(1.0)).map(|share| share.slots), Some(4));
    holder
}

#[test]
fn a_leaving_holder_releases_all_registers_at_once_after_finish_shrink() {
    let mut effects = RecordedEffects::default();
    let mut holder = holder_in_two_buckets(&mut effects);
    holder.leave(Ms(2.0), &mut effects);
    assert_eq!((holder.current_share(Ms(2.0)), &effects.shrunk), (None, &vec![None]));
    assert_eq!(
        (effects.releases, effects.proposals.len(), holder.has_released_all()),
        (0, 0, false),
        "not before"
    );
    holder.finish_shrink(Ms(3.0), &mut effects);
    assert_eq!(effects.releases, 3, "one page with all slots to each councillor");
    let freed: Vec<_> = effects.proposals.iter().map(|(id, revision, _)| (*id, *revision)).collect();
    assert_eq!(freed, [(BucketId(0), 7), (BucketId(1), 7)]);
    for (bucket_id, _, body) in std::mem::take(&mut effects.proposals) {
        let slots = if bucket_id == BucketId(0) { 24 } else { 4 };
        assert_eq!(Bucket::decode(bucket_id, slots, &body).unwrap().free(), slots);
        holder
            .council_answered(Ms(4.0), bucket_id, Answer::Chosen { revision: 8, body }, &mut effects)
            .unwrap();
    }
    assert!(holder.has_released_all() && effects.proposals.is_empty());
}

/// Guards against slots that were requested before the holder began to leave: taken up, they would be idle
/// for a lease.
#[test]
fn a_leaving_holder_takes_no_slots_and_retries_its_release_at_once() {
    let mut effects = RecordedEffects::default();
    let mut holder = holder_in_two_buckets(&mut effects);
    holder.leave(Ms(2.0), &mut effects);
    holder.finish_shrink(Ms(2.0), &mut effects);
    effects.proposals.clear();
    let renewals = effects.renewals.len();
    holder.set_target(Ms(3.0), 4, &mut effects);
    // Another member's change came first, and so did an earlier one of this member: it is assigned five slots
    // now.
    let body = Bucket::empty(24).acquire(5, A).encode().unwrap();
    holder
        .council_answered(Ms(4.0), BucketId(0), Answer::Conflict { revision: 9, body }, &mut effects)
        .unwrap();
    let [(bucket_id, revision, body)] = &effects.proposals[..] else { panic!("{:?}", effects.proposals) };
    assert_eq!(
        (*bucket_id, *revision, Bucket::decode(*bucket_id, 24, body).unwrap().free()),
        (BucketId(0), 9, 24)
    );
    holder.handle_deadline(Ms(4_000.0), &mut effects);
    assert_eq!(
        (holder.current_share(Ms(4_000.0)), holder.retained_slots(), effects.renewals.len()),
        (None, 0, renewals)
    );
}

fn balancer(own: u32, others: &[(u64, Option<(u32, u16)>)], slots: u16) -> SlotBalancer {
    let mut balancer = SlotBalancer::new(Ms(0.0), MemberId(1), config(slots, 3));
    balancer.record_arrivals(Ms(0.0), own);
    let demand = |(need, held): (u32, u16)| Demand { need: need * 1_000, held };
    balancer.set_others(
        others.iter().map(|(id, reported)| (MemberId(*id), reported.map(demand))).collect::<BTreeMap<_, _>>(),
    );
    balancer
}

#[test_case(0, &[], 24, 24; "alone")]
#[test_case(0, &[(2, None), (3, None)], 24, 8; "no demand is known: equal shares")]
#[test_case(0, &[(2, Some((0, 0))), (3, None)], 24, 8; "one demand is known")]
#[test_case(6_000, &[(2, Some((10, 0)))], 202, 182; "ten times the arrivals")]
#[test_case(0, &[(2, Some((1_000, 0)))], 24, 1; "one slot at least")]
#[test_case(0, &[(2, None), (3, None), (4, None)], 2, 1; "more members than slots")]
fn targets_are_proportional_to_demand(
    own: u32,
    others: &[(u64, Option<(u32, u16)>)],
    slots: u16,
    target: u16,
) {
    assert_eq!(balancer(own, others, slots).targets(Ms(0.0), 0)[&MemberId(1)], target);
}

#[test_case(0, 8; "far below: all at once, from what is free")]
#[test_case(7, 8; "a little below")]
#[test_case(9, 9; "a little above, no member short")]
#[test_case(24, 16; "far above: half of the excess")]
fn the_target_changes_only_past_the_tolerance(held: u16, target: u16) {
    let mut balancer = balancer(0, &[(2, Some((0, 8))), (3, Some((0, 8)))], 24);
    assert_eq!(balancer.next_target(Ms(1e3), held), target);
    // At most one change in ten seconds.
    assert_eq!(balancer.next_target(Ms(10_999.0), target), target);
}

#[test]
fn members_within_the_tolerance_give_slots_to_a_new_member() {
    let mut balancer = balancer(0, &[(2, Some((0, 13))), (3, Some((0, 0)))], 27);
    assert_eq!(
        balancer.next_target(Ms(1e3), 10),
        9,
        "gives its part of the nine missing slots, at most half of its own excess"
    );
}
