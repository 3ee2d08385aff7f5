//! The file: a header followed by the database. A file of a newer version is thus refused before anything can
//! change it, and one lock covers the whole file.

use std::fs::{File, TryLockError};
use std::io::{ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use redb::StorageBackend;

/// Bytes in front of the database: one page, so that the database's pages stay aligned with the disk's.
pub(crate) const HEADER_BYTES: u64 = 4096;
const MAGIC: &[u8; 20] = b"ottersail-council-1\n";
/// Version of the record layout. 1: without checksums; 2: each record is preceded by its CRC-32.
pub(crate) const VERSION: u32 = 2;

/// What the header of a file says.
pub(crate) enum Header {
    /// The magic bytes are missing.
    NotCouncilFile,
    /// The checksum does not match.
    Damaged,
    /// A valid header of that version.
    Version(u32),
}

/// The header for that version: magic bytes, version and CRC-32, padded to [`HEADER_BYTES`].
pub(crate) fn encode_header(version: u32) -> Vec<u8> {
    let mut header = [&MAGIC[..], &version.to_le_bytes()].concat();
    header.extend(crc32fast::hash(&header).to_le_bytes());
    header.resize(HEADER_BYTES as usize, 0);
    header
}

/// Reads and checks the header.
pub(crate) fn read_header(file: &File) -> Result<Header> {
    let mut bytes = [0; 28];
    match file.read_exact_at(&mut bytes, 0) {
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(Header::NotCouncilFile),
        other => other?,
    }
    if bytes[..20] != MAGIC[..] {
        return Ok(Header::NotCouncilFile);
    }
    if bytes[24..] != crc32fast::hash(&bytes[..24]).to_le_bytes() {
        return Ok(Header::Damaged);
    }
    let version = bytes[20..24].iter().rev().fold(0, |sum, byte| (sum << 8) | u32::from(*byte));
    Ok(Header::Version(version))
}

/// The lock on a file for this process alone. It ends with this value, or with the process.
///
/// Closing the file alone would not end it: a process that is being started holds a copy of each descriptor until it
/// runs its own program.
#[derive(Debug)]
pub(crate) struct FileLock(File);

impl FileLock {
    /// Locks the file; returns `None` if another process or another open file has locked it.
    pub(crate) fn try_new(file: &File) -> Result<Option<FileLock>> {
        let lock = FileLock(file.try_clone()?);
        match lock.0.try_lock() {
            Ok(()) => Ok(Some(lock)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Drop for FileLock {
    fn drop(&mut self) {
        // The lock ends with the last copy of the descriptor in any case.
        _ = self.0.unlock();
    }
}

/// Bytes written and syncs requested, for metrics.
#[derive(Debug, Default)]
pub struct WriteCounters {
    /// Bytes written.
    pub bytes: AtomicU64,
    /// Syncs requested.
    pub syncs: AtomicU64,
}

/// The storage that the database sees: the part of the file behind the header.
#[derive(Debug)]
pub(crate) struct FileBehindHeader {
    pub file: File,
    pub counters: Arc<WriteCounters>,
}

impl StorageBackend for FileBehindHeader {
    fn len(&self) -> Result<u64> {
        Ok(self.file.metadata()?.len().saturating_sub(HEADER_BYTES))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        self.file.read_exact_at(out, HEADER_BYTES + offset)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.file.set_len(HEADER_BYTES + len)
    }

    fn sync_data(&self) -> Result<()> {
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.counters.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.file.write_all_at(data, HEADER_BYTES + offset)
    }
}
