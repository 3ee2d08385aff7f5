//! Measures synced writes and opening:
//! `cargo run --release -p ottersail-register --example persist_timing -- FOLDER [WRITES]`.

use std::sync::atomic::Ordering;
use std::time::Instant;

use ottersail_consensus::{
    Ballot, InstanceId, Key, MemberId, Record, Register, RequestId, StoreGeneration, Value,
};
use ottersail_register::{RegisterError, Store};

fn record(number: u64) -> Record {
    let ballot = Ballot { number, proposer: MemberId(1), life: InstanceId(2) };
    let request = RequestId { member: MemberId(1), life: InstanceId(2), number };
    let value = Value { revision: number, request, body: vec![7; 100] };
    let key = Key::Order((number % 1000) as u16);
    Record::Register(key, Register { promised: ballot, accepted: Some((ballot, value)) })
}

fn main() -> Result<(), RegisterError> {
    let mut words = std::env::args().skip(1);
    let folder = words.next().unwrap_or_else(|| ".".to_owned());
    let writes: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(2000).max(1);
    let path = std::path::Path::new(&folder).join("keeps-measured");
    let (store, _) = Store::open(&path, StoreGeneration(1))?;
    for group in [1, 8] {
        let (bytes, syncs) =
            (store.counters().bytes.load(Ordering::Relaxed), store.counters().syncs.load(Ordering::Relaxed));
        let mut spans = Vec::new();
        for turn in 0..writes {
            let records: Vec<Record> = (0..group).map(|at| record(turn * group + at)).collect();
            let begun = Instant::now();
            store.persist(&records)?;
            spans.push(begun.elapsed().as_secs_f64() * 1000.0);
        }
        spans.sort_by(f64::total_cmp);
        let at = |part: f64| spans[((spans.len() - 1) as f64 * part) as usize];
        println!(
            "{writes} writes of {group}: median {:.2} ms, p99 {:.2} ms, most {:.2} ms; {} bytes and {:.1} syncs each",
            at(0.5),
            at(0.99),
            at(1.0),
            (store.counters().bytes.load(Ordering::Relaxed) - bytes) / writes,
            (store.counters().syncs.load(Ordering::Relaxed) - syncs) as f64 / writes as f64,
        );
    }
    drop(store);
    let begun = Instant::now();
    let (_store, stored) = Store::open(&path, StoreGeneration(1))?;
    let span = begun.elapsed().as_secs_f64() * 1000.0;
    let size = std::fs::metadata(&path).map_or(0, |data| data.len());
    println!(
        "opened with {} keys of {size} bytes, every checksum read, in {span:.1} ms",
        stored.registers.len()
    );
    Ok(())
}
