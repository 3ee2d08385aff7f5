//! The store: opened or created whole, written in whole transactions.

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
use crate::file::{self, Behind, Head, WriteCounters, HEAD, VERSION};

pub(crate) const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
/// Bytes of cache; a councillor's records are far fewer.
const CACHE: usize = 1 << 20;

/// A councillor's file, open and locked.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    pub(crate) base: Database,
    tally: Arc<WriteCounters>,
}

impl Store {
    /// Opens the file, or creates it with that memory number if there is none: to the others that is a councillor
    /// that has lost its memory, or a new one.
    ///
    /// # Errors
    /// See [`RegisterError`]; the file is left as it is unless it was whole and of this or an older version.
    pub fn open(path: &Path, fresh: StoreGeneration) -> Result<(Store, StoredState), RegisterError> {
        let io = |source| RegisterError::Io { path: path.to_owned(), source };
        if !path.try_exists().map_err(io)? {
            create(path, fresh)?;
        }
        let disk = OpenOptions::new().read(true).write(true).open(path).map_err(io)?;
        if !file::lock(&disk).map_err(io)? {
            return Err(RegisterError::Busy { path: path.to_owned() });
        }
        let found = match file::read_head(&disk).map_err(io)? {
            Head::Foreign => return Err(RegisterError::Foreign { path: path.to_owned() }),
            Head::Damaged | Head::Version(0) => {
                return Err(damaged(path, "its header's checksum does not hold"))
            }
            Head::Version(found) => found,
        };
        if found > VERSION {
            return Err(RegisterError::Newer { path: path.to_owned(), found, known: VERSION });
        }
        let head = disk.try_clone().map_err(io)?;
        let store = Store::behind(path, disk)?;
        if found < VERSION {
            store.migrate()?;
            head.write_all_at(&file::head(VERSION), 0).and_then(|()| head.sync_all()).map_err(io)?;
        }
        let stored = store.read()?;
        Ok((store, stored))
    }

    fn behind(path: &Path, disk: File) -> Result<Store, RegisterError> {
        if disk.metadata().map_or(0, |data| data.len()) <= HEAD {
            return Err(damaged(path, "it ends after its header"));
        }
        let tally = Arc::new(WriteCounters::default());
        let base = base(path, Behind { file: disk, tally: Arc::clone(&tally) })?;
        Ok(Store { path: path.to_owned(), base, tally })
    }

    /// Keeps all of these or none, in one synced transaction; when it returns they outlive a power cut. Wishes that
    /// wait together go together, in their order.
    ///
    /// # Errors
    /// An I/O error: whether they are kept is not known. Say nothing of them; end and start anew.
    pub fn persist<'a>(&self, records: impl IntoIterator<Item = &'a Record>) -> Result<(), RegisterError> {
        write(&self.path, &self.base, records)
    }

    fn read(&self) -> Result<StoredState, RegisterError> {
        let mut records = Vec::new();
        let broken = |error: &dyn std::fmt::Display| damaged(&self.path, &error.to_string());
        let reading = self.base.begin_read().map_err(|error| broken(&error))?;
        let table = reading.open_table(RECORDS).map_err(|error| broken(&error))?;
        for entry in table.iter().map_err(|error| broken(&error))? {
            let (place, sealed) = entry.map_err(|error| broken(&error))?;
            let body = codec::unseal(place.value(), sealed.value())
                .ok_or_else(|| damaged(&self.path, "a record's checksum does not hold"))?;
            records.push(codec::decode(place.value(), body).map_err(|error| broken(&error))?);
        }
        codec::gather(records.into_iter()).ok_or_else(|| RegisterError::Empty { path: self.path.clone() })
    }

    /// From version 1: each record gets its checksum; one that has it already, after a cut in between, stays.
    fn migrate(&self) -> Result<(), RegisterError> {
        let writing = self.base.begin_write().map_err(|error| failed(&self.path, error))?;
        {
            let mut table = writing.open_table(RECORDS).map_err(|error| failed(&self.path, error))?;
            let mut old = Vec::new();
            for entry in table.iter().map_err(|error| failed(&self.path, error))? {
                let (place, body) = entry.map_err(|error| failed(&self.path, error))?;
                old.push((place.value().to_vec(), body.value().to_vec()));
            }
            for (place, body) in old.iter().filter(|(place, body)| codec::unseal(place, body).is_none()) {
                let sealed = codec::seal(place, body);
                table.insert(&place[..], &sealed[..]).map_err(|error| failed(&self.path, error))?;
            }
        }
        writing.commit().map_err(|error| failed(&self.path, error))
    }

    /// Bytes written and syncs since it was opened.
    pub fn counters(&self) -> &WriteCounters {
        &self.tally
    }
}

pub(crate) fn damaged(path: &Path, what: &str) -> RegisterError {
    RegisterError::Damaged { path: path.to_owned(), what: what.to_owned() }
}

fn failed(path: &Path, error: impl Into<redb::Error>) -> RegisterError {
    match error.into() {
        redb::Error::Io(source) => RegisterError::Io { path: path.to_owned(), source },
        other => damaged(path, &other.to_string()),
    }
}

/// The database behind a header, each page's checksum gone through.
pub(crate) fn base(path: &Path, backend: impl StorageBackend) -> Result<Database, RegisterError> {
    Builder::new()
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true)
        .create_with_backend(backend)
        .map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => RegisterError::Busy { path: path.to_owned() },
            other => failed(path, other),
        })
}

pub(crate) fn write<'a>(
    path: &Path,
    base: &Database,
    records: impl IntoIterator<Item = &'a Record>,
) -> Result<(), RegisterError> {
    let writing = base.begin_write().map_err(|error| failed(path, error))?;
    {
        let mut table = writing.open_table(RECORDS).map_err(|error| failed(path, error))?;
        for record in records {
            let (place, body) = codec::encode(record).map_err(|error| damaged(path, &error.to_string()))?;
            let sealed = codec::seal(&place, &body);
            table.insert(&place[..], &sealed[..]).map_err(|error| failed(path, error))?;
            // A memory of another number has kept no roll yet.
            if matches!(record, Record::OwnGeneration(_)) {
                let founders = codec::founders().map_err(|error| damaged(path, &error.to_string()))?;
                table.remove(&founders[..]).map_err(|error| failed(path, error))?;
            }
        }
    }
    writing.commit().map_err(|error| failed(path, error))
}

/// Under another name first, so that a cut leaves either no file or a whole one.
fn create(path: &Path, fresh: StoreGeneration) -> Result<(), RegisterError> {
    let io = |source| RegisterError::Io { path: path.to_owned(), source };
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    let draft = PathBuf::from(name);
    let disk =
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&draft).map_err(io)?;
    // Two that start at once: the second must not put its draft over the first one's open file.
    if !file::lock(&disk).map_err(io)? {
        return Err(RegisterError::Busy { path: path.to_owned() });
    }
    if path.try_exists().map_err(io)? {
        return Ok(());
    }
    disk.set_len(0).map_err(io)?;
    disk.write_all_at(&file::head(VERSION), 0).map_err(io)?;
    let sync = disk.try_clone().map_err(io)?;
    {
        let base = base(path, Behind { file: disk, tally: Arc::default() })?;
        write(path, &base, [&Record::OwnGeneration(fresh)])?;
    }
    sync.sync_all().map_err(io)?;
    fs::rename(&draft, path).map_err(io)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(io)
}
