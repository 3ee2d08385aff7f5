//! The list's book: who is told of, and when.

use ottersail_invariants::record::Standing as Told;
use ottersail_wire::catalogue::CatalogueServer;
use std::collections::BTreeMap;

pub(crate) const FIRST_INDEX: usize = 1000;

/// What the list has to say, and when it says it.
#[derive(Default)]
pub(crate) struct Book {
    /// By when they are seen: who changed, and to what.
    changes: Vec<(f64, String, Option<CatalogueServer>)>,
    pub silent: bool,
    pub failing: bool,
    pub garbled: bool,
    pub behind: f64,
    pub back: f64,
    /// All titles, once they are written.
    pub titles: Option<String>,
    /// What each manager was told of each server.
    pub told: BTreeMap<usize, BTreeMap<String, Told>>,
}

impl Book {
    pub fn change(&mut self, now: f64, seen_at: f64, id: &str, entry: Option<CatalogueServer>) {
        // What was to be said of it later is overtaken.
        self.changes.retain(|it| it.0 <= now || it.1 != id || it.0 <= seen_at);
        self.changes.push((seen_at, id.to_string(), entry));
        self.changes.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// The index at that time; the list itself is put together only where it is to be told.
    pub fn index(&self, time: f64) -> usize {
        FIRST_INDEX + self.changes.partition_point(|it| it.0 <= time)
    }

    pub fn at(&self, time: f64) -> Vec<CatalogueServer> {
        let mut list: BTreeMap<&str, &CatalogueServer> = BTreeMap::new();
        for (_, id, entry) in self.changes.iter().take_while(|it| it.0 <= time) {
            match entry {
                Some(entry) => _ = list.insert(id, entry),
                None => _ = list.remove(id.as_str()),
            }
        }
        list.into_values().cloned().collect()
    }
}
