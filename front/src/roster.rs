//! Which list of servers to believe. A catalogue's index only grows; when it goes back, either an old answer
//! came late or from a replica that lags, or the catalogue began anew. What was said of draining and gone
//! servers must not be forgotten for the first, nor the new list refused for ever for the second.

use ottersail::ids::ServerId;
use ottersail::state::{Availability, ServerEntry};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// A list that goes back is believed once it has moved on so often since, or stood for so long.
const MOVED_ON: u32 = 3;
const STOOD: Ms = Ms(30_000.0);

#[derive(Clone, Debug, Default)]
pub struct Roster {
    index: u64,
    known: BTreeMap<ServerId, ServerEntry>,
    /// Since when lists have been from before, the last such index, and how often it moved on.
    back: Option<(Ms, u64, u32)>,
}

impl Roster {
    /// Takes a whole list; gives the entries that changed. What is missing from it is gone.
    pub fn take(&mut self, now: Ms, index: u64, list: Vec<ServerEntry>) -> Vec<ServerEntry> {
        let older = self.older(now, index);
        let mut changed = Vec::new();
        let mut missing = self.known.clone();
        for entry in list {
            let known = missing.remove(&entry.server);
            let same = known.as_ref().is_some_and(|it| {
                (it.availability, it.started, it.cell, &it.zone, it.weight, &it.kind)
                    == (entry.availability, entry.started, entry.cell, &entry.zone, entry.weight, &entry.kind)
            });
            // An older list only takes away: it may name again what was told to be leaving since.
            let promises = older && entry.availability == Availability::Up;
            if !same && !promises {
                changed.push(entry);
            }
        }
        // What an older list does not name may be gone or not yet have come: nothing new goes there until a
        // newer one names it. Found by a rehearsal in which the list went back: new servers were used all the
        // same.
        let lost = if older { Availability::Leaving } else { Availability::Gone };
        for entry in missing.into_values().filter(|it| it.availability != lost) {
            changed.push(ServerEntry { availability: lost, ..entry });
        }
        for entry in &changed {
            match entry.availability {
                // Nothing is kept of what is gone, so that replacements for ever take no room.
                Availability::Gone => self.known.remove(&entry.server),
                _ => self.known.insert(entry.server.clone(), entry.clone()),
            };
        }
        changed
    }

    fn older(&mut self, now: Ms, index: u64) -> bool {
        if index >= self.index {
            (self.index, self.back) = (index, None);
            return false;
        }
        let (since, last, moved) = self.back.unwrap_or((now, index, 0));
        let moved = if index > last { moved + 1 } else { moved };
        if moved >= MOVED_ON || now - since >= STOOD {
            (self.index, self.back) = (index, None);
            return false;
        }
        self.back = Some((since, index, moved));
        true
    }

    pub fn entry(&self, server: &ServerId) -> Option<&ServerEntry> {
        self.known.get(server)
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail::ids::Cell;

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

    fn told(changes: Vec<ServerEntry>) -> Vec<(String, Availability)> {
        changes.into_iter().map(|it| (it.server.to_string(), it.availability)).collect()
    }

    use Availability::{Gone, Leaving, Up};

    #[test]
    fn only_changes_go_on() {
        let mut roster = Roster::default();
        let both = vec![entry("a", Up), entry("b", Up)];
        assert_eq!(told(roster.take(Ms(0.0), 5, both.clone())).len(), 2);
        assert_eq!(told(roster.take(Ms(1.0), 6, both)), []);
        let gone = roster.take(Ms(2.0), 7, vec![entry("a", Leaving)]);
        assert_eq!(told(gone), [("a".into(), Leaving), ("b".into(), Gone)]);
    }

    #[test]
    fn a_list_from_before_brings_nothing_back() {
        let mut roster = Roster::default();
        roster.take(Ms(0.0), 5, vec![entry("a", Leaving), entry("b", Up)]);
        let old = roster.take(Ms(1.0), 4, vec![entry("a", Up), entry("b", Leaving), entry("c", Up)]);
        assert_eq!(told(old), [("b".into(), Leaving)], "it may only take away");
        let new = roster.take(Ms(2.0), 6, vec![entry("b", Up)]);
        assert_eq!(told(new), [("b".into(), Up), ("a".into(), Gone)]);
    }

    #[test]
    fn what_a_list_from_before_does_not_name_gets_nothing_new() {
        let mut roster = Roster::default();
        roster.take(Ms(0.0), 5, vec![entry("a", Up), entry("b", Up)]);
        assert_eq!(told(roster.take(Ms(1.0), 4, vec![entry("a", Up)])), [("b".into(), Leaving)]);
        assert_eq!(told(roster.take(Ms(2.0), 5, vec![entry("a", Up), entry("b", Up)])), [("b".into(), Up)]);
    }

    #[test]
    fn a_catalogue_that_began_anew_is_believed_after_a_while() {
        let mut roster = Roster::default();
        roster.take(Ms(0.0), 500, vec![entry("a", Up)]);
        let changes = (1..=4).map(|it| roster.take(Ms(1.0), it, vec![entry("b", Up)]).len());
        assert_eq!(changes.collect::<Vec<_>>(), [1, 0, 0, 2], "after it moved on three times");
        roster.take(Ms(0.0), 500, vec![entry("a", Up)]);
        assert_eq!(told(roster.take(Ms(5.0), 9, vec![entry("b", Up)])), [("a".into(), Leaving)]);
        assert_eq!(roster.take(Ms(40_000.0), 9, vec![entry("b", Up)]).len(), 2, "or stood half a minute");
    }
}
