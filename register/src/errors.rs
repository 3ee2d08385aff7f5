//! What can go wrong with the file, and what an operator can try.

use std::path::PathBuf;

use thiserror::Error;

#[derive(Debug, Error)]
pub enum RegisterError {
    #[error(
        "{path}: reading or writing the council's file failed ({source}); check the disk and the rights of the \
         folder, then start again: nothing unconfirmed was told to others"
    )]
    Io { path: PathBuf, source: std::io::Error },
    #[error(
        "{path}: another process has the council's file open; end the other daemon or give this one a file of \
         its own"
    )]
    Busy { path: PathBuf },
    #[error(
        "{path}: this is no council file (its first bytes are not a council file's); check the path in the \
         settings, the file is left as it is"
    )]
    Foreign { path: PathBuf },
    #[error(
        "{path}: the council's file has version {found}, this program reads up to {known}; start the newer program \
         again, the file is left as it is"
    )]
    Newer { path: PathBuf, found: u32, known: u32 },
    #[error(
        "{path}: the council's file is damaged ({what}); move it away and start again: the councillor recovers \
         from the others while a majority of them keeps its generation; never put an old copy in its place"
    )]
    Damaged { path: PathBuf, what: String },
    #[error(
        "{path}: the council's file holds no generation number; move it away and start again, as after a loss"
    )]
    Empty { path: PathBuf },
}
