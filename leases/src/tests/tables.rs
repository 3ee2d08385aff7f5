//! Each rule of buckets, messages and councillors by itself.

use super::config;
use crate::*;
use ottersail::time::Ms;
use test_case::test_case;

const A: (MemberId, InstanceId) = (MemberId(11), InstanceId(1));
const B: (MemberId, InstanceId) = (MemberId(12), InstanceId(2));

fn entry(epoch: u32, held: Option<(MemberId, InstanceId)>) -> SlotEntry {
    SlotEntry { epoch: Epoch(epoch), held }
}

#[test]
fn a_bucket_of_the_longest_numbers_fits_the_council_limit() {
    let mut bucket = Bucket::empty(24);
    for _ in 0..2 {
        bucket = bucket.acquire(24, (MemberId(u64::MAX), InstanceId(u64::MAX))).expire(24, |_, _| true);
    }
    let body = bucket.acquire(24, (MemberId(u64::MAX), InstanceId(u64::MAX))).encode().unwrap();
    // Epochs of one byte here; the longest have five.
    assert!(body.len() + 24 * 4 <= 600, "{}", body.len());
    assert_eq!(
        Bucket::decode(BucketId(0), 24, &body).unwrap().entry(23),
        entry(5, Some((MemberId(u64::MAX), InstanceId(u64::MAX))))
    );
}

#[test]
fn each_bucket_change_raises_only_the_epochs_of_its_slots() {
    let both = Bucket::empty(4).acquire(2, A).acquire(5, B);
    assert_eq!(
        [0, 1, 2, 3].map(|index| both.entry(index)),
        [A, A, B, B].map(|holder| entry(1, Some(holder)))
    );
    let less = both.release(&[0, 2], A);
    assert_eq!(
        [0, 1, 2].map(|index| less.entry(index)),
        [entry(2, None), entry(1, Some(A)), entry(1, Some(B))]
    );
    let gone = both.expire(1, |id, _| id == B.0);
    assert_eq!(
        [1, 2, 3].map(|index| gone.entry(index)),
        [entry(1, Some(A)), entry(2, None), entry(1, Some(B))]
    );
    assert_eq!((gone.free(), both.free()), (1, 0));
}

#[test_case(&[1, 2], 4; "truncated")]
#[test_case(&[9, 0], 0; "another version")]
#[test_case(&[1, 1, 0, 0], 4; "another number of slots")]
fn a_body_that_cannot_be_decoded_is_an_error(body: &[u8], slots: usize) {
    let error = Bucket::decode(BucketId(7), slots, body).unwrap_err();
    assert!(error.to_string().contains("Slots(7)"), "{error}");
}

#[test]
fn each_error_says_what_is_wrong_where_and_what_to_do() {
    let body = LeaseError::Body { bucket: 3, bytes: 12, what: "is cut" };
    for (error, parts) in [
        (body, ["is cut", "Slots(3), 12 bytes", "compare `slots`"]),
        (LeaseError::TooLong { bytes: 700 }, ["do not fit", "700 bytes", "report this"]),
        (
            LeaseError::Demand { bytes: 1 },
            ["can't be decoded", "a member's demand, 1 bytes", "see in the list of members"],
        ),
    ] {
        let text = error.to_string();
        assert!(parts.iter().all(|part| text.contains(part)), "{text}");
    }
}

#[test]
fn messages_fit_their_size_limits() {
    let slots = vec![(Slot(u16::MAX), Epoch(u32::MAX)); messages::SLOTS_PER_PAGE];
    let request = Renew { instance: InstanceId(u64::MAX), number: u32::MAX, slots };
    assert!(request.bytes() <= 900, "{}", request.bytes());
    let demand = Demand { need: u32::MAX, held: u16::MAX };
    let bytes = demand.encode().unwrap();
    assert!(bytes.len() <= 8);
    assert_eq!(Demand::decode(&[bytes, vec![1]].concat()), Ok(demand));
    assert_eq!(Demand::decode(&[200]), Err(LeaseError::Demand { bytes: 1 }));
}

/// A councillor that has accepted this entry of slot 0, and was asked to renew the slot for A under this
/// epoch at 20 s, long after its start at 0; and whether it granted the renewal.
fn councillor_that_renewed(epoch: u32, accepted: SlotEntry) -> (LeaseGrants, bool) {
    let mut councillor = LeaseGrants::new(Ms(0.0), config(24, 3));
    let request = Renew { instance: A.1, number: 1, slots: vec![(Slot(0), Epoch(epoch))] };
    let answer = councillor.renew(Ms(20e3), A.0, &request, |_| accepted);
    (councillor, answer.refused.is_empty())
}

#[test_case(1, entry(1, Some(A)), true; "as accepted")]
#[test_case(2, entry(1, None), true; "newer than accepted: a majority of others has it")]
#[test_case(1, entry(2, None), false; "older than accepted")]
#[test_case(1, entry(1, Some(B)), false; "another holds it")]
#[test_case(1, entry(1, Some((A.0, InstanceId(9)))), false; "another instance holds it")]
fn a_renewal_is_granted(epoch: u32, accepted: SlotEntry, granted: bool) {
    assert_eq!(councillor_that_renewed(epoch, accepted).1, granted);
}

#[test_case(20e3, entry(2, Some(B)), false; "to another at once")]
#[test_case(20e3, entry(2, None), false; "freed by another")]
#[test_case(30_199.0, entry(2, Some(B)), false; "just before its end with the margin")]
#[test_case(30_200.0, entry(2, Some(B)), true; "at its end with the margin")]
#[test_case(20e3, entry(1, Some(A)), true; "unchanged")]
fn a_renewed_slot_is_reassigned_only_after_its_lease(now: f64, to: SlotEntry, allowed: bool) {
    let (councillor, _) = councillor_that_renewed(1, entry(1, Some(A)));
    let body = |entry: SlotEntry| [vec![1, 24], postcard::to_allocvec(&entry).unwrap(), vec![0; 46]].concat();
    let from = body(entry(1, Some(A)));
    assert_eq!(councillor.allows_encoded(Ms(now), BucketId(0), &from, &body(to)), allowed);
}

#[test]
fn a_body_that_cannot_be_decoded_is_not_accepted() {
    let councillor = LeaseGrants::new(Ms(-60e3), config(24, 3));
    assert!(!councillor.allows_encoded(Ms(0.0), BucketId(0), &[], &[1, 2]));
}

#[test]
fn a_released_slot_is_free_at_once_and_never_renewed_again() {
    let (mut councillor, _) = councillor_that_renewed(1, entry(1, Some(A)));
    let (from, to) = (Bucket::empty(24).acquire(1, A), Bucket::empty(24).acquire(1, A).release(&[0], A));
    let message =
        |holder: (MemberId, InstanceId)| Release { instance: holder.1, slots: vec![(Slot(0), Epoch(1))] };
    councillor.release(Ms(20e3), B.0, &message(B));
    assert!(
        councillor.allows(Ms(20e3), BucketId(0), &from, &to).is_err(),
        "released by a member that does not hold it"
    );
    councillor.release(Ms(20e3), A.0, &message(A));
    assert_eq!(councillor.allows(Ms(20e3), BucketId(0), &from, &to), Ok(()));
    let request = Renew { instance: A.1, number: 2, slots: vec![(Slot(0), Epoch(1))] };
    assert_eq!(councillor.renew(Ms(20e3), A.0, &request, |_| entry(1, Some(A))).refused, [Slot(0)]);
}

#[test_case(entry(1, Some(A)), entry(2, Some(B)), 10_199.0, false; "held: not within a lease of the start")]
#[test_case(entry(1, Some(A)), entry(2, Some(B)), 10_200.0, true; "held: a lease after the start")]
#[test_case(entry(2, None), entry(3, Some(B)), 1.0, true; "free, and no other member had it in between")]
#[test_case(entry(2, None), entry(5, Some(B)), 1.0, false; "free here, but another may have it")]
fn after_its_start_a_councillor_reassigns_no_slot_for_a_lease(
    from: SlotEntry,
    to: SlotEntry,
    now: f64,
    allowed: bool,
) {
    let mut councillor = LeaseGrants::new(Ms(-60e3), config(24, 3));
    councillor.restart_quiet_period(Ms(0.0));
    let body = |entry: SlotEntry| [vec![1, 24], postcard::to_allocvec(&entry).unwrap(), vec![0; 46]].concat();
    assert_eq!(councillor.allows_encoded(Ms(now), BucketId(0), &body(from), &body(to)), allowed);
}
