//! Bytes of the version before, of this one and of the next. The fixtures are never changed: whoever needs
//! others has made members that don't understand each other.

use super::*;
use crate::{Body, Incarnation, Message, Piggyback, Topic};
use serde::Deserialize;
use test_case::test_case;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Before {
    number: u32,
    name: String,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Today {
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

fn before() -> Before {
    Before { number: 300, name: "otter".into() }
}

fn today(site: Option<u8>) -> Today {
    Today { number: 300, name: "otter".into(), site }
}

fn next(site: Option<u8>, list: &[u16], on: bool) -> Next {
    Next { number: 300, name: "otter".into(), site, list: list.into(), on }
}

const OF_BEFORE: &str =
    "0000aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657200000000\
     000000000000000000000000bc33e14cd657fa05a9fbd54c309799a8";
const OF_TODAY: &str =
    "0100aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657201070000\
     0000000000000000000000009cad3635ce5749dedfd74cbcbb7e883a";
const OF_NEXT: &str =
    "0200aa74f6fd00000000000000a1000000000000000100000000000000b20000000000000001ac02056f7474657201070109\
     0100000000000000000000004974bb9f1a61b7cc207a4191402373ef";

fn speaking(me: MemberId, version: u8) -> DatagramAuth {
    DatagramAuth { version, ..auth(me, 1) }
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// A auth to which the sender of the fixtures is known.
fn reader(version: u8) -> DatagramAuth {
    let mut b = speaking(B, version);
    b.lives.believe(NOW, (A, InstanceId(1)), 0).unwrap();
    b
}

fn opened<T: DeserializeOwned>(version: u8, hex: &str) -> Result<T, DropReason> {
    match reader(version).open(NOW, &bytes_of(hex)) {
        Opened::Message { from: A, instance: InstanceId(1), message } => Ok(message),
        Opened::Dropped(why) => Err(why),
        _ => panic!("asked for more"),
    }
}

#[test]
fn each_version_is_written_as_it_always_was() {
    let wrote = |version, bytes: fn(&mut DatagramAuth) -> Vec<u8>| {
        let bytes = bytes(&mut speaking(A, version));
        bytes.iter().map(|it| format!("{it:02x}")).collect::<String>()
    };
    assert_eq!(wrote(VERSION - 1, |it| it.seal(Some(B), &before()).unwrap()), OF_BEFORE);
    assert_eq!(wrote(VERSION, |it| it.seal(Some(B), &today(Some(7))).unwrap()), OF_TODAY);
    assert_eq!(wrote(VERSION + 1, |it| it.seal(Some(B), &next(Some(7), &[9], true)).unwrap()), OF_NEXT);
}

#[test]
fn one_version_back_and_forth_is_read() {
    assert_eq!(opened(VERSION, OF_BEFORE), Ok(today(None)));
    assert_eq!(opened(VERSION, OF_TODAY), Ok(today(Some(7))));
    assert_eq!(opened(VERSION, OF_NEXT), Ok(today(Some(7))));
    assert_eq!(opened(VERSION + 1, OF_TODAY), Ok(next(Some(7), &[], false)));
    assert_eq!(opened(VERSION - 1, OF_TODAY), Ok(before()));
}

#[test_case(VERSION + 1, OF_BEFORE; "two back")]
#[test_case(VERSION - 1, OF_NEXT; "two on")]
fn two_versions_away_is_dropped(version: u8, hex: &str) {
    assert_eq!(opened::<Before>(version, hex), Err(DropReason::UnsupportedVersion));
}

/// A body without the zeros that a short one is filled up with: a long one has none.
#[test]
fn a_field_that_is_missing_after_a_long_body_reads_as_zero() {
    let mut a = speaking(A, VERSION - 1);
    let name = "o".repeat(200);
    let bytes = a.seal(Some(B), &Before { number: 1, name: name.clone() }).unwrap();
    let message = Next { number: 1, name, site: None, list: vec![], on: false };
    let wanted = Opened::Message { from: A, instance: InstanceId(1), message };
    assert_eq!(reader(VERSION).open(NOW, &bytes), wanted);
}

/// The members' own message, by both ways of being sent.
#[test]
fn a_members_message_passes() {
    let piggybacks = vec![Piggyback { topic: Topic(3), bytes: vec![1, 2] }];
    let body = Body::Probe { number: 9, to: B, instance: InstanceId(2) };
    let message = Message { incarnation: Incarnation(4), body, updates: vec![], piggybacks };
    let (mut a, mut b) = pair();
    let bytes = a.seal(Some(B), &message).unwrap();
    assert_eq!(b.open(NOW, &bytes), Opened::Message { from: A, instance: InstanceId(1), message });
}
