//! Power cuts and damaged bytes: of what was written since the last sync, any part may be on the disk.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};

use ottersail_consensus::{Key, StoredState};
use redb::StorageBackend;

use super::*;
use crate::file::{head, HEAD, VERSION};
use crate::store::{base, write};
use crate::{RegisterError, Store};

/// The bytes as the process sees them, as the disk surely has them, and what lies between.
#[derive(Debug, Default)]
struct Platter {
    seen: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<(u64, Vec<u8>)>,
    /// Calls that still succeed.
    left: usize,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

fn lay(bytes: &mut Vec<u8>, at: u64, data: &[u8]) {
    let (from, to) = (at as usize, at as usize + data.len());
    if bytes.len() < to {
        bytes.resize(to, 0);
    }
    bytes[from..to].copy_from_slice(data);
}

impl Disk {
    fn call<T>(&self, step: impl FnOnce(&mut Platter) -> T) -> Result<T> {
        let mut platter = self.0.lock().unwrap();
        if platter.left == 0 {
            return Err(Error::other("cut"));
        }
        platter.left -= 1;
        Ok(step(&mut platter))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let platter = self.0.lock().unwrap();
        let from = offset as usize;
        let bytes = platter.seen.get(from..from + out.len()).ok_or_else(|| Error::other("past the end"))?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<()> {
        self.call(|platter| platter.seen.resize(len as usize, 0))
    }
    fn sync_data(&self) -> Result<()> {
        self.call(|platter| {
            platter.synced = platter.seen.clone();
            platter.since.clear();
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.call(|platter| {
            lay(&mut platter.seen, offset, data);
            platter.since.push((offset, data.to_vec()));
        })
    }
}

/// Draws below that limit.
fn draw(state: &mut u64, limit: usize) -> usize {
    *state = (*state & 0xffff_ffff) * 4_294_957_665 + (*state >> 32);
    (((*state & 0xffff_ffff) * limit as u64) >> 32) as usize
}

#[test]
fn a_power_cut_loses_nothing_confirmed_and_tears_no_group() {
    let folder = folder();
    let path = folder.path().join("council");
    let mut seen = BTreeMap::new();
    for seed in 1..=150_u64 {
        let mut chance = seed * 7919;
        let disk = Disk::default();
        disk.0.lock().unwrap().left = usize::MAX;
        let database = base(&path, disk.clone()).unwrap();
        write(&path, &database, [&Record::OwnGeneration(FRESH)]).unwrap();
        disk.0.lock().unwrap().left = draw(&mut chance, 120);
        let mut confirmed = 0;
        for number in 1..60 {
            if write(&path, &database, [&record(1, number), &record(2, number)]).is_err() {
                break;
            }
            confirmed = number;
        }
        drop(database);
        let platter = disk.0.lock().unwrap();
        let mut bytes = platter.synced.clone();
        bytes.resize(platter.seen.len().max(bytes.len()), 0);
        for (at, data) in &platter.since {
            // A write reaches the disk by sectors: whole, in part or not at all.
            let cut = [0, data.len() / 512 * 512 / 2, data.len()][draw(&mut chance, 3)];
            lay(&mut bytes, *at, &data[..cut]);
        }
        fs::write(&path, [head(VERSION), bytes].concat()).unwrap();
        let (_store, stored) = Store::open(&path, FRESH).unwrap();
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
fn damaged_bytes_and_torn_ends_are_errors_or_harmless() {
    let folder = folder();
    let path = folder.path().join("council");
    let (store, mut stored) = Store::open(&path, FRESH).unwrap();
    for slot in 0..40 {
        store.persist(&[record(slot, 3)]).unwrap();
        stored.apply(&record(slot, 3));
    }
    drop(store);
    let whole = fs::read(&path).unwrap();
    let (mut chance, mut refused) = (17, 0);
    for turn in 0..300 {
        let mut bytes = whole.clone();
        if turn % 3 == 0 {
            bytes.truncate(draw(&mut chance, whole.len()));
        } else {
            let at = draw(&mut chance, whole.len());
            let to = (at + 64).min(whole.len());
            bytes[at..to].iter_mut().for_each(|byte| *byte ^= 0xa5);
        }
        fs::write(&path, &bytes).unwrap();
        match Store::open(&path, FRESH) {
            Ok((_, read)) => assert_eq!(read, stored, "turn {turn}: damage read as if whole"),
            Err(RegisterError::Damaged { .. } | RegisterError::Foreign { .. }) => refused += 1,
            Err(other) => panic!("turn {turn}: {other}"),
        }
    }
    println!("300 damaged files of {} bytes: {refused} refused, the others held all", whole.len());
    assert!(refused >= 100, "{refused}");
    fs::write(&path, &whole[..HEAD as usize]).unwrap();
    assert!(matches!(Store::open(&path, FRESH), Err(RegisterError::Damaged { .. })));
}
