//! Power cuts and damaged files: any part of what was written since the last sync may be on the disk.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};

use ottersail_consensus::{Key, StoredState};
use redb::StorageBackend;

use super::*;
use crate::file::{encode_header, HEADER_BYTES, VERSION};
use crate::store::{open_database, write};
use crate::{RegisterError, Store};

/// A simulated disk: the bytes as the process sees them, as of the last sync, and the writes since.
#[derive(Debug, Default)]
struct DiskState {
    seen: Vec<u8>,
    synced: Vec<u8>,
    unsynced: Vec<(u64, Vec<u8>)>,
    /// Calls that succeed before the power cut.
    calls_left: usize,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

fn write_at(bytes: &mut Vec<u8>, at: u64, data: &[u8]) {
    let (from, to) = (at as usize, at as usize + data.len());
    if bytes.len() < to {
        bytes.resize(to, 0);
    }
    bytes[from..to].copy_from_slice(data);
}

impl Disk {
    fn call<T>(&self, step: impl FnOnce(&mut DiskState) -> T) -> Result<T> {
        let mut state = self.0.lock().unwrap();
        if state.calls_left == 0 {
            return Err(Error::other("cut"));
        }
        state.calls_left -= 1;
        Ok(step(&mut state))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let state = self.0.lock().unwrap();
        let from = offset as usize;
        let bytes = state.seen.get(from..from + out.len()).ok_or_else(|| Error::other("past the end"))?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<()> {
        self.call(|state| state.seen.resize(len as usize, 0))
    }
    fn sync_data(&self) -> Result<()> {
        self.call(|state| {
            state.synced = state.seen.clone();
            state.unsynced.clear();
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.call(|state| {
            write_at(&mut state.seen, offset, data);
            state.unsynced.push((offset, data.to_vec()));
        })
    }
}

/// A random number below `limit`.
fn random_below(random_state: &mut u64, limit: usize) -> usize {
    *random_state = (*random_state & 0xffff_ffff) * 4_294_957_665 + (*random_state >> 32);
    (((*random_state & 0xffff_ffff) * limit as u64) >> 32) as usize
}

#[test]
fn power_cut_keeps_confirmed_records_and_whole_groups() {
    let folder = folder();
    let path = folder.path().join("council");
    let mut seen = BTreeMap::new();
    for seed in 1..=150_u64 {
        let mut random_state = seed * 7919;
        let disk = Disk::default();
        disk.0.lock().unwrap().calls_left = usize::MAX;
        let database = open_database(&path, disk.clone()).unwrap();
        write(&path, &database, [&Record::OwnGeneration(NEW_GENERATION)]).unwrap();
        disk.0.lock().unwrap().calls_left = random_below(&mut random_state, 120);
        let mut confirmed = 0;
        for number in 1..60 {
            if write(&path, &database, [&record(1, number), &record(2, number)]).is_err() {
                break;
            }
            confirmed = number;
        }
        drop(database);
        let state = disk.0.lock().unwrap();
        let mut bytes = state.synced.clone();
        bytes.resize(state.seen.len().max(bytes.len()), 0);
        for (at, data) in &state.unsynced {
            // A write reaches the disk in sectors: completely, partly or not at all.
            let cut = [0, data.len() / 512 * 512 / 2, data.len()][random_below(&mut random_state, 3)];
            write_at(&mut bytes, *at, &data[..cut]);
        }
        fs::write(&path, [encode_header(VERSION), bytes].concat()).unwrap();
        let (_store, stored) = Store::open(&path, NEW_GENERATION).unwrap();
        let number = |slot| number(&stored, slot);
        assert!([confirmed, confirmed + 1].contains(&number(1)), "seed {seed}: {} of {confirmed}", number(1));
        assert_eq!(number(1), number(2), "seed {seed}: a torn group");
        *seen.entry(number(1) - confirmed).or_insert(0) += 1;
    }
    println!("150 power cuts: {seen:?} (0: what was under way is gone, 1: it is there)");
    assert!(seen.get(&0).is_some_and(|count| *count > 10));
}

fn number(stored: &StoredState, slot: u8) -> u64 {
    stored.registers.get(&Key::Slots(slot)).map_or(0, |register| register.promised.number)
}

#[test]
fn damaged_or_truncated_files_are_refused_or_intact() {
    let folder = folder();
    let path = folder.path().join("council");
    let (store, mut stored) = Store::open(&path, NEW_GENERATION).unwrap();
    for slot in 0..40 {
        store.persist(&[record(slot, 3)]).unwrap();
        stored.apply(&record(slot, 3));
    }
    drop(store);
    let whole = fs::read(&path).unwrap();
    let (mut random_state, mut refused) = (17, 0);
    for turn in 0..300 {
        let mut bytes = whole.clone();
        if turn % 3 == 0 {
            bytes.truncate(random_below(&mut random_state, whole.len()));
        } else {
            let at = random_below(&mut random_state, whole.len());
            let to = (at + 64).min(whole.len());
            bytes[at..to].iter_mut().for_each(|byte| *byte ^= 0xa5);
        }
        fs::write(&path, &bytes).unwrap();
        match Store::open(&path, NEW_GENERATION) {
            Ok((_, read)) => assert_eq!(read, stored, "turn {turn}: damage read as if whole"),
            Err(RegisterError::Damaged { .. } | RegisterError::NotCouncilFile { .. }) => refused += 1,
            Err(other) => panic!("turn {turn}: {other}"),
        }
    }
    println!("300 damaged files of {} bytes: {refused} refused, the others held all", whole.len());
    assert!(refused >= 100, "{refused}");
    fs::write(&path, &whole[..HEADER_BYTES as usize]).unwrap();
    assert!(matches!(Store::open(&path, NEW_GENERATION), Err(RegisterError::Damaged { .. })));
}
