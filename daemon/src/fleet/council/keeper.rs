//! The one thread that writes a councillor's store. Wishes that wait together go in one synced transaction,
//! so that a slow disk costs latency of the council and nothing else: no viewer's request ever waits for it.

use crate::error::RunError;
use async_channel::{Receiver, Sender};
use ottersail_consensus::{Record, StoreGeneration, StoredState, Token};
use ottersail_register::Store;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::error;

/// Wishes that wait at most. An acceptor has 256 replies waiting at most, and a recovery adds some.
const MOST_WAITING: usize = 1_024;
/// Wishes in one transaction at most.
const TOGETHER: usize = 128;

/// To be kept, all or none.
#[derive(Debug)]
pub(in crate::fleet) struct Wish {
    token: Token,
    records: Vec<Record>,
    since: Instant,
}

/// Kept, and how long it took from the wish on.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct Done {
    pub token: Token,
    pub took: Duration,
}

pub(in crate::fleet) struct Keeper {
    wishes: Sender<Wish>,
    /// Closed once the store has failed.
    pub done: Receiver<Done>,
}

impl Wish {
    pub fn new(token: Token, records: &[Record]) -> Wish {
        Wish { token, records: records.to_vec(), since: Instant::now() }
    }
}

/// The store, or `None` with a line that says what to do: viewings go on without it.
pub(super) fn open(path: &Path) -> Option<(Store, StoredState)> {
    match Store::open(path, StoreGeneration::drawn(crate::fleet::unguessed())) {
        Ok(opened) => Some(opened),
        Err(trouble) => {
            error!(target: "council", %trouble, "no store: this councillor abstains, viewings go on");
            None
        }
    }
}

impl Keeper {
    /// # Errors
    /// If no thread can be had.
    pub fn start(store: Store) -> Result<Keeper, RunError> {
        let (wishes, waiting) = async_channel::bounded::<Wish>(MOST_WAITING);
        let (tell, done) = async_channel::bounded(MOST_WAITING);
        let name = "council-store".to_string();
        std::thread::Builder::new()
            .name(name.clone())
            .spawn(move || write(&store, &waiting, &tell))
            .map_err(|cause| RunError::Thread { name, cause })?;
        Ok(Keeper { wishes, done })
    }

    /// False if it can't be taken: the store has failed, or so many wait that it stands still.
    pub fn put(&self, wish: Wish) -> bool {
        self.wishes.try_send(wish).is_ok()
    }
}

fn write(store: &Store, waiting: &Receiver<Wish>, tell: &Sender<Done>) {
    while let Ok(first) = waiting.recv_blocking() {
        let more = std::iter::from_fn(|| waiting.try_recv().ok());
        let wishes: Vec<Wish> = std::iter::once(first).chain(more.take(TOGETHER - 1)).collect();
        if let Err(trouble) = store.persist(wishes.iter().flat_map(|it| &it.records)) {
            error!(target: "council", %trouble, "the store failed: this councillor abstains, viewings go on");
            return;
        }
        for wish in wishes {
            if tell.send_blocking(Done { token: wish.token, took: wish.since.elapsed() }).is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_told_as_kept_is_there_after_a_start_and_comes_in_order() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("council");
        let keeper = Keeper::start(open(&path).unwrap().0).unwrap();
        let memory =
            |it: u64| [Record::PeerGeneration(ottersail_membership::MemberId(it), StoreGeneration(it))];
        assert!((1..=40).all(|it| keeper.put(Wish::new(Token(it), &memory(it)))));
        let done: Vec<u64> = (1..=40).map(|_| keeper.done.recv_blocking().unwrap().token.0).collect();
        assert_eq!(done, (1..=40).collect::<Vec<_>>());
        drop(keeper);
        let held = || open(&path).map(|it| it.1.known.len());
        let began = Instant::now();
        let mut found = None;
        // The thread lets the file go a moment after its queue.
        while found.is_none() && began.elapsed() < Duration::from_secs(5) {
            found = held();
        }
        assert_eq!(found, Some(40));
    }

    #[test]
    fn what_is_no_store_makes_an_abstainer_and_is_left_as_it_is() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("council");
        std::fs::write(&path, "something else").unwrap();
        assert!(open(&path).is_none());
        assert_eq!(std::fs::read(&path).unwrap(), b"something else");
    }
}
