//! A queue of timers, ordered by time and, for equal times, by when they were set, so that equal inputs lead
//! to equal outputs. Each key has at most one timer.

use ottersail::time::Ms;
use std::collections::BTreeMap;

/// Timers by key.
#[derive(Debug)]
pub struct Timers<K> {
    /// Keys by time and sequence number.
    queue: BTreeMap<(Ms, u64), K>,
    positions: BTreeMap<K, (Ms, u64)>,
    /// Sequence number of the last timer set.
    sequence: u64,
}

impl<K: Ord + Clone> Timers<K> {
    /// No timers.
    pub fn new() -> Self {
        Timers { queue: BTreeMap::new(), positions: BTreeMap::new(), sequence: 0 }
    }

    /// Sets the key's timer, replacing an earlier one.
    pub fn set(&mut self, key: K, at: Ms) {
        self.cancel(&key);
        self.sequence += 1;
        self.queue.insert((at, self.sequence), key.clone());
        self.positions.insert(key, (at, self.sequence));
    }

    /// Removes the key's timer, if it has one.
    pub fn cancel(&mut self, key: &K) {
        if let Some(position) = self.positions.remove(key) {
            self.queue.remove(&position);
        }
    }

    /// Time of the first timer.
    pub fn next(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the first timer that is due and returns its key.
    pub fn pop_due(&mut self, now: Ms) -> Option<K> {
        let first = self.queue.first_entry().filter(|entry| entry.key().0 <= now)?;
        let key = first.remove();
        self.positions.remove(&key);
        Some(key)
    }

    /// Number of timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        // The same cases in each run; PROPTEST_CASES sets their number.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Compares with a list that is sorted at each step.
        #[test]
        fn due_keys_are_returned_in_order(
            steps in proptest::collection::vec((0u8..3, 0u8..6, 0u8..20), 0..80)
        ) {
            let (mut timers, mut reference) = (Timers::new(), Vec::<(f64, usize, u8)>::new());
            for (number, (step, key, time)) in steps.into_iter().enumerate() {
                match step {
                    0 => {
                        timers.set(key, Ms(time.into()));
                        reference.retain(|timer| timer.2 != key);
                        reference.push((time.into(), number, key));
                    }
                    1 => {
                        timers.cancel(&key);
                        reference.retain(|timer| timer.2 != key);
                    }
                    _ => {
                        reference.sort_by(|a, b| a.partial_cmp(b).unwrap());
                        let first = reference.first().filter(|timer| timer.0 <= f64::from(time)).copied();
                        reference.retain(|timer| Some(*timer) != first);
                        prop_assert_eq!(timers.pop_due(Ms(time.into())), first.map(|timer| timer.2));
                    }
                }
                prop_assert_eq!(timers.len(), reference.len());
            }
        }
    }
}
