//! Opening, writing and reopening a store, and the files that it refuses.

use std::fs;
use std::io::{Read, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use ottersail_consensus::{Record, StoreGeneration, StoreGenerations, StoredState};
use ottersail_membership::MemberId;
use test_case::test_case;

use super::*;
use crate::file::{self, FileLock, VERSION};
use crate::store::RECORDS;
use crate::{codec, RegisterError, Store};

fn populated_store(path: &Path) -> StoredState {
    let (store, mut stored) = Store::open(path, NEW_GENERATION).unwrap();
    let founders = StoreGenerations::from([(MemberId(1), NEW_GENERATION), (MemberId(2), StoreGeneration(5))]);
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
fn persisted_records_are_read_after_reopening() {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = populated_store(&path);
    assert!(stored.participating && stored.registers.len() == 2 && stored.founders.is_some());
    let (store, again) = Store::open(&path, StoreGeneration(1)).unwrap();
    assert_eq!(again, stored);
    // Raising the generation removes the founders from the disk too.
    store.persist(&[Record::OwnGeneration(StoreGeneration(1 << 48))]).unwrap();
    drop(store);
    let (_store, raised) = Store::open(&path, StoreGeneration(1)).unwrap();
    assert_eq!((raised.generation, raised.founders), (StoreGeneration(1 << 48), None));
}

#[test]
fn uncommitted_transaction_is_discarded() {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = populated_store(&path);
    let (store, _) = Store::open(&path, NEW_GENERATION).unwrap();
    let transaction = store.database.begin_write().unwrap();
    {
        let (key, body) = codec::encode(&record(1, 99)).unwrap();
        let mut table = transaction.open_table(RECORDS).unwrap();
        table.insert(&key[..], &codec::add_checksum(&key, &body)[..]).unwrap();
    }
    drop(transaction);
    drop(store);
    assert_eq!(Store::open(&path, NEW_GENERATION).unwrap().1, stored);
}

#[test]
fn store_is_locked_while_it_is_open() {
    let folder = folder();
    let path = folder.path().join("council");
    let (store, _) = Store::open(&path, NEW_GENERATION).unwrap();
    assert!(matches!(Store::open(&path, NEW_GENERATION), Err(RegisterError::Locked { .. })));
    drop(store);
    assert!(Store::open(&path, NEW_GENERATION).is_ok());
}

/// Guards against: a store that was closed, or has just been created, counts as locked while another process is
/// being started, since that holds copies of all descriptors until it runs its own program.
#[test]
fn a_closed_store_is_not_locked_by_a_process_that_is_being_started() {
    let folder = folder();
    let path = folder.path().join("council");
    let (store, _) = Store::open(&path, NEW_GENERATION).unwrap();
    let starting = start_slowly();
    drop(store);
    assert!(Store::open(&path, NEW_GENERATION).is_ok());
    starting.join().unwrap();
}

/// Starts a process that holds its copies of this process's descriptors for a while; returns once it has them.
fn start_slowly() -> std::thread::JoinHandle<()> {
    let (mut forked, told) = std::io::pipe().unwrap();
    let starting = std::thread::spawn(move || {
        let mut command = Command::new("true");
        let tell_and_wait = move || {
            (&told).write_all(b"f")?;
            std::thread::sleep(Duration::from_millis(500));
            Ok(())
        };
        // SAFETY: the closure only writes to a pipe and sleeps, and allocates nothing.
        unsafe { command.pre_exec(tell_and_wait) };
        assert!(command.status().unwrap().success());
    });
    forked.read_exact(&mut [0]).unwrap();
    starting
}

#[test]
fn store_being_created_is_not_created_twice() {
    let folder = folder();
    let path = folder.path().join("council");
    let temporary = fs::File::create(folder.path().join("council.new")).unwrap();
    let lock = FileLock::try_new(&temporary).unwrap().unwrap();
    assert!(matches!(Store::open(&path, NEW_GENERATION), Err(RegisterError::Locked { .. })));
    assert!(!path.exists());
    drop(lock);
    assert!(Store::open(&path, NEW_GENERATION).is_ok());
}

#[test]
fn newer_version_is_refused_and_unchanged() {
    let folder = folder();
    let path = folder.path().join("council");
    populated_store(&path);
    let mut bytes = fs::read(&path).unwrap();
    bytes[..file::HEADER_BYTES as usize].copy_from_slice(&file::encode_header(VERSION + 1));
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(
        Store::open(&path, NEW_GENERATION),
        Err(RegisterError::NewerVersion { found: 3, known: 2, .. })
    ));
    assert_eq!(fs::read(&path).unwrap(), bytes);
}

/// Writes a file as version 1 did: the same records without their checksums; `partly_migrated`: only some of them.
fn version_1_store(path: &Path, partly_migrated: bool) -> StoredState {
    let stored = populated_store(path);
    let (store, _) = Store::open(path, NEW_GENERATION).unwrap();
    let transaction = store.database.begin_write().unwrap();
    {
        let mut table = transaction.open_table(RECORDS).unwrap();
        let mut records = vec![
            Record::OwnGeneration(stored.generation),
            Record::Participating,
            Record::Founders(stored.founders.clone().unwrap()),
        ];
        records.extend(
            stored.known.iter().map(|(member, generation)| Record::PeerGeneration(*member, *generation)),
        );
        records.extend(stored.registers.iter().map(|(key, held)| Record::Register(*key, held.clone())));
        for record in records.iter().skip(if partly_migrated { 2 } else { 0 }) {
            let (key, body) = codec::encode(record).unwrap();
            table.insert(&key[..], &body[..]).unwrap();
        }
    }
    transaction.commit().unwrap();
    drop(store);
    let mut bytes = fs::read(path).unwrap();
    bytes[..file::HEADER_BYTES as usize].copy_from_slice(&file::encode_header(1));
    fs::write(path, &bytes).unwrap();
    stored
}

#[test_case(false; "whole")]
#[test_case(true; "interrupted during an earlier migration")]
fn older_version_is_migrated(partly_migrated: bool) {
    let folder = folder();
    let path = folder.path().join("council");
    let stored = version_1_store(&path, partly_migrated);
    assert_eq!(Store::open(&path, NEW_GENERATION).unwrap().1, stored);
    assert!(matches!(
        file::read_header(&fs::File::open(&path).unwrap()).unwrap(),
        file::Header::Version(VERSION)
    ));
    assert_eq!(Store::open(&path, NEW_GENERATION).unwrap().1, stored);
}

#[test]
fn record_with_wrong_checksum_is_reported_as_damage() {
    let folder = folder();
    let path = folder.path().join("council");
    populated_store(&path);
    let (store, _) = Store::open(&path, NEW_GENERATION).unwrap();
    let transaction = store.database.begin_write().unwrap();
    {
        let (key, body) = codec::encode(&record(1, 99)).unwrap();
        let mut checked = codec::add_checksum(&key, &body);
        checked[20] ^= 1;
        transaction.open_table(RECORDS).unwrap().insert(&key[..], &checked[..]).unwrap();
    }
    transaction.commit().unwrap();
    drop(store);
    let error = Store::open(&path, NEW_GENERATION).unwrap_err();
    assert!(error.to_string().contains("checksum"), "{error}");
}
