//! The file: a header of our own, then the database's bytes. So a newer version is refused before anything could
//! touch the file, and one lock holds for all of it.

use std::fs::{File, TryLockError};
use std::io::{ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use redb::StorageBackend;

/// Bytes in front of the database: one page, so that the database's pages stay on the disk's.
pub(crate) const HEAD: u64 = 4096;
const MAGIC: &[u8; 20] = b"ottersail-council-1\n";
/// The layout of the records. 1: without checksums; 2: each behind its CRC-32.
pub(crate) const VERSION: u32 = 2;

pub(crate) enum Head {
    Foreign,
    Damaged,
    Version(u32),
}

pub(crate) fn head(version: u32) -> Vec<u8> {
    let mut head = [&MAGIC[..], &version.to_le_bytes()].concat();
    head.extend(crc32fast::hash(&head).to_le_bytes());
    head.resize(HEAD as usize, 0);
    head
}

pub(crate) fn read_head(file: &File) -> Result<Head> {
    let mut bytes = [0; 28];
    match file.read_exact_at(&mut bytes, 0) {
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(Head::Foreign),
        other => other?,
    }
    if bytes[..20] != MAGIC[..] {
        return Ok(Head::Foreign);
    }
    if bytes[24..] != crc32fast::hash(&bytes[..24]).to_le_bytes() {
        return Ok(Head::Damaged);
    }
    let version = bytes[20..24].iter().rev().fold(0, |sum, byte| (sum << 8) | u32::from(*byte));
    Ok(Head::Version(version))
}

/// Whether this process alone has it now; the lock goes with the open file, a crash included.
pub(crate) fn lock(file: &File) -> Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Bytes written and syncs asked for, for the metrics.
#[derive(Debug, Default)]
pub struct WriteCounters {
    pub bytes: AtomicU64,
    pub syncs: AtomicU64,
}

/// The database's view: the file behind the header.
#[derive(Debug)]
pub(crate) struct Behind {
    pub file: File,
    pub tally: Arc<WriteCounters>,
}

impl StorageBackend for Behind {
    fn len(&self) -> Result<u64> {
        Ok(self.file.metadata()?.len().saturating_sub(HEAD))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        self.file.read_exact_at(out, HEAD + offset)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.file.set_len(HEAD + len)
    }

    fn sync_data(&self) -> Result<()> {
        self.tally.syncs.fetch_add(1, Ordering::Relaxed);
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.tally.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.file.write_all_at(data, HEAD + offset)
    }
}
