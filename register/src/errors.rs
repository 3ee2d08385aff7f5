//! Errors of the council store, each with what an operator can do about it.

use std::path::PathBuf;

use thiserror::Error;

/// Why the store cannot be opened, read or written.
#[derive(Debug, Error)]
pub enum RegisterError {
    /// An I/O error.
    #[error(
        "{path}: reading or writing the council store failed ({source}); check the disk and the permissions of \
         the folder, then restart: no unconfirmed write was reported to other members"
    )]
    Io { path: PathBuf, source: std::io::Error },
    /// Another process holds the file's lock.
    #[error(
        "{path}: another process has the council store open; end the other daemon or configure a separate file \
         for this one"
    )]
    Locked { path: PathBuf },
    /// The file does not begin with the magic bytes.
    #[error(
        "{path}: this is no council file (its first bytes are not those of one); check the path in the settings; \
         the file was not changed"
    )]
    NotCouncilFile { path: PathBuf },
    /// The file was written by a newer program.
    #[error(
        "{path}: the council store has version {found}, this program reads up to version {known}; start the newer \
         program again; the file was not changed"
    )]
    NewerVersion { path: PathBuf, found: u32, known: u32 },
    /// A checksum does not match, or the contents cannot be decoded.
    #[error(
        "{path}: the council store is damaged ({what}); move it away and restart: the councillor recovers from the \
         others while a majority of them keeps its stores; never restore an old copy in its place"
    )]
    Damaged { path: PathBuf, what: String },
    /// The record of the store's generation is missing.
    #[error(
        "{path}: the council store holds no generation number; move it away and restart, as after the loss of a \
         store"
    )]
    NoGeneration { path: PathBuf },
}
