//! Opened, kept, opened again; refused where it has to be.

use std::fs;
use std::path::Path;

use ottersail_consensus::{Record, StoreGeneration, StoreGenerations, StoredState};
use ottersail_membership::MemberId;
use test_case::test_case;

use super::*;
use crate::file::{self, VERSION};
use crate::store::RECORDS;
use crate::{codec, RegisterError, Store};

fn some(path: &Path) -> StoredState {
    let (store, mut stored) = Store::open(path, FRESH).unwrap();
    let founders = StoreGenerations::from([(MemberId(1), FRESH), (MemberId(2), StoreGeneration(5))]);
    let group = [
        Record::Founders(founders),
        Record::PeerGeneration(MemberId(2), StoreGeneration(5)),
        record(1, 7),
        record(9, 8),
        Record::Participating,
    ];
    store.persist(&group).unwrap();
    group.iter().for_each(|record| stored.apply(record));
    stored
}

#[test]
fn what_was_kept_is_there_again() {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = some(&path);
    assert!(stored.participating && stored.registers.len() == 2 && stored.founders.is_some());
    let (store, again) = Store::open(&path, StoreGeneration(1)).unwrap();
    assert_eq!(again, stored);
    // A raised memory takes the roll back on disk too.
    store.persist(&[Record::OwnGeneration(StoreGeneration(1 << 48))]).unwrap();
    drop(store);
    let (_store, raised) = Store::open(&path, StoreGeneration(1)).unwrap();
    assert_eq!((raised.generation, raised.founders), (StoreGeneration(1 << 48), None));
}

#[test]
fn a_transaction_dropped_before_its_commit_is_not_there() {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = some(&path);
    let (store, _) = Store::open(&path, FRESH).unwrap();
    let writing = store.base.begin_write().unwrap();
    {
        let (place, body) = codec::encode(&record(1, 99)).unwrap();
        let mut table = writing.open_table(RECORDS).unwrap();
        table.insert(&place[..], &codec::seal(&place, &body)[..]).unwrap();
    }
    drop(writing);
    drop(store);
    assert_eq!(Store::open(&path, FRESH).unwrap().1, stored);
}

#[test]
fn a_second_opener_is_refused_and_a_later_one_is_not() {
    let folder = folder();
    let path = folder.path().join("council");
    let (store, _) = Store::open(&path, FRESH).unwrap();
    assert!(matches!(Store::open(&path, FRESH), Err(RegisterError::Busy { .. })));
    drop(store);
    assert!(Store::open(&path, FRESH).is_ok());
}

#[test]
fn one_that_is_being_created_is_not_created_beside() {
    let folder = folder();
    let path = folder.path().join("council");
    let draft = fs::File::create(folder.path().join("council.new")).unwrap();
    assert!(file::lock(&draft).unwrap());
    assert!(matches!(Store::open(&path, FRESH), Err(RegisterError::Busy { .. })));
    assert!(!path.exists());
    drop(draft);
    assert!(Store::open(&path, FRESH).is_ok());
}

#[test]
fn a_newer_version_is_refused_and_left_as_it_is() {
    let folder = folder();
    let path = folder.path().join("council");
    some(&path);
    let mut bytes = fs::read(&path).unwrap();
    bytes[..file::HEAD as usize].copy_from_slice(&file::head(VERSION + 1));
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(Store::open(&path, FRESH), Err(RegisterError::Newer { found: 3, known: 2, .. })));
    assert_eq!(fs::read(&path).unwrap(), bytes);
}

/// As version 1 wrote it: the same records without their checksums.
fn older(path: &Path, half: bool) -> StoredState {
    let stored = some(path);
    let (store, _) = Store::open(path, FRESH).unwrap();
    let writing = store.base.begin_write().unwrap();
    {
        let mut table = writing.open_table(RECORDS).unwrap();
        let mut records = vec![
            Record::OwnGeneration(stored.generation),
            Record::Participating,
            Record::Founders(stored.founders.clone().unwrap()),
        ];
        records.extend(
            stored.known.iter().map(|(member, generation)| Record::PeerGeneration(*member, *generation)),
        );
        records.extend(stored.registers.iter().map(|(key, held)| Record::Register(*key, held.clone())));
        for record in records.iter().skip(if half { 2 } else { 0 }) {
            let (place, body) = codec::encode(record).unwrap();
            table.insert(&place[..], &body[..]).unwrap();
        }
    }
    writing.commit().unwrap();
    drop(store);
    let mut bytes = fs::read(path).unwrap();
    bytes[..file::HEAD as usize].copy_from_slice(&file::head(1));
    fs::write(path, &bytes).unwrap();
    stored
}

#[test_case(false; "whole")]
#[test_case(true; "cut in the midst of an earlier migration")]
fn an_older_version_is_migrated(half: bool) {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = older(&path, half);
    assert_eq!(Store::open(&path, FRESH).unwrap().1, stored);
    assert!(matches!(
        file::read_head(&fs::File::open(&path).unwrap()).unwrap(),
        file::Head::Version(VERSION)
    ));
    assert_eq!(Store::open(&path, FRESH).unwrap().1, stored);
}

#[test]
fn a_record_whose_checksum_does_not_hold_is_damage() {
    let folder = folder();
    let path = folder.path().join("council");
    some(&path);
    let (store, _) = Store::open(&path, FRESH).unwrap();
    let writing = store.base.begin_write().unwrap();
    {
        let (place, body) = codec::encode(&record(1, 99)).unwrap();
        let mut sealed = codec::seal(&place, &body);
        sealed[20] ^= 1;
        writing.open_table(RECORDS).unwrap().insert(&place[..], &sealed[..]).unwrap();
    }
    writing.commit().unwrap();
    drop(store);
    let error = Store::open(&path, FRESH).unwrap_err();
    assert!(error.to_string().contains("checksum"), "{error}");
}
