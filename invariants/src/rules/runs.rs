//! When each manager ran: what it owes, it owes for the time that it had.

use crate::record::{Event, Line};
use std::collections::BTreeMap;

/// What happens at two ends of a connection lies this far apart at most, in milliseconds; no finding hangs on
/// less.
pub(super) const SLACK: f64 = 150.0;

/// When each manager did not run: killed until ready again, or stopped.
pub(super) struct Runs {
    dead: BTreeMap<usize, Vec<(f64, f64)>>,
    /// From when it was told to end until another one is ready in its place.
    ending: BTreeMap<usize, Vec<(f64, f64)>>,
    stopped: BTreeMap<usize, Vec<(f64, f64)>>,
    /// When one of its cores stood still.
    partly: BTreeMap<usize, Vec<(f64, f64)>>,
}

impl Runs {
    pub fn of(lines: &[Line]) -> Runs {
        let mut runs = Runs {
            dead: BTreeMap::new(),
            ending: BTreeMap::new(),
            stopped: BTreeMap::new(),
            partly: BTreeMap::new(),
        };
        for line in lines {
            match &line.event {
                Event::ManagerKilled { manager } => {
                    runs.dead.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::ManagerTold { manager } => {
                    runs.ending.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::ManagerReady { manager } => {
                    for of in [&mut runs.dead, &mut runs.ending] {
                        if let Some(last) = of.get_mut(manager).and_then(|it| it.last_mut()) {
                            last.1 = last.1.min(line.at);
                        }
                    }
                }
                Event::ManagerStopped { manager } => {
                    runs.stopped.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::CoreStopped { manager } => {
                    runs.partly.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::CoreContinued { manager } => {
                    if let Some(last) = runs.partly.get_mut(manager).and_then(|it| it.last_mut()) {
                        last.1 = last.1.min(line.at);
                    }
                }
                Event::ManagerContinued { manager } => {
                    if let Some(last) = runs.stopped.get_mut(manager).and_then(|it| it.last_mut()) {
                        last.1 = last.1.min(line.at);
                    }
                }
                _ => {}
            }
        }
        runs
    }

    pub fn died_within(&self, manager: usize, from: f64, to: f64) -> bool {
        self.dead
            .get(&manager)
            .is_some_and(|it| it.iter().any(|it| it.0 <= to + SLACK && it.1 >= from - SLACK))
    }

    /// A request sent to a manager that was told to end before it came was taken by nobody; what came before
    /// that is owed its answer.
    pub fn came_at_the_end(&self, manager: usize, at: f64) -> bool {
        let ending = self.ending.get(&manager).into_iter().flatten();
        ending.into_iter().any(|it| it.0 <= at + SLACK && at <= it.1 + SLACK)
    }

    /// A request that lay unread on a connection of a core that stood still was not taken by anybody.
    pub fn partly_still(&self, manager: usize, from: f64, to: f64) -> bool {
        self.partly.get(&manager).is_some_and(|it| it.iter().any(|it| it.0 <= to && it.1 >= from))
    }

    pub fn died_at(&self, manager: usize) -> impl Iterator<Item = f64> + '_ {
        self.dead.get(&manager).into_iter().flatten().map(|it| it.0)
    }

    /// The moment by which a manager that is given so long from then on has had that much time to run.
    pub fn run_for(&self, manager: usize, from: f64, span: f64) -> f64 {
        let mut until = from + span;
        for (start, end) in self.stopped.get(&manager).into_iter().flatten() {
            if *start < until && *end > from {
                until += end - start.max(from);
            }
        }
        until
    }
}
