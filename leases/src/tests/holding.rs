//! A holder's and its needs' rules, each by itself.

use super::terms;
use crate::*;
use ottersail::time::Ms;
use std::collections::BTreeMap;
use test_case::test_case;

const A: (MemberId, InstanceId) = (MemberId(11), InstanceId(1));

/// Notes all that is wished.
#[derive(Default)]
struct Wished {
    renewals: Vec<(MemberId, Renew)>,
    releases: usize,
    proposals: Vec<(BucketId, u64, Vec<u8>)>,
    shrunk: Vec<Option<SlotShare>>,
    figures: Counters,
}

impl Effects for Wished {
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
    fn shrink(&mut self, part: Option<SlotShare>) {
        self.shrunk.push(part);
    }
    fn note(&mut self, note: LeaseEvent) {
        self.figures.count(note);
    }
}

/// A holds slots 0 and 1 of 24; asked all three councillors at 0.
fn holder(out: &mut Wished) -> Holder {
    let mut holder = Holder::new(Ms(0.0), 5, A, terms(24, 3));
    holder.register_changed(BucketId(0), 1, &Bucket::empty(24).acquire(2, A).encode().unwrap(), out).unwrap();
    holder.set_target(Ms(0.0), 2, out);
    holder
}

fn answer(holder: &mut Holder, at: f64, from: u64, refused: &[Slot], out: &mut Wished) {
    let answer = Renewed { instance: A.1, number: 1, refused: refused.to_vec() };
    holder.renewed(Ms(at), MemberId(from), &answer, out);
}

#[test_case(&[1], 0; "one of three is not enough")]
#[test_case(&[1, 1], 0; "one twice is one")]
#[test_case(&[1, 9], 0; "one who is no councillor does not count")]
#[test_case(&[1, 3], 2; "two are")]
fn a_majority_renews(from: &[u64], slots: u16) {
    let mut out = Wished::default();
    let mut holder = holder(&mut out);
    assert_eq!(out.renewals.len(), 3);
    from.iter().for_each(|it| answer(&mut holder, 4e3, *it, &[], &mut out));
    let part = holder.current_share(Ms(4e3));
    assert_eq!(part.map_or(0, |it| it.slots), slots);
    // From the sending, not from the answer; and a look at its end finds none.
    let ends = part.map(|it| it.until);
    assert!(ends.is_none_or(|it| it == Timestamp(Ms(9_800.0))), "{ends:?}");
    assert_eq!(holder.current_share(Ms(9_800.0)), None);
}

#[test]
fn a_slot_that_a_majority_refuses_is_lost_at_once() {
    let mut out = Wished::default();
    let mut holder = holder(&mut out);
    [1, 2].iter().for_each(|it| answer(&mut holder, 1.0, *it, &[], &mut out));
    answer(&mut holder, 2.0, 1, &[Slot(1)], &mut out);
    assert_eq!(holder.current_share(Ms(2.0)).map(|it| it.slots), Some(2));
    answer(&mut holder, 2.0, 3, &[Slot(1)], &mut out);
    assert_eq!((holder.current_share(Ms(2.0)).map(|it| it.slots), out.figures.lost), (Some(1), 1));
}

#[test]
fn the_council_hears_of_a_release_only_after_the_stop() {
    let mut out = Wished::default();
    let mut holder = holder(&mut out);
    [1, 2].iter().for_each(|it| answer(&mut holder, 1.0, *it, &[], &mut out));
    holder.set_target(Ms(3e3), 1, &mut out);
    assert_eq!(holder.current_share(Ms(3e3)).map(|it| it.slots), Some(1));
    assert_eq!((out.shrunk.len(), out.releases, out.proposals.len()), (1, 0, 0));
    holder.finish_shrink(Ms(3e3), &mut out);
    assert!(out.releases >= 3 && out.proposals.len() == 1);
    // What the register still says does not bring it back.
    holder
        .register_changed(BucketId(0), 2, &Bucket::empty(24).acquire(2, A).encode().unwrap(), &mut out)
        .unwrap();
    assert_eq!(holder.retained_slots(), 1);
}

/// Slots of 28 in two registers, two in each.
fn holds_in_two(out: &mut Wished) -> Holder {
    let mut holder = Holder::new(Ms(0.0), 5, A, terms(28, 3));
    for (no, seats) in [(0, 24), (1, 4)] {
        let body = Bucket::empty(seats).acquire(2, A).encode().unwrap();
        holder.register_changed(BucketId(no), 7, &body, out).unwrap();
    }
    holder.set_target(Ms(0.0), 4, out);
    [1, 2].iter().for_each(|it| answer(&mut holder, 1.0, *it, &[], out));
    assert_eq!(holder.current_share(Ms(1.0)).map(|it| it.slots), Some(4));
    holder
}

#[test]
fn who_ends_holds_nothing_and_gives_back_all_registers_at_once_after_the_stop() {
    let mut out = Wished::default();
    let mut holder = holds_in_two(&mut out);
    holder.leave(Ms(2.0), &mut out);
    assert_eq!((holder.current_share(Ms(2.0)), &out.shrunk), (None, &vec![None]));
    assert_eq!((out.releases, out.proposals.len(), holder.has_released_all()), (0, 0, false), "not before");
    holder.finish_shrink(Ms(3.0), &mut out);
    assert_eq!(out.releases, 3, "all in one page to each councillor");
    let freed: Vec<_> = out.proposals.iter().map(|it| (it.0, it.1)).collect();
    assert_eq!(freed, [(BucketId(0), 7), (BucketId(1), 7)]);
    for (no, _, body) in std::mem::take(&mut out.proposals) {
        let seats = if no == BucketId(0) { 24 } else { 4 };
        assert_eq!(Bucket::decode(no, seats, &body).unwrap().free(), seats);
        holder.council_answered(Ms(4.0), no, Answer::Chosen { revision: 8, body }, &mut out).unwrap();
    }
    assert!(holder.has_released_all() && out.proposals.is_empty());
}

/// Symptom without that: what was asked for before comes after all, and lies idle for a lease.
#[test]
fn who_ends_takes_nothing_up_any_more_and_tries_again_at_once() {
    let mut out = Wished::default();
    let mut holder = holds_in_two(&mut out);
    holder.leave(Ms(2.0), &mut out);
    holder.finish_shrink(Ms(2.0), &mut out);
    out.proposals.clear();
    let renewals = out.renewals.len();
    holder.set_target(Ms(3.0), 4, &mut out);
    // Another's change came before, and so did an own one: five seats are this member's now.
    let body = Bucket::empty(24).acquire(5, A).encode().unwrap();
    holder.council_answered(Ms(4.0), BucketId(0), Answer::Conflict { revision: 9, body }, &mut out).unwrap();
    let [(no, revision, body)] = &out.proposals[..] else { panic!("{:?}", out.proposals) };
    assert_eq!((*no, *revision, Bucket::decode(*no, 24, body).unwrap().free()), (BucketId(0), 9, 24));
    holder.handle_deadline(Ms(4_000.0), &mut out);
    assert_eq!(
        (holder.current_share(Ms(4_000.0)), holder.retained_slots(), out.renewals.len()),
        (None, 0, renewals)
    );
}

fn needs(own: u32, others: &[(u64, Option<(u32, u16)>)], slots: u16) -> SlotBalancer {
    let mut needs = SlotBalancer::new(Ms(0.0), MemberId(1), terms(slots, 3));
    needs.record_arrivals(Ms(0.0), own);
    let rider = |it: (u32, u16)| Demand { need: it.0 * 1_000, held: it.1 };
    needs.set_others(others.iter().map(|it| (MemberId(it.0), it.1.map(rider))).collect::<BTreeMap<_, _>>());
    needs
}

#[test_case(0, &[], 24, 24; "alone")]
#[test_case(0, &[(2, None), (3, None)], 24, 8; "nothing is known: equal parts")]
#[test_case(0, &[(2, Some((0, 0))), (3, None)], 24, 8; "little is known")]
#[test_case(6_000, &[(2, Some((10, 0)))], 202, 182; "ten times the arrivals")]
#[test_case(0, &[(2, Some((1_000, 0)))], 24, 1; "one slot at least")]
#[test_case(0, &[(2, None), (3, None), (4, None)], 2, 1; "more members than slots")]
fn parts_go_by_need(own: u32, others: &[(u64, Option<(u32, u16)>)], slots: u16, target: u16) {
    assert_eq!(needs(own, others, slots).targets(Ms(0.0), 0)[&MemberId(1)], target);
}

#[test_case(0, 8; "far below: all at once, from what is free")]
#[test_case(7, 8; "a little below")]
#[test_case(9, 9; "a little above, nobody short")]
#[test_case(24, 16; "far above: half of what is too much")]
fn an_aim_waits_for_a_quarter(held: u16, aim: u16) {
    let mut needs = needs(0, &[(2, Some((0, 8))), (3, Some((0, 8)))], 24);
    assert_eq!(needs.next_target(Ms(1e3), held), aim);
    // One change in ten seconds.
    assert_eq!(needs.next_target(Ms(10_999.0), aim), aim);
}

#[test]
fn the_fullest_give_to_a_newcomer_within_the_band() {
    let mut needs = needs(0, &[(2, Some((0, 13))), (3, Some((0, 0)))], 27);
    assert_eq!(
        needs.next_target(Ms(1e3), 10),
        9,
        "its part of the nine that are short, no more than half its own excess"
    );
}
