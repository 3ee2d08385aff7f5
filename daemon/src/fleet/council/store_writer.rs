//! The thread that writes a councillor's store. Waiting requests are written in one synced transaction. A slow disk
//! thus delays the council only; no viewer's request ever waits for it.

use crate::error::RunError;
use async_channel::{Receiver, Sender};
use ottersail_consensus::{Record, StoreGeneration, StoredState, Token};
use ottersail_register::Store;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::error;

/// Maximum number of waiting requests. An acceptor has at most 256 replies waiting, and a recovery adds some.
const MAX_WAITING: usize = 1_024;
/// Maximum number of requests in one transaction.
const MAX_WRITES_PER_TRANSACTION: usize = 128;

/// Records to write, all or none.
#[derive(Debug)]
pub(in crate::fleet) struct WriteRequest {
    token: Token,
    records: Vec<Record>,
    since: Instant,
}

/// A completed write, and the time since its request.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct Written {
    pub token: Token,
    pub took: Duration,
}

/// The queue to the writing thread and back.
pub(in crate::fleet) struct StoreWriter {
    requests: Sender<WriteRequest>,
    /// Closed once the store has failed.
    pub done: Receiver<Written>,
}

impl WriteRequest {
    pub fn new(token: Token, records: &[Record]) -> WriteRequest {
        WriteRequest { token, records: records.to_vec(), since: Instant::now() }
    }
}

/// Opens the store, or logs an error that says what to do and returns `None`: viewings go on without it.
pub(super) fn open(path: &Path) -> Option<(Store, StoredState)> {
    match Store::open(path, StoreGeneration::drawn(crate::fleet::unpredictable())) {
        Ok(opened) => Some(opened),
        Err(trouble) => {
            error!(target: "council", %trouble, "no store: this councillor abstains, viewings go on");
            None
        }
    }
}

impl StoreWriter {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(store: Store) -> Result<StoreWriter, RunError> {
        let (requests, waiting) = async_channel::bounded::<WriteRequest>(MAX_WAITING);
        let (tell, done) = async_channel::bounded(MAX_WAITING);
        let name = "council-store".to_string();
        std::thread::Builder::new()
            .name(name.clone())
            .spawn(move || write(&store, &waiting, &tell))
            .map_err(|cause| RunError::Thread { name, cause })?;
        Ok(StoreWriter { requests, done })
    }

    /// Returns false if the request cannot be queued: the store has failed, or too many requests wait.
    pub fn put(&self, write: WriteRequest) -> bool {
        self.requests.try_send(write).is_ok()
    }
}

fn write(store: &Store, waiting: &Receiver<WriteRequest>, tell: &Sender<Written>) {
    while let Ok(first) = waiting.recv_blocking() {
        let more = std::iter::from_fn(|| waiting.try_recv().ok());
        let requests: Vec<WriteRequest> =
            std::iter::once(first).chain(more.take(MAX_WRITES_PER_TRANSACTION - 1)).collect();
        if let Err(trouble) = store.persist(requests.iter().flat_map(|request| &request.records)) {
            error!(target: "council", %trouble, "the store failed: this councillor abstains, viewings go on");
            return;
        }
        for write in requests {
            if tell.send_blocking(Written { token: write.token, took: write.since.elapsed() }).is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn completed_writes_are_reported_in_order_and_survive_a_restart() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("council");
        let store_writer = StoreWriter::start(open(&path).unwrap().0).unwrap();
        let records = |number: u64| {
            [Record::PeerGeneration(ottersail_membership::MemberId(number), StoreGeneration(number))]
        };
        assert!((1..=40).all(|number| store_writer.put(WriteRequest::new(Token(number), &records(number)))));
        let done: Vec<u64> = (1..=40).map(|_| store_writer.done.recv_blocking().unwrap().token.0).collect();
        assert_eq!(done, (1..=40).collect::<Vec<_>>());
        drop(store_writer);
        let held = || open(&path).map(|(_, stored)| stored.known.len());
        let began = Instant::now();
        let mut found = None;
        // The thread closes the file shortly after its queue.
        while found.is_none() && began.elapsed() < Duration::from_secs(5) {
            found = held();
        }
        assert_eq!(found, Some(40));
    }

    #[test]
    fn a_file_that_is_no_store_is_rejected_and_left_unchanged() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("council");
        std::fs::write(&path, "something else").unwrap();
        assert!(open(&path).is_none());
        assert_eq!(std::fs::read(&path).unwrap(), b"something else");
    }
}
