//! Datagrams of the previous version, of this one and of the next. The fixtures are never changed: a change
//! that needs other ones makes members that can't understand each other.

use super::*;
use crate::{Body, Incarnation, Message, Piggyback, Topic};
use serde::Deserialize;
use test_case::test_case;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Previous {
    number: u32,
    name: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Current {
    number: u32,
    name: String,
    site: Option<u8>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Next {
    number: u32,
    name: String,
    site: Option<u8>,
    list: Vec<u16>,
    on: bool,
}

fn previous() -> Previous {
    Previous { number: 300, name: "otter".into() }
}

fn current(site: Option<u8>) -> Current {
    Current { number: 300, name: "otter".into(), site }
}

fn next(site: Option<u8>, list: &[u16], on: bool) -> Next {
    Next { number: 300, name: "otter".into(), site, list: list.into(), on }
}

const PREVIOUS_BYTES: &str =
    "0000aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657200000000\
     000000000000000000000000bc33e14cd657fa05a9fbd54c309799a8";
const CURRENT_BYTES: &str =
    "0100aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657201070000\
     0000000000000000000000009cad3635ce5749dedfd74cbcbb7e883a";
const NEXT_BYTES: &str =
    "0200aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657201070109\
     0100000000000000000000004974bb9f1a61b7cc207a4191402373ef";

fn with_version(own_id: MemberId, version: u8) -> DatagramAuth {
    DatagramAuth { version, ..auth(own_id, 1) }
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// A receiver that has verified the sender of the fixtures.
fn reader(version: u8) -> DatagramAuth {
    let mut b = with_version(B, version);
    b.instances.verify(NOW, (A, InstanceId(1)), 0).unwrap();
    b
}

fn opened<T: DeserializeOwned>(version: u8, hex: &str) -> Result<T, DropReason> {
    match reader(version).open(NOW, &bytes_of(hex)) {
        Opened::Message { from: A, instance: InstanceId(1), message } => Ok(message),
        Opened::Dropped(reason) => Err(reason),
        _ => panic!("a challenge or a repeated message"),
    }
}

#[test]
fn each_version_is_written_as_in_the_fixture() {
    let sealed = |version, bytes: fn(&mut DatagramAuth) -> Vec<u8>| {
        let bytes = bytes(&mut with_version(A, version));
        bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    assert_eq!(sealed(VERSION - 1, |auth| auth.seal(Some(B), &previous()).unwrap()), PREVIOUS_BYTES);
    assert_eq!(sealed(VERSION, |auth| auth.seal(Some(B), &current(Some(7))).unwrap()), CURRENT_BYTES);
    assert_eq!(
        sealed(VERSION + 1, |auth| auth.seal(Some(B), &next(Some(7), &[9], true)).unwrap()),
        NEXT_BYTES
    );
}

#[test]
fn one_version_older_or_newer_is_read() {
    assert_eq!(opened(VERSION, PREVIOUS_BYTES), Ok(current(None)));
    assert_eq!(opened(VERSION, CURRENT_BYTES), Ok(current(Some(7))));
    assert_eq!(opened(VERSION, NEXT_BYTES), Ok(current(Some(7))));
    assert_eq!(opened(VERSION + 1, CURRENT_BYTES), Ok(next(Some(7), &[], false)));
    assert_eq!(opened(VERSION - 1, CURRENT_BYTES), Ok(previous()));
}

#[test_case(VERSION + 1, PREVIOUS_BYTES; "two back")]
#[test_case(VERSION - 1, NEXT_BYTES; "two on")]
fn two_versions_away_is_dropped(version: u8, hex: &str) {
    assert_eq!(opened::<Previous>(version, hex), Err(DropReason::UnsupportedVersion));
}

/// A long body has no zeros at its end, unlike a short one, which is padded.
#[test]
fn a_field_that_is_missing_after_a_long_body_reads_as_zero() {
    let mut a = with_version(A, VERSION - 1);
    let name = "o".repeat(200);
    let bytes = a.seal(Some(B), &Previous { number: 1, name: name.clone() }).unwrap();
    let message = Next { number: 1, name, site: None, list: vec![], on: false };
    let expected = Opened::Message { from: A, instance: InstanceId(1), message };
    assert_eq!(reader(VERSION).open(NOW, &bytes), expected);
}

/// A message of the membership protocol as its payload.
#[test]
fn a_membership_message_passes() {
    let piggybacks = vec![Piggyback { topic: Topic(3), bytes: vec![1, 2] }];
    let body = Body::Probe { number: 9, to: B, instance: InstanceId(2) };
    let message = Message { incarnation: Incarnation(4), body, updates: vec![], piggybacks };
    let (mut a, mut b) = pair();
    let bytes = a.seal(Some(B), &message).unwrap();
    assert_eq!(b.open(NOW, &bytes), Opened::Message { from: A, instance: InstanceId(1), message });
}
