//! Each rule by itself.

use super::terms;
use crate::*;
use ottersail::time::Ms;
use test_case::test_case;

const A: (MemberId, InstanceId) = (MemberId(11), InstanceId(1));
const B: (MemberId, InstanceId) = (MemberId(12), InstanceId(2));

fn seat(epoch: u32, held: Option<(MemberId, InstanceId)>) -> SlotEntry {
    SlotEntry { epoch: Epoch(epoch), held }
}

#[test]
fn a_bucket_full_of_the_longest_numbers_fits_the_council() {
    let mut bucket = Bucket::empty(24);
    for _ in 0..2 {
        bucket = bucket.acquire(24, (MemberId(u64::MAX), InstanceId(u64::MAX))).expire(24, |_, _| true);
    }
    let body = bucket.acquire(24, (MemberId(u64::MAX), InstanceId(u64::MAX))).encode().unwrap();
    // Epochs of one byte here; the longest have five.
    assert!(body.len() + 24 * 4 <= 600, "{}", body.len());
    assert_eq!(
        Bucket::decode(BucketId(0), 24, &body).unwrap().entry(23),
        seat(5, Some((MemberId(u64::MAX), InstanceId(u64::MAX))))
    );
}

#[test]
fn a_bucket_changes_by_one_epoch_and_only_what_it_may() {
    let both = Bucket::empty(4).acquire(2, A).acquire(5, B);
    assert_eq!([0, 1, 2, 3].map(|it| both.entry(it)), [A, A, B, B].map(|it| seat(1, Some(it))));
    let less = both.release(&[0, 2], A);
    assert_eq!([0, 1, 2].map(|it| less.entry(it)), [seat(2, None), seat(1, Some(A)), seat(1, Some(B))]);
    let gone = both.expire(1, |id, _| id == B.0);
    assert_eq!([1, 2, 3].map(|it| gone.entry(it)), [seat(1, Some(A)), seat(2, None), seat(1, Some(B))]);
    assert_eq!((gone.free(), both.free()), (1, 0));
}

#[test_case(&[1, 2], 4; "cut")]
#[test_case(&[9, 0], 0; "another version")]
#[test_case(&[1, 1, 0, 0], 4; "another count of slots")]
fn a_body_that_cannot_be_read_says_so(body: &[u8], seats: usize) {
    let error = Bucket::decode(BucketId(7), seats, body).unwrap_err();
    assert!(error.to_string().contains("Slots(7)"), "{error}");
}

#[test]
fn each_error_says_what_where_and_what_to_try() {
    let body = LeaseError::Body { bucket: 3, bytes: 12, what: "is cut" };
    for (error, parts) in [
        (body, ["is cut", "Slots(3), 12 bytes", "compare `slots`"]),
        (LeaseError::Written { bytes: 700 }, ["do not fit", "700 bytes", "report this"]),
        (
            LeaseError::Demand { bytes: 1 },
            ["cannot be read", "rider on what it needs, 1 bytes", "see in the roster"],
        ),
    ] {
        let text = error.to_string();
        assert!(parts.iter().all(|it| text.contains(it)), "{text}");
    }
}

#[test]
fn messages_fit_their_datagrams() {
    let slots = vec![(Slot(u16::MAX), Epoch(u32::MAX)); messages::PAGE];
    let ask = Renew { instance: InstanceId(u64::MAX), number: u32::MAX, slots };
    assert!(ask.bytes() <= 900, "{}", ask.bytes());
    let rider = Demand { need: u32::MAX, held: u16::MAX };
    let bytes = rider.encode().unwrap();
    assert!(bytes.len() <= 8);
    assert_eq!(Demand::decode(&[bytes, vec![1]].concat()), Ok(rider));
    assert_eq!(Demand::decode(&[200]), Err(LeaseError::Demand { bytes: 1 }));
}

/// What a councillor knows of slot 0: renewed for A under epoch 1 at 20 s, long after its start at 0.
fn renewed(epoch: u32, accepted: SlotEntry) -> (LeaseGrants, bool) {
    let mut councillor = LeaseGrants::new(Ms(0.0), terms(24, 3));
    let ask = Renew { instance: A.1, number: 1, slots: vec![(Slot(0), Epoch(epoch))] };
    let answer = councillor.renew(Ms(20e3), A.0, &ask, |_| accepted);
    (councillor, answer.refused.is_empty())
}

#[test_case(1, seat(1, Some(A)), true; "as accepted")]
#[test_case(2, seat(1, None), true; "newer than accepted: a majority of others has it")]
#[test_case(1, seat(2, None), false; "older than accepted")]
#[test_case(1, seat(1, Some(B)), false; "another holds it")]
#[test_case(1, seat(1, Some((A.0, InstanceId(9)))), false; "another instance holds it")]
fn a_renewal_is_granted(epoch: u32, accepted: SlotEntry, granted: bool) {
    assert_eq!(renewed(epoch, accepted).1, granted);
}

#[test_case(20e3, seat(2, Some(B)), false; "to another at once")]
#[test_case(20e3, seat(2, None), false; "freed by another")]
#[test_case(30_199.0, seat(2, Some(B)), false; "just before its end with the margin")]
#[test_case(30_200.0, seat(2, Some(B)), true; "at its end with the margin")]
#[test_case(20e3, seat(1, Some(A)), true; "unchanged")]
fn a_renewed_slot_is_given_to_another(at: f64, to: SlotEntry, allowed: bool) {
    let (councillor, _) = renewed(1, seat(1, Some(A)));
    let body = |it: SlotEntry| [vec![1, 24], postcard::to_allocvec(&it).unwrap(), vec![0; 46]].concat();
    let from = body(seat(1, Some(A)));
    assert_eq!(councillor.allows_encoded(Ms(at), BucketId(0), &from, &body(to)), allowed);
}

#[test]
fn a_body_that_cannot_be_read_is_not_accepted() {
    let councillor = LeaseGrants::new(Ms(-60e3), terms(24, 3));
    assert!(!councillor.allows_encoded(Ms(0.0), BucketId(0), &[], &[1, 2]));
}

#[test]
fn a_released_slot_is_free_at_once_and_not_renewed_again() {
    let (mut councillor, _) = renewed(1, seat(1, Some(A)));
    let (from, to) = (Bucket::empty(24).acquire(1, A), Bucket::empty(24).acquire(1, A).release(&[0], A));
    let message = |who: (MemberId, InstanceId)| Release { instance: who.1, slots: vec![(Slot(0), Epoch(1))] };
    councillor.release(Ms(20e3), B.0, &message(B));
    assert!(
        councillor.allows(Ms(20e3), BucketId(0), &from, &to).is_err(),
        "released by one who holds it not"
    );
    councillor.release(Ms(20e3), A.0, &message(A));
    assert_eq!(councillor.allows(Ms(20e3), BucketId(0), &from, &to), Ok(()));
    let ask = Renew { instance: A.1, number: 2, slots: vec![(Slot(0), Epoch(1))] };
    assert_eq!(councillor.renew(Ms(20e3), A.0, &ask, |_| seat(1, Some(A))).refused, [Slot(0)]);
}

#[test_case(seat(1, Some(A)), seat(2, Some(B)), 10_199.0, false; "held: not within a lease of the start")]
#[test_case(seat(1, Some(A)), seat(2, Some(B)), 10_200.0, true; "held: a lease after the start")]
#[test_case(seat(2, None), seat(3, Some(B)), 1.0, true; "free, and nobody had it in between")]
#[test_case(seat(2, None), seat(5, Some(B)), 1.0, false; "free here, but another may have it")]
fn after_its_start_a_councillor_gives_nothing_away(from: SlotEntry, to: SlotEntry, at: f64, allowed: bool) {
    let mut councillor = LeaseGrants::new(Ms(-60e3), terms(24, 3));
    councillor.restart_quiet_period(Ms(0.0));
    let body = |it: SlotEntry| [vec![1, 24], postcard::to_allocvec(&it).unwrap(), vec![0; 46]].concat();
    assert_eq!(councillor.allows_encoded(Ms(at), BucketId(0), &body(from), &body(to)), allowed);
}
