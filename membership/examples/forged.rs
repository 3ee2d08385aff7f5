//! What the auth costs: datagrams opened, and forged ones dropped, as ratios to sealing in the same run.
//! `cargo run --release -p ottersail-membership --example forged`

use ottersail::time::Ms;
use ottersail_membership::auth::{DatagramAuth, DatagramError, DropReason, Opened};
use ottersail_membership::{Body, Incarnation, InstanceId, MemberId, Message};
use ottersail_signed_urls::{Keys, Unusable};
use std::time::Instant;
use thiserror::Error;

const COUNT: u32 = 1_000_000;
const ROUNDS: usize = 5;
const FLOOD: f64 = 50_000.0;
const A: MemberId = MemberId(0xa1);
const B: MemberId = MemberId(0xb2);
const NOW: Ms = Ms(60_000.0);

#[derive(Debug, Error)]
enum Trouble {
    #[error("the example's keys can't be read: {0}")]
    Keys(#[from] Unusable),
    #[error("the example's message can't be sealed: {0}")]
    DatagramAuth(#[from] DatagramError),
    #[error("the auth in the example {0}; run the package's tests")]
    Gone(&'static str),
}

fn auth(me: MemberId, keys: &str) -> Result<DatagramAuth, Trouble> {
    Ok(DatagramAuth::new(me, InstanceId(me.0), "harbour", Keys::read(keys)?, me.0))
}

/// A probe, as most datagrams are.
fn probe(number: u32) -> Message {
    let body = Body::Probe { number, to: B, instance: InstanceId(B.0) };
    Message { incarnation: Incarnation(1), body, updates: vec![], piggybacks: vec![] }
}

/// Nanoseconds each, at the best of some rounds: other processes only ever make it slower.
fn best(mut each: impl FnMut(u32) -> Result<(), Trouble>) -> Result<f64, Trouble> {
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        (0..COUNT / ROUNDS as u32).try_for_each(&mut each)?;
        best = best.min(start.elapsed().as_secs_f64() * 1e9 / f64::from(COUNT / ROUNDS as u32));
    }
    Ok(best)
}

/// Opens one that has to be dropped for that reason.
fn drop_one(auth: &mut DatagramAuth, bytes: &[u8], why: DropReason) -> Result<(), Trouble> {
    match auth.open::<Message>(NOW, bytes) {
        Opened::Dropped(it) if it == why => Ok(()),
        _ => Err(Trouble::Gone("did not drop what it should")),
    }
}

fn run(keys: &str, name: &str) -> Result<(), Trouble> {
    let (mut a, mut b) = (auth(A, keys)?, auth(B, keys)?);
    let first = a.seal(Some(B), &probe(0))?;
    let Opened::Challenge(asked) = b.open::<Message>(NOW, &first) else {
        return Err(Trouble::Gone("asked for no cookie"));
    };
    let Opened::Resend(echo) = a.open::<Message>(NOW, &asked) else {
        return Err(Trouble::Gone("sent no cookie"));
    };
    b.open::<Message>(NOW, &echo);

    let sealing = best(|no| a.seal(Some(B), &probe(no)).map(drop).map_err(Trouble::from))?;
    let mut sent =
        (0..COUNT).map(|no| a.seal(Some(B), &probe(no))).collect::<Result<Vec<_>, _>>()?.into_iter();
    let opening = best(|_| match sent.next().map(|it| b.open::<Message>(NOW, &it)) {
        Some(Opened::Message { .. }) => Ok(()),
        _ => Err(Trouble::Gone("did not open a good datagram")),
    })?;

    let honest = a.seal(Some(B), &probe(1))?;
    let held = b.held();
    let forged = best(|no| {
        let mut bytes = honest.clone();
        bytes[6..10].copy_from_slice(&(no + 1).to_be_bytes());
        drop_one(&mut b, &bytes, DropReason::BadMac)
    })?;
    let mut long = honest.clone();
    long.resize(1_200, 0);
    let long = best(|_| drop_one(&mut b, &long, DropReason::BadMac))?;
    let mut other = honest.clone();
    other[2] ^= 1;
    let cluster = best(|_| drop_one(&mut b, &other, DropReason::OtherCluster))?;
    b.open::<Message>(NOW, &honest);
    let replayed = best(|_| drop_one(&mut b, &honest, DropReason::Replayed))?;
    // Of a instance that is no more: signed well, and asked for a cookie each time.
    let mut fresh = auth(B, keys)?;
    let asked = best(|_| match fresh.open::<Message>(NOW, &honest) {
        Opened::Challenge(_) => Ok(()),
        _ => Err(Trouble::Gone("asked for no cookie")),
    })?;
    if (b.held(), fresh.held()) != (held, 0) {
        return Err(Trouble::Gone("stored something of a stranger"));
    }

    println!("{name}: {} bytes; entries stored by {COUNT} forged: {}", honest.len(), b.held() - held);
    let rows = [
        ("sealed", sealing),
        ("opened", opening),
        ("forged", forged),
        ("forged, 1200 bytes", long),
        ("another cluster", cluster),
        ("replayed", replayed),
        ("unknown instance, asked", asked),
    ];
    for (what, ns) in rows {
        let (rate, ratio, core) = (1e9 / ns, sealing / ns, ns * FLOOD / 1e7);
        println!("  {what:20} {rate:10.0} /s  {ratio:6.2} x sealing  {core:5.1} % of a core at {FLOOD} /s");
    }
    Ok(())
}

fn main() -> Result<(), Trouble> {
    let (new, old) = ("new MDEyMzQ1Njc4OWFiY2RlZg", "old ZmVkY2JhOTg3NjU0MzIxMA");
    run(new, "one key")?;
    run(&format!("{new}\n{old}"), "two keys in force")
}
