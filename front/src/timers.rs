//! All times that the front waits for, in one structure: ordered by time and, for equal times, by when they
//! were set, so that equal inputs give equal outputs. A key has one time at most.

use ottersail::time::Ms;
use std::collections::BTreeMap;

#[derive(Debug)]
pub struct Timers<K> {
    queue: BTreeMap<(Ms, u64), K>,
    at: BTreeMap<K, (Ms, u64)>,
    count: u64,
}

impl<K: Ord + Clone> Timers<K> {
    pub fn new() -> Self {
        Timers { queue: BTreeMap::new(), at: BTreeMap::new(), count: 0 }
    }

    /// Sets the key's time, in place of an earlier one.
    pub fn set(&mut self, key: K, at: Ms) {
        self.cancel(&key);
        self.count += 1;
        self.queue.insert((at, self.count), key.clone());
        self.at.insert(key, (at, self.count));
    }

    pub fn cancel(&mut self, key: &K) {
        if let Some(slot) = self.at.remove(key) {
            self.queue.remove(&slot);
        }
    }

    pub fn next(&self) -> Option<Ms> {
        self.queue.first_key_value().map(|it| it.0 .0)
    }

    /// Takes the first key whose time has come.
    pub fn due(&mut self, now: Ms) -> Option<K> {
        let slot = self.queue.first_entry().filter(|it| it.key().0 <= now)?;
        let key = slot.remove();
        self.at.remove(&key);
        Some(key)
    }

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
        // The same cases each time; more by PROPTEST_CASES.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Against a plain list that is searched each time.
        #[test]
        fn keys_come_out_in_order(steps in proptest::collection::vec((0u8..3, 0u8..6, 0u8..20), 0..80)) {
            let (mut timers, mut plain) = (Timers::new(), Vec::<(f64, usize, u8)>::new());
            for (no, (step, key, time)) in steps.into_iter().enumerate() {
                match step {
                    0 => {
                        timers.set(key, Ms(time.into()));
                        plain.retain(|it| it.2 != key);
                        plain.push((time.into(), no, key));
                    }
                    1 => {
                        timers.cancel(&key);
                        plain.retain(|it| it.2 != key);
                    }
                    _ => {
                        plain.sort_by(|a, b| a.partial_cmp(b).unwrap());
                        let first = plain.first().filter(|it| it.0 <= f64::from(time)).copied();
                        plain.retain(|it| Some(*it) != first);
                        prop_assert_eq!(timers.due(Ms(time.into())), first.map(|it| it.2));
                    }
                }
                prop_assert_eq!(timers.len(), plain.len());
            }
        }
    }
}
