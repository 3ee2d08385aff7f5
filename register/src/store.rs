//! The store: opened, created and written in whole transactions.

use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ottersail_consensus::{Record, StoreGeneration, StoredState};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
};

use crate::codec;
use crate::errors::RegisterError;
use crate::file::{self, FileBehindHeader, FileLock, Header, WriteCounters, HEADER_BYTES, VERSION};

/// The only table: encoded keys and checksummed bodies.
pub(crate) const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
/// Size of the database's cache in bytes; a councillor's records are far smaller.
const CACHE_BYTES: usize = 1 << 20;

/// A councillor's store, open and locked.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    pub(crate) database: Database,
    counters: Arc<WriteCounters>,
    /// Dropped after the database, which writes when it is closed.
    _lock: FileLock,
}

impl Store {
    /// Opens the file, or creates it with `new_generation` if there is none. To the other councillors a created store
    /// means a councillor that has lost its store, or a new one.
    ///
    /// # Errors
    /// See [`RegisterError`]. The file is changed only if it was intact and of this or an older version.
    pub fn open(path: &Path, new_generation: StoreGeneration) -> Result<(Store, StoredState), RegisterError> {
        let io = |source| RegisterError::Io { path: path.to_owned(), source };
        if !path.try_exists().map_err(io)? {
            create(path, new_generation)?;
        }
        let disk = OpenOptions::new().read(true).write(true).open(path).map_err(io)?;
        let Some(lock) = FileLock::try_new(&disk).map_err(io)? else {
            return Err(RegisterError::Locked { path: path.to_owned() });
        };
        let found = match file::read_header(&disk).map_err(io)? {
            Header::NotCouncilFile => return Err(RegisterError::NotCouncilFile { path: path.to_owned() }),
            Header::Damaged | Header::Version(0) => {
                return Err(damaged(path, "the checksum of its header does not match"))
            }
            Header::Version(found) => found,
        };
        if found > VERSION {
            return Err(RegisterError::NewerVersion { path: path.to_owned(), found, known: VERSION });
        }
        let header_file = disk.try_clone().map_err(io)?;
        let store = Store::with_file(path, disk, lock)?;
        if found < VERSION {
            store.migrate()?;
            header_file
                .write_all_at(&file::encode_header(VERSION), 0)
                .and_then(|()| header_file.sync_all())
                .map_err(io)?;
        }
        let stored = store.read()?;
        Ok((store, stored))
    }

    fn with_file(path: &Path, disk: File, lock: FileLock) -> Result<Store, RegisterError> {
        if disk.metadata().map_or(0, |data| data.len()) <= HEADER_BYTES {
            return Err(damaged(path, "it ends after its header"));
        }
        let counters = Arc::new(WriteCounters::default());
        let database = open_database(path, FileBehindHeader { file: disk, counters: Arc::clone(&counters) })?;
        Ok(Store { path: path.to_owned(), database, counters, _lock: lock })
    }

    /// Writes all of these records or none, in one synced transaction; once it returns they survive a power cut.
    /// Several waiting requests can be written together, in their order.
    ///
    /// # Errors
    /// After an I/O error it is unknown whether the records are stored. The process must not report them and has to
    /// restart.
    pub fn persist<'a>(&self, records: impl IntoIterator<Item = &'a Record>) -> Result<(), RegisterError> {
        write(&self.path, &self.database, records)
    }

    fn read(&self) -> Result<StoredState, RegisterError> {
        let mut records = Vec::new();
        let unreadable = |error: &dyn std::fmt::Display| damaged(&self.path, &error.to_string());
        let transaction = self.database.begin_read().map_err(|error| unreadable(&error))?;
        let table = transaction.open_table(RECORDS).map_err(|error| unreadable(&error))?;
        for entry in table.iter().map_err(|error| unreadable(&error))? {
            let (key, checked) = entry.map_err(|error| unreadable(&error))?;
            let body = codec::verify_checksum(key.value(), checked.value())
                .ok_or_else(|| damaged(&self.path, "the checksum of a record does not match"))?;
            records.push(codec::decode(key.value(), body).map_err(|error| unreadable(&error))?);
        }
        codec::collect_state(records.into_iter())
            .ok_or_else(|| RegisterError::NoGeneration { path: self.path.clone() })
    }

    /// Migrates from version 1: adds the checksum to each record. A record that already has one, after an interrupted
    /// migration, is unchanged.
    fn migrate(&self) -> Result<(), RegisterError> {
        let transaction = self.database.begin_write().map_err(|error| write_error(&self.path, error))?;
        {
            let mut table =
                transaction.open_table(RECORDS).map_err(|error| write_error(&self.path, error))?;
            let mut entries = Vec::new();
            for entry in table.iter().map_err(|error| write_error(&self.path, error))? {
                let (key, body) = entry.map_err(|error| write_error(&self.path, error))?;
                entries.push((key.value().to_vec(), body.value().to_vec()));
            }
            for (key, body) in
                entries.iter().filter(|(key, body)| codec::verify_checksum(key, body).is_none())
            {
                let checked = codec::add_checksum(key, body);
                table.insert(&key[..], &checked[..]).map_err(|error| write_error(&self.path, error))?;
            }
        }
        transaction.commit().map_err(|error| write_error(&self.path, error))
    }

    /// Bytes written and syncs since the store was opened.
    pub fn counters(&self) -> &WriteCounters {
        &self.counters
    }
}

/// The error for a damaged store.
pub(crate) fn damaged(path: &Path, what: &str) -> RegisterError {
    RegisterError::Damaged { path: path.to_owned(), what: what.to_owned() }
}

/// Converts a database error.
fn write_error(path: &Path, error: impl Into<redb::Error>) -> RegisterError {
    match error.into() {
        redb::Error::Io(source) => RegisterError::Io { path: path.to_owned(), source },
        other => damaged(path, &other.to_string()),
    }
}

/// Opens the database and verifies the checksum of every page.
pub(crate) fn open_database(path: &Path, backend: impl StorageBackend) -> Result<Database, RegisterError> {
    Builder::new()
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true)
        .create_with_backend(backend)
        .map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => RegisterError::Locked { path: path.to_owned() },
            other => write_error(path, other),
        })
}

/// Writes the records in one synced transaction.
pub(crate) fn write<'a>(
    path: &Path,
    database: &Database,
    records: impl IntoIterator<Item = &'a Record>,
) -> Result<(), RegisterError> {
    let transaction = database.begin_write().map_err(|error| write_error(path, error))?;
    {
        let mut table = transaction.open_table(RECORDS).map_err(|error| write_error(path, error))?;
        for record in records {
            let (key, body) = codec::encode(record).map_err(|error| damaged(path, &error.to_string()))?;
            let checked = codec::add_checksum(&key, &body);
            table.insert(&key[..], &checked[..]).map_err(|error| write_error(path, error))?;
            // A store of another generation has no founders yet.
            if matches!(record, Record::OwnGeneration(_)) {
                let founders_key =
                    codec::founders_key().map_err(|error| damaged(path, &error.to_string()))?;
                table.remove(&founders_key[..]).map_err(|error| write_error(path, error))?;
            }
        }
    }
    transaction.commit().map_err(|error| write_error(path, error))
}

/// Creates the file under a temporary name and renames it, so that a crash leaves either no file or a complete one.
fn create(path: &Path, new_generation: StoreGeneration) -> Result<(), RegisterError> {
    let io = |source| RegisterError::Io { path: path.to_owned(), source };
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    let temporary = PathBuf::from(name);
    let disk = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(&temporary)
        .map_err(io)?;
    // If two processes start at once, the second must not rename its temporary file over the first one's open file.
    let Some(_lock) = FileLock::try_new(&disk).map_err(io)? else {
        return Err(RegisterError::Locked { path: path.to_owned() });
    };
    if path.try_exists().map_err(io)? {
        return Ok(());
    }
    disk.set_len(0).map_err(io)?;
    disk.write_all_at(&file::encode_header(VERSION), 0).map_err(io)?;
    let file = disk.try_clone().map_err(io)?;
    {
        let database = open_database(path, FileBehindHeader { file: disk, counters: Arc::default() })?;
        write(path, &database, [&Record::OwnGeneration(new_generation)])?;
    }
    file.sync_all().map_err(io)?;
    fs::rename(&temporary, path).map_err(io)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(io)
}
