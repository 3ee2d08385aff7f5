//! Tests of the authentication of datagrams between members A and B.

use super::*;

mod challenge;
mod drops;
mod random_datagrams;
mod versions;

const NEW: &str = "new MDEyMzQ1Njc4OWFiY2RlZg";
const OLD: &str = "old ZmVkY2JhOTg3NjU0MzIxMA";
const A: MemberId = MemberId(0xa1);
const B: MemberId = MemberId(0xb2);
const NOW: Ms = Ms(60_000.0);

fn keyed(own_id: MemberId, instance: u64, keys: &str) -> DatagramAuth {
    DatagramAuth::new(own_id, InstanceId(instance), "harbour", Keys::read(keys).unwrap(), instance ^ 7)
}

fn auth(own_id: MemberId, instance: u64) -> DatagramAuth {
    keyed(own_id, instance, NEW)
}

/// Opens a datagram whose message is a number.
fn open(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Opened<u32> {
    auth.open(now, bytes)
}

fn accepted(from: MemberId, instance: u64, message: u32) -> Opened<u32> {
    Opened::Message { from, instance: InstanceId(instance), message }
}

fn dropped(reason: DropReason) -> Opened<u32> {
    Opened::Dropped(reason)
}

fn challenge(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Vec<u8> {
    match open(auth, now, bytes) {
        Opened::Challenge(bytes) => bytes,
        other => panic!("no challenge: {other:?}"),
    }
}

fn resend(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Vec<u8> {
    match open(auth, now, bytes) {
        Opened::Resend(bytes) => bytes,
        other => panic!("no message was sent again: {other:?}"),
    }
}

/// Sends a first datagram and a challenge; returns the echo, which the receiver has not opened yet.
fn echo(from: &mut DatagramAuth, to: &mut DatagramAuth, now: Ms, message: u32) -> Vec<u8> {
    let first = from.seal(Some(to.own_id), &message).unwrap();
    let challenged = challenge(to, now, &first);
    resend(from, now, &challenged)
}

/// Two members that have verified each other.
fn pair() -> (DatagramAuth, DatagramAuth) {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let echo = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &echo), accepted(A, 1, 5));
    (a, b)
}
