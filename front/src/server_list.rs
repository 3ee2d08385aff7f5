//! Decides which list of servers to accept. The index of a catalogue only grows. If it decreases, either an
//! old answer arrived late or from a lagging replica, or the catalogue was recreated. In the first case
//! drained and gone servers must not be forgotten; in the second the new list must not be refused for ever.

use ottersail::ids::ServerId;
use ottersail::state::{Availability, ServerEntry};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// Lists with a lower index are accepted once their index has increased this often.
const ADVANCES_TO_ACCEPT: u32 = 3;
/// Or once lists have had a lower index for this long.
const TIME_TO_ACCEPT: Ms = Ms(30_000.0);

/// Lists whose index is below the highest one seen.
#[derive(Clone, Copy, Debug)]
struct Regression {
    since: Ms,
    last_index: u64,
    /// How often the index increased meanwhile.
    advances: u32,
}

/// The accepted server list.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    index: u64,
    known: BTreeMap<ServerId, ServerEntry>,
    regression: Option<Regression>,
}

impl ServerList {
    /// Processes a complete list and returns the entries that changed. Servers missing from it are gone.
    pub fn update(&mut self, now: Ms, index: u64, list: Vec<ServerEntry>) -> Vec<ServerEntry> {
        let outdated = self.is_outdated(now, index);
        let mut changed = Vec::new();
        let mut missing = self.known.clone();
        for entry in list {
            let known = missing.remove(&entry.server);
            let same = known.as_ref().is_some_and(|known| {
                (known.availability, known.started, known.cell, &known.zone, known.weight, &known.kind)
                    == (entry.availability, entry.started, entry.cell, &entry.zone, entry.weight, &entry.kind)
            });
            // An outdated list can only withdraw servers: it may list as up what has begun to drain since.
            let adds = outdated && entry.availability == Availability::Up;
            if !same && !adds {
                changed.push(entry);
            }
        }
        // A server missing from an outdated list may be gone, or may not have been listed yet. It gets
        // nothing new until a current list contains it; otherwise servers that the outdated list does not
        // know stay in use.
        let missing_as = if outdated { Availability::Leaving } else { Availability::Gone };
        for entry in missing.into_values().filter(|entry| entry.availability != missing_as) {
            changed.push(ServerEntry { availability: missing_as, ..entry });
        }
        for entry in &changed {
            match entry.availability {
                // Nothing is kept of servers that are gone, so that replacements do not accumulate.
                Availability::Gone => self.known.remove(&entry.server),
                _ => self.known.insert(entry.server.clone(), entry.clone()),
            };
        }
        changed
    }

    fn is_outdated(&mut self, now: Ms, index: u64) -> bool {
        if index >= self.index {
            (self.index, self.regression) = (index, None);
            return false;
        }
        let first = Regression { since: now, last_index: index, advances: 0 };
        let Regression { since, last_index, advances } = self.regression.unwrap_or(first);
        let advances = if index > last_index { advances + 1 } else { advances };
        if advances >= ADVANCES_TO_ACCEPT || now - since >= TIME_TO_ACCEPT {
            (self.index, self.regression) = (index, None);
            return false;
        }
        self.regression = Some(Regression { since, last_index: index, advances });
        true
    }

    /// The accepted entry of a server that is not gone.
    pub fn entry(&self, server: &ServerId) -> Option<&ServerEntry> {
        self.known.get(server)
    }

    /// Number of servers that are up or drain.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no server is up or drains.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail::ids::Cell;
    use Availability::{Gone, Leaving, Up};

    fn entry(server: &str, availability: Availability) -> ServerEntry {
        ServerEntry {
            kind: "k".into(),
            cell: Cell(0),
            availability,
            server: server.into(),
            started: None,
            weight: 1.0,
            zone: "z".into(),
        }
    }

    fn summary(changes: Vec<ServerEntry>) -> Vec<(String, Availability)> {
        changes.into_iter().map(|entry| (entry.server.to_string(), entry.availability)).collect()
    }

    #[test]
    fn only_changed_entries_are_returned() {
        let mut list = ServerList::default();
        let both = vec![entry("a", Up), entry("b", Up)];
        assert_eq!(summary(list.update(Ms(0.0), 5, both.clone())).len(), 2);
        assert_eq!(summary(list.update(Ms(1.0), 6, both)), []);
        let gone = list.update(Ms(2.0), 7, vec![entry("a", Leaving)]);
        assert_eq!(summary(gone), [("a".into(), Leaving), ("b".into(), Gone)]);
    }

    #[test]
    fn an_outdated_list_adds_no_server() {
        let mut list = ServerList::default();
        list.update(Ms(0.0), 5, vec![entry("a", Leaving), entry("b", Up)]);
        let outdated = vec![entry("a", Up), entry("b", Leaving), entry("c", Up)];
        let old = list.update(Ms(1.0), 4, outdated);
        assert_eq!(summary(old), [("b".into(), Leaving)], "it may only withdraw servers");
        let new = list.update(Ms(2.0), 6, vec![entry("b", Up)]);
        assert_eq!(summary(new), [("b".into(), Up), ("a".into(), Gone)]);
    }

    #[test]
    fn servers_missing_from_an_outdated_list_get_nothing_new() {
        let mut list = ServerList::default();
        list.update(Ms(0.0), 5, vec![entry("a", Up), entry("b", Up)]);
        assert_eq!(summary(list.update(Ms(1.0), 4, vec![entry("a", Up)])), [("b".into(), Leaving)]);
        assert_eq!(
            summary(list.update(Ms(2.0), 5, vec![entry("a", Up), entry("b", Up)])),
            [("b".into(), Up)]
        );
    }

    #[test]
    fn a_recreated_catalogue_is_accepted_eventually() {
        let mut list = ServerList::default();
        list.update(Ms(0.0), 500, vec![entry("a", Up)]);
        let changes = (1..=4).map(|index| list.update(Ms(1.0), index, vec![entry("b", Up)]).len());
        assert_eq!(changes.collect::<Vec<_>>(), [1, 0, 0, 2], "after three advances");
        list.update(Ms(0.0), 500, vec![entry("a", Up)]);
        assert_eq!(summary(list.update(Ms(5.0), 9, vec![entry("b", Up)])), [("a".into(), Leaving)]);
        assert_eq!(list.update(Ms(40_000.0), 9, vec![entry("b", Up)]).len(), 2, "or after half a minute");
    }
}
