//! Every reason for a drop, and that nothing is stored for dropped datagrams.

use super::*;
use test_case::test_case;

/// Forged datagrams of one test.
const FORGED: u64 = if cfg!(debug_assertions) { 100_000 } else { 1_000_000 };

/// A valid datagram with one byte changed.
fn with_byte(at: usize, byte: u8) -> Vec<u8> {
    let mut bytes = auth(A, 1).seal(Some(B), &5u32).unwrap();
    bytes[at] = byte;
    bytes
}

fn from_cluster(cluster: &str, tag: &str) -> Vec<u8> {
    let mut other = DatagramAuth::new(A, InstanceId(1), cluster, Keys::read(NEW).unwrap(), 3);
    other.cluster_tag = frame::cluster_tag(tag);
    other.seal(Some(B), &5u32).unwrap()
}

#[test_case(vec![] => DropReason::TooShort; "empty")]
#[test_case(with_byte(0, VERSION)[..HEADER_BYTES + MAC_BYTES - 1].to_vec() => DropReason::TooShort; "a byte shorter than header and MAC")]
#[test_case(with_byte(0, VERSION)[..HEADER_BYTES + MAC_BYTES].to_vec() => DropReason::BadMac; "cut within the body")]
#[test_case([with_byte(0, VERSION), vec![0; MAX_DATAGRAM_BYTES]].concat() => DropReason::TooLong; "too long")]
#[test_case(with_byte(0, VERSION + 2) => DropReason::UnsupportedVersion; "two versions on")]
#[test_case(with_byte(1, 3) => DropReason::UnsupportedVersion; "unknown kind")]
#[test_case(with_byte(0, VERSION + 1) => DropReason::BadMac; "another version written over")]
#[test_case(from_cluster("lake", "lake") => DropReason::OtherCluster; "another cluster")]
#[test_case(from_cluster("lake", "harbour") => DropReason::BadMac; "another cluster of the same tag and keys")]
#[test_case(auth(A, 1).seal(Some(MemberId(9)), &5u32).unwrap() => DropReason::Misaddressed; "for another member")]
#[test_case(auth(B, 2).seal(None, &5u32).unwrap() => DropReason::Misaddressed; "the own datagram sent back")]
#[test_case(keyed(A, 1, OLD).seal(Some(B), &5u32).unwrap() => DropReason::BadMac; "a key that is not current")]
fn invalid_datagrams_are_dropped_by_reason(bytes: Vec<u8>) -> DropReason {
    let mut b = auth(B, 2);
    let Opened::Dropped(reason) = open(&mut b, NOW, &bytes) else { panic!("opened") };
    assert_eq!((b.dropped(reason), b.instance_count(), b.sent.len()), (1, 0, 0));
    assert_eq!(DropReason::ALL.iter().map(|reason| b.dropped(*reason)).sum::<u64>(), 1);
    reason
}

#[test]
fn a_replay_is_dropped_whether_plain_or_echo() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let echo = echo(&mut a, &mut b, NOW, 5);
    let plain = a.seal(Some(B), &6u32).unwrap();
    assert_eq!(open(&mut b, NOW, &echo), accepted(A, 1, 5));
    assert_eq!(open(&mut b, NOW, &plain), accepted(A, 1, 6));
    for bytes in [&echo, &plain] {
        assert_eq!(open(&mut b, NOW, bytes), dropped(DropReason::Replayed));
    }
    assert_eq!(b.dropped(DropReason::Replayed), 2);
}

#[test]
fn a_body_that_is_not_a_message_is_unreadable() {
    let (mut a, mut b) = pair();
    let bytes = a.seal(Some(B), &u64::MAX).unwrap();
    assert_eq!(open(&mut b, NOW, &bytes), dropped(DropReason::Unreadable));
}

#[test]
fn the_longest_body_passes_even_behind_a_cookie_and_one_byte_more_does_not() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let text = "x".repeat(MAX_BODY_BYTES - 2);
    let first = a.seal(Some(B), &text).unwrap();
    let challenged = challenge(&mut b, NOW, &first);
    let resent = resend(&mut a, NOW, &challenged);
    assert_eq!(resent.len(), MAX_DATAGRAM_BYTES);
    assert_eq!(
        b.open(NOW, &resent),
        Opened::Message { from: A, instance: InstanceId(1), message: text.clone() }
    );
    let long = Err(DatagramError::TooLong { bytes: MAX_BODY_BYTES + 1, most: MAX_BODY_BYTES });
    assert_eq!(a.seal(Some(B), &format!("{text}x")), long);
    assert!(matches!(a.seal(None, &Unencodable), Err(DatagramError::Unencodable { .. })));
}

struct Unencodable;

impl Serialize for Unencodable {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeSeq;
        to.serialize_seq(None)?.end()
    }
}

/// 100,000 datagrams without optimization, a million in release builds.
#[test]
fn a_million_forged_datagrams_store_nothing() {
    let (mut a, mut b) = pair();
    let stored = b.instance_count();
    let mut bytes = a.seal(Some(B), &7u32).unwrap();
    for number in 0..FORGED {
        // Each from another sender, instance and counter; the tag and the version are right.
        bytes[6..22].copy_from_slice(&[number.to_be_bytes(), number.wrapping_mul(31).to_be_bytes()].concat());
        let end = bytes.len() - 8;
        bytes[end..].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
        assert_eq!(open(&mut b, NOW, &bytes), dropped(DropReason::BadMac));
    }
    assert_eq!((b.instance_count(), b.sent.len(), b.drops.len()), (stored, 0, 1));
    assert_eq!(b.dropped(DropReason::BadMac), FORGED);
    let honest = a.seal(Some(B), &8u32).unwrap();
    assert_eq!(open(&mut b, NOW, &honest), accepted(A, 1, 8));
}

/// Each text says what is wrong and what to do about it.
#[test]
fn every_error_says_what_is_wrong_and_what_to_do() {
    let errors = [
        DatagramError::TooLong { bytes: 2, most: 1 },
        DatagramError::Unencodable { why: "no length".into() },
    ];
    let texts =
        DropReason::ALL.iter().map(DropReason::to_string).chain(errors.iter().map(DatagramError::to_string));
    let texts: Vec<_> = texts.collect();
    for text in &texts {
        let (wrong, advice) = text.split_once("; ").unwrap();
        assert!(wrong.starts_with("the datagram") || wrong.starts_with("the message's body"), "{text}");
        let verbs = ["look for", "bring", "give", "see that", "if many", "lower", "send it", "use "];
        assert!(verbs.iter().any(|verb| advice.starts_with(verb)), "{text}");
        assert_eq!(texts.iter().filter(|other| *other == text).count(), 1, "{text}");
    }
    let names: std::collections::BTreeSet<_> = DropReason::ALL.iter().map(|reason| reason.name()).collect();
    assert_eq!(names.len(), DropReason::ALL.len());
    assert!(DropReason::TooLong.to_string().contains(&MAX_DATAGRAM_BYTES.to_string()));
}
