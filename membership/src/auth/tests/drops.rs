//! Each kind of drop, and that nothing is stored for any.

use super::*;
use test_case::test_case;

const FORGED: u64 = if cfg!(debug_assertions) { 100_000 } else { 1_000_000 };

/// What a stranger without keys, or with those of another cluster or version, could send.
fn with(at: usize, byte: u8) -> Vec<u8> {
    let mut bytes = auth(A, 1).seal(Some(B), &5u32).unwrap();
    bytes[at] = byte;
    bytes
}

fn of_cluster(cluster: &str, tag: &str) -> Vec<u8> {
    let mut other = DatagramAuth::new(A, InstanceId(1), cluster, Keys::read(NEW).unwrap(), 3);
    other.tag = frame::tag_of(tag);
    other.seal(Some(B), &5u32).unwrap()
}

#[test_case(vec![] => DropReason::TooShort; "empty")]
#[test_case(with(0, VERSION)[..HEAD + MAC - 1].to_vec() => DropReason::TooShort; "a byte short of head and mac")]
#[test_case(with(0, VERSION)[..HEAD + MAC].to_vec() => DropReason::BadMac; "cut within the body")]
#[test_case([with(0, VERSION), vec![0; MAX_DATAGRAM_BYTES]].concat() => DropReason::TooLong; "too long")]
#[test_case(with(0, VERSION + 2) => DropReason::UnsupportedVersion; "two versions on")]
#[test_case(with(1, 3) => DropReason::UnsupportedVersion; "unknown kind")]
#[test_case(with(0, VERSION + 1) => DropReason::BadMac; "another version written over")]
#[test_case(of_cluster("lake", "lake") => DropReason::OtherCluster; "another cluster")]
#[test_case(of_cluster("lake", "harbour") => DropReason::BadMac; "another cluster of the same tag and keys")]
#[test_case(auth(A, 1).seal(Some(MemberId(9)), &5u32).unwrap() => DropReason::Misaddressed; "for another member")]
#[test_case(auth(B, 2).seal(None, &5u32).unwrap() => DropReason::Misaddressed; "my own come back")]
#[test_case(keyed(A, 1, OLD).seal(Some(B), &5u32).unwrap() => DropReason::BadMac; "a key not in force")]
fn strangers_are_dropped_by_kind(bytes: Vec<u8>) -> DropReason {
    let mut b = auth(B, 2);
    let Opened::Dropped(why) = open(&mut b, NOW, &bytes) else { panic!("opened") };
    assert_eq!((b.dropped(why), b.held(), b.sent.len()), (1, 0, 0));
    assert_eq!(DropReason::ALL.iter().map(|it| b.dropped(*it)).sum::<u64>(), 1);
    why
}

#[test]
fn a_replay_is_dropped_whether_plain_or_echo() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let echo = echo(&mut a, &mut b, NOW, 5);
    let plain = a.seal(Some(B), &6u32).unwrap();
    assert_eq!(open(&mut b, NOW, &echo), said(A, 1, 5));
    assert_eq!(open(&mut b, NOW, &plain), said(A, 1, 6));
    for bytes in [&echo, &plain] {
        assert_eq!(open(&mut b, NOW, bytes), dropped(DropReason::Replayed));
    }
    assert_eq!(b.dropped(DropReason::Replayed), 2);
}

#[test]
fn a_body_that_is_no_message_is_unread() {
    let (mut a, mut b) = pair();
    let bytes = a.seal(Some(B), &u64::MAX).unwrap();
    assert_eq!(open(&mut b, NOW, &bytes), dropped(DropReason::Unreadable));
}

#[test]
fn the_longest_body_passes_even_behind_a_cookie_and_one_byte_more_does_not() {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let text = "x".repeat(LONGEST_BODY - 2);
    let first = a.seal(Some(B), &text).unwrap();
    let asked = challenge(&mut b, NOW, &first);
    let again = resend(&mut a, NOW, &asked);
    assert_eq!(again.len(), MAX_DATAGRAM_BYTES);
    assert_eq!(
        b.open(NOW, &again),
        Opened::Message { from: A, instance: InstanceId(1), message: text.clone() }
    );
    let long = Err(DatagramError::Long { bytes: LONGEST_BODY + 1, most: LONGEST_BODY });
    assert_eq!(a.seal(Some(B), &format!("{text}x")), long);
    assert!(matches!(a.seal(None, &Unwritable), Err(DatagramError::Unwritable { .. })));
}

struct Unwritable;

impl Serialize for Unwritable {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeSeq;
        to.serialize_seq(None)?.end()
    }
}

/// A tenth of them without optimization; all of them in release and in the example `forged`.
#[test]
fn a_million_forged_leave_nothing_behind() {
    let (mut a, mut b) = pair();
    let held = b.held();
    let mut bytes = a.seal(Some(B), &7u32).unwrap();
    for no in 0..FORGED {
        // Each from another sender, instance and counter; the tag and the version are right.
        bytes[6..22].copy_from_slice(&[no.to_be_bytes(), no.wrapping_mul(31).to_be_bytes()].concat());
        let end = bytes.len() - 8;
        bytes[end..].copy_from_slice(&no.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
        assert_eq!(open(&mut b, NOW, &bytes), dropped(DropReason::BadMac));
    }
    assert_eq!((b.held(), b.sent.len(), b.drops.len()), (held, 0, 1));
    assert_eq!(b.dropped(DropReason::BadMac), FORGED);
    let honest = a.seal(Some(B), &8u32).unwrap();
    assert_eq!(open(&mut b, NOW, &honest), said(A, 1, 8));
}

/// Each says what is wrong, where, and what to try.
#[test]
fn every_trouble_has_three_parts() {
    let errors =
        [DatagramError::Long { bytes: 2, most: 1 }, DatagramError::Unwritable { why: "no length".into() }];
    let told =
        DropReason::ALL.iter().map(DropReason::to_string).chain(errors.iter().map(DatagramError::to_string));
    let told: Vec<_> = told.collect();
    for text in &told {
        let (wrong, advice) = text.split_once("; ").unwrap();
        assert!(wrong.starts_with("the datagram") || wrong.starts_with("the message's body"), "{text}");
        let asks = ["look for", "bring", "give", "see that", "if many", "lower", "send it", "use "];
        assert!(asks.iter().any(|it| advice.starts_with(it)), "{text}");
        assert_eq!(told.iter().filter(|it| *it == text).count(), 1, "{text}");
    }
    let names: std::collections::BTreeSet<_> = DropReason::ALL.iter().map(|it| it.name()).collect();
    assert_eq!(names.len(), DropReason::ALL.len());
    assert!(DropReason::TooLong.to_string().contains(&MAX_DATAGRAM_BYTES.to_string()));
}
