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

fn keyed(me: MemberId, instance: u64, keys: &str) -> DatagramAuth {
    DatagramAuth::new(me, InstanceId(instance), "harbour", Keys::read(keys).unwrap(), instance ^ 7)
}

fn auth(me: MemberId, instance: u64) -> DatagramAuth {
    keyed(me, instance, NEW)
}

/// Opened as the messages of these tests: a number each.
fn open(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Opened<u32> {
    auth.open(now, bytes)
}

fn said(from: MemberId, instance: u64, message: u32) -> Opened<u32> {
    Opened::Message { from, instance: InstanceId(instance), message }
}

fn dropped(why: DropReason) -> Opened<u32> {
    Opened::Dropped(why)
}

fn challenge(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Vec<u8> {
    match open(auth, now, bytes) {
        Opened::Challenge(it) => it,
        other => panic!("no challenge: {other:?}"),
    }
}

fn resend(auth: &mut DatagramAuth, now: Ms, bytes: &[u8]) -> Vec<u8> {
    match open(auth, now, bytes) {
        Opened::Resend(it) => it,
        other => panic!("nothing sent again: {other:?}"),
    }
}

/// The first datagram from one to another, up to the echo, which is not opened yet.
fn echo(from: &mut DatagramAuth, to: &mut DatagramAuth, now: Ms, message: u32) -> Vec<u8> {
    let first = from.seal(Some(to.me), &message).unwrap();
    let asked = challenge(to, now, &first);
    resend(from, now, &asked)
}

/// Two that know each other.
fn pair() -> (DatagramAuth, DatagramAuth) {
    let (mut a, mut b) = (auth(A, 1), auth(B, 2));
    let echo = echo(&mut a, &mut b, NOW, 5);
    assert_eq!(open(&mut b, NOW, &echo), said(A, 1, 5));
    (a, b)
}
