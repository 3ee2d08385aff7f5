//! The wires between managers and servers, or the list, where the day's faults lie on wires. Who is hit is
//! drawn from the seed before the day begins; only these have relays, all others are called directly.

use crate::day::{Day, Fault, Ways};
use ottersail_fault_injection::{Direction, NetworkCondition, Relay};
use ottersail_net::Executor;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// A far end: a server's cell, or the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Far {
    Cell(u64),
    List,
}

/// Which wires a fault takes.
struct Hit {
    managers: BTreeSet<usize>,
    fars: BTreeSet<Far>,
    ways: Ways,
    condition: NetworkCondition,
    on: bool,
}

pub(crate) struct Wires {
    exec: Executor,
    seed: u64,
    /// By the place of its fault in the day.
    hits: BTreeMap<usize, Hit>,
    relays: BTreeMap<(usize, Far), Vec<(SocketAddr, Relay)>>,
    count: u64,
    behind: Behind,
}

/// What stands behind each relay's address. Viewers call servers directly: their way is not their manager's.
#[derive(Clone, Default)]
pub struct Behind(Arc<Mutex<BTreeMap<String, String>>>);

impl Behind {
    /// The address itself, if no relay has it.
    pub fn real(&self, address: &str) -> String {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(address).cloned().unwrap_or_else(|| address.to_string())
    }

    fn put(&self, relay: SocketAddr, real: SocketAddr) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(relay.to_string(), real.to_string());
    }
}

/// That part of so many, at least one, in a random order.
fn drawn(rng: &mut fastrand::Rng, count: u64, part: f64) -> Vec<u64> {
    let mut all: Vec<u64> = (0..count).collect();
    rng.shuffle(&mut all);
    all.truncate(((count as f64 * part).round() as usize).clamp(1, all.len().max(1)));
    all
}

impl Wires {
    pub fn new(exec: Executor, day: &Day) -> Wires {
        let mut rng = fastrand::Rng::with_seed(day.seed ^ 0x5717e5);
        let hit = |(ix, fault): (usize, &Fault)| {
            let managers = drawn(&mut rng, day.managers as u64, fault.managers);
            let cells = drawn(&mut rng, day.cells, fault.part).into_iter().map(Far::Cell);
            let hit = Hit {
                managers: managers.into_iter().map(|it| it as usize).collect(),
                fars: if fault.to_list { [Far::List].into() } else { cells.collect() },
                ways: fault.ways,
                condition: fault.condition()?,
                on: false,
            };
            Some((ix, hit))
        };
        let hits = day.faults.iter().enumerate().filter_map(hit).collect();
        Wires { exec, seed: day.seed, hits, relays: BTreeMap::new(), count: 0, behind: Behind::default() }
    }

    pub fn behind(&self) -> Behind {
        self.behind.clone()
    }

    /// True if no fault of the day lies on wires.
    pub fn is_empty(&self) -> bool {
        self.hits.is_empty()
    }

    /// Where a manager is to call that far end: at its address, or at a relay's if a fault of the day may
    /// take the wire.
    pub fn address(&mut self, manager: usize, far: Far, real: SocketAddr) -> SocketAddr {
        if !self.hits.values().any(|it| it.takes(manager, far)) {
            return real;
        }
        let there = self.relays.entry((manager, far)).or_default();
        if let Some((_, relay)) = there.iter().find(|it| it.0 == real) {
            return relay.address();
        }
        self.count += 1;
        // Without an address for a relay the wire is one without faults.
        let Ok(relay) = Relay::start(self.exec, real, self.seed.wrapping_add(self.count * 2)) else {
            return real;
        };
        let address = relay.address();
        self.behind.put(address, real);
        there.push((real, relay));
        self.refresh(manager, far);
        address
    }

    /// A fault begins or ends; who is hit, in words.
    pub fn switch(&mut self, fault: usize, on: bool) -> String {
        let Some(hit) = self.hits.get_mut(&fault) else {
            return String::new();
        };
        hit.on = on;
        let (managers, fars) = (hit.managers.clone(), hit.fars.clone());
        for manager in &managers {
            fars.iter().for_each(|it| self.refresh(*manager, *it));
        }
        format!("wires of {} managers to {} far ends", managers.len(), fars.len())
    }

    fn refresh(&self, manager: usize, far: Far) {
        let here = |it: &&Hit| it.on && it.takes(manager, far);
        for way in [Direction::Forward, Direction::Reverse] {
            let both = |it: &Hit| match (it.ways, way) {
                (Ways::Both, _) | (Ways::There, Direction::Forward) | (Ways::Back, Direction::Reverse) => {
                    it.condition
                }
                _ => NetworkCondition::default(),
            };
            let all = self
                .hits
                .values()
                .filter(here)
                .map(both)
                .fold(NetworkCondition::default(), NetworkCondition::combine);
            self.relays
                .get(&(manager, far))
                .into_iter()
                .flatten()
                .for_each(|it| it.1.set_condition(way, all));
        }
    }
}

impl Hit {
    fn takes(&self, manager: usize, far: Far) -> bool {
        self.managers.contains(&manager) && self.fars.contains(&far)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_net::executor;

    #[test]
    fn who_is_hit_is_the_same_for_the_same_seed() {
        let hit = |seed| {
            let mut rng = fastrand::Rng::with_seed(seed);
            (drawn(&mut rng, 300, 0.1), drawn(&mut rng, 200, 0.2))
        };
        assert_eq!(hit(5), hit(5));
        assert_ne!(hit(5), hit(6));
        assert_eq!((hit(5).0.len(), hit(5).1.len()), (30, 40));
        assert_eq!(drawn(&mut fastrand::Rng::with_seed(1), 3, 0.0).len(), 1, "one at least");
    }

    #[test]
    fn only_wires_that_a_fault_takes_have_relays() {
        let hit = Hit {
            managers: [1].into(),
            fars: [Far::Cell(7)].into(),
            ways: Ways::There,
            condition: NetworkCondition { delay_ms: 5.0, ..NetworkCondition::default() },
            on: false,
        };
        let mut wires = Wires {
            exec: executor(),
            seed: 1,
            hits: [(0, hit)].into(),
            relays: BTreeMap::new(),
            count: 0,
            behind: Behind::default(),
        };
        let real: SocketAddr = "127.0.0.1:9".parse().unwrap();
        assert_eq!(wires.address(1, Far::Cell(8), real), real);
        assert_eq!(wires.address(2, Far::Cell(7), real), real);
        let relay = wires.address(1, Far::Cell(7), real);
        assert_ne!(relay, real);
        assert_eq!(wires.address(1, Far::Cell(7), real), relay, "the same each time");
        assert_eq!(wires.behind().real(&relay.to_string()), real.to_string());
    }
}
