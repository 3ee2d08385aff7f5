//! The cost of `DatagramAuth`: datagrams opened, and forged ones dropped, relative to sealing in the same
//! run.
//! `cargo run --release -p ottersail-membership --example forged`

use ottersail::time::Ms;
use ottersail_membership::auth::{DatagramAuth, DatagramError, DropReason, Opened};
use ottersail_membership::{Body, Incarnation, InstanceId, MemberId, Message};
use ottersail_signed_urls::{Keys, KeysError};
use std::time::Instant;
use thiserror::Error;

const COUNT: u32 = 1_000_000;
const ROUNDS: usize = 5;
/// Datagrams per second of the flood for which the share of a core is printed.
const FLOOD: f64 = 50_000.0;
const A: MemberId = MemberId(0xa1);
const B: MemberId = MemberId(0xb2);
const NOW: Ms = Ms(60_000.0);

#[derive(Debug, Error)]
enum ExampleError {
    #[error("the example's keys can't be read: {0}")]
    Keys(#[from] KeysError),
    #[error("the example's message can't be sealed: {0}")]
    Seal(#[from] DatagramError),
    #[error("DatagramAuth {0}; run the package's tests")]
    Unexpected(&'static str),
}

fn auth(own_id: MemberId, keys: &str) -> Result<DatagramAuth, ExampleError> {
    Ok(DatagramAuth::new(own_id, InstanceId(own_id.0), "harbour", Keys::read(keys)?, own_id.0))
}

/// A probe, as most datagrams are.
fn probe(number: u32) -> Message {
    let body = Body::Probe { number, to: B, instance: InstanceId(B.0) };
    Message { incarnation: Incarnation(1), body, updates: vec![], piggybacks: vec![] }
}

/// Nanoseconds per call in the fastest of some rounds: other processes only ever make it slower.
fn fastest(mut call: impl FnMut(u32) -> Result<(), ExampleError>) -> Result<f64, ExampleError> {
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        (0..COUNT / ROUNDS as u32).try_for_each(&mut call)?;
        best = best.min(start.elapsed().as_secs_f64() * 1e9 / f64::from(COUNT / ROUNDS as u32));
    }
    Ok(best)
}

/// Opens a datagram that has to be dropped for that reason.
fn expect_drop(auth: &mut DatagramAuth, bytes: &[u8], reason: DropReason) -> Result<(), ExampleError> {
    match auth.open::<Message>(NOW, bytes) {
        Opened::Dropped(actual) if actual == reason => Ok(()),
        _ => Err(ExampleError::Unexpected("did not drop an invalid datagram")),
    }
}

fn run(keys: &str, title: &str) -> Result<(), ExampleError> {
    let (mut a, mut b) = (auth(A, keys)?, auth(B, keys)?);
    let first = a.seal(Some(B), &probe(0))?;
    let Opened::Challenge(asked) = b.open::<Message>(NOW, &first) else {
        return Err(ExampleError::Unexpected("sent no challenge"));
    };
    let Opened::Resend(echo) = a.open::<Message>(NOW, &asked) else {
        return Err(ExampleError::Unexpected("echoed no cookie"));
    };
    b.open::<Message>(NOW, &echo);

    let sealing = fastest(|number| a.seal(Some(B), &probe(number)).map(drop).map_err(ExampleError::from))?;
    let mut sent =
        (0..COUNT).map(|number| a.seal(Some(B), &probe(number))).collect::<Result<Vec<_>, _>>()?.into_iter();
    let opening = fastest(|_| match sent.next().map(|bytes| b.open::<Message>(NOW, &bytes)) {
        Some(Opened::Message { .. }) => Ok(()),
        _ => Err(ExampleError::Unexpected("did not open a good datagram")),
    })?;

    let honest = a.seal(Some(B), &probe(1))?;
    let instances = b.instance_count();
    let forged = fastest(|number| {
        let mut bytes = honest.clone();
        bytes[6..10].copy_from_slice(&(number + 1).to_be_bytes());
        expect_drop(&mut b, &bytes, DropReason::BadMac)
    })?;
    let mut long = honest.clone();
    long.resize(1_200, 0);
    let long = fastest(|_| expect_drop(&mut b, &long, DropReason::BadMac))?;
    let mut other = honest.clone();
    other[2] ^= 1;
    let cluster = fastest(|_| expect_drop(&mut b, &other, DropReason::OtherCluster))?;
    b.open::<Message>(NOW, &honest);
    let replayed = fastest(|_| expect_drop(&mut b, &honest, DropReason::Replayed))?;
    // A datagram of an unknown instance: its MAC is valid, and it is challenged each time.
    let mut fresh = auth(B, keys)?;
    let asked = fastest(|_| match fresh.open::<Message>(NOW, &honest) {
        Opened::Challenge(_) => Ok(()),
        _ => Err(ExampleError::Unexpected("sent no challenge")),
    })?;
    if (b.instance_count(), fresh.instance_count()) != (instances, 0) {
        return Err(ExampleError::Unexpected("stored state of an unverified sender"));
    }

    println!(
        "{title}: {} bytes; instances stored by {COUNT} forged datagrams: {}",
        honest.len(),
        b.instance_count() - instances
    );
    let rows = [
        ("sealed", sealing),
        ("opened", opening),
        ("forged", forged),
        ("forged, 1200 bytes", long),
        ("another cluster", cluster),
        ("replayed", replayed),
        ("unknown, challenged", asked),
    ];
    for (name, ns) in rows {
        let (rate, ratio, core) = (1e9 / ns, sealing / ns, ns * FLOOD / 1e7);
        println!("  {name:20} {rate:10.0} /s  {ratio:6.2} x sealing  {core:5.1} % of a core at {FLOOD} /s");
    }
    Ok(())
}

fn main() -> Result<(), ExampleError> {
    let (new, old) = ("new MDEyMzQ1Njc4OWFiY2RlZg", "old ZmVkY2JhOTg3NjU0MzIxMA");
    run(new, "one key")?;
    run(&format!("{new}\n{old}"), "two keys in force")
}
