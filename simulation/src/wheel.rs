//! What is to happen, in order of time; of equal times what was put first. A hierarchical timing wheel
//! (Varghese and Lauck, 1987): an entry lies in the slot of the highest digit, base 256, in which its
//! millisecond differs from the present one, and moves down as that comes near. Within the present
//! millisecond entries are kept in a small heap, so that times with fractions keep their exact order.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

const BITS: u32 = 8;
const SLOTS: usize = 1 << BITS;
/// Five digits of milliseconds: 34 years from the wheel's start.
const LEVELS: usize = 5;
const FAR: u64 = (1 << (BITS * LEVELS as u32)) - 1;

#[derive(Debug)]
struct Entry<T> {
    at: f64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The greatest is the next, as `BinaryHeap` wants it.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

#[derive(Debug)]
struct Level<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// A bit for each slot that holds something.
    full: [u64; SLOTS / 64],
}

impl<T> Level<T> {
    fn new() -> Level<T> {
        Level { slots: (0..SLOTS).map(|_| Vec::new()).collect(), full: [0; SLOTS / 64] }
    }

    fn put(&mut self, slot: usize, entry: Entry<T>) {
        self.slots[slot].push(entry);
        self.full[slot / 64] |= 1 << (slot % 64);
    }

    fn take(&mut self, slot: usize) -> Vec<Entry<T>> {
        self.full[slot / 64] &= !(1 << (slot % 64));
        std::mem::take(&mut self.slots[slot])
    }

    /// The first slot after that one that holds something.
    fn next(&self, after: usize) -> Option<usize> {
        let from = after + 1;
        (from / 64..SLOTS / 64).find_map(|word| {
            let mask = if word == from / 64 { u64::MAX << (from % 64) } else { u64::MAX };
            let bits = self.full[word] & mask;
            (bits != 0).then(|| word * 64 + bits.trailing_zeros() as usize)
        })
    }
}

/// Times in milliseconds, not before the start.
#[derive(Debug)]
pub struct Wheel<T> {
    start: f64,
    /// The present millisecond, counted from the start.
    tick: u64,
    present: BinaryHeap<Entry<T>>,
    levels: Vec<Level<T>>,
    order: u64,
    len: usize,
}

impl<T> Wheel<T> {
    pub fn new(start: f64) -> Wheel<T> {
        let levels = (0..LEVELS).map(|_| Level::new()).collect();
        Wheel { start, tick: 0, present: BinaryHeap::new(), levels, order: 0, len: 0 }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What lies in the past comes next, in order of its time.
    pub fn put(&mut self, at: f64, what: T) {
        self.order += 1;
        self.len += 1;
        self.place(Entry { at, order: self.order, what });
    }

    fn place(&mut self, entry: Entry<T>) {
        // Beyond the wheel: at its end, where it is looked at again.
        let tick = ((entry.at - self.start).max(0.0) as u64).min(FAR);
        let differ = tick ^ self.tick;
        if tick <= self.tick {
            return self.present.push(entry);
        }
        let level = ((63 - differ.leading_zeros()) / BITS) as usize;
        let slot = (tick >> (level as u32 * BITS)) as usize % SLOTS;
        self.levels[level].put(slot, entry);
    }

    /// Takes the next.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        loop {
            if let Some(entry) = self.present.pop() {
                self.len -= 1;
                return Some((entry.at, entry.what));
            }
            if self.len == 0 {
                return None;
            }
            self.turn();
        }
    }

    /// Goes on to the next slot that holds something, on the lowest level that has one ahead.
    fn turn(&mut self) {
        for level in 0..LEVELS {
            let shift = level as u32 * BITS;
            let digit = (self.tick >> shift) as usize % SLOTS;
            if let Some(slot) = self.levels[level].next(digit) {
                let above = self.tick >> (shift + BITS) << (shift + BITS);
                self.tick = above | (slot as u64) << shift;
                for entry in self.levels[level].take(slot) {
                    self.place(entry);
                }
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn equal_times_keep_their_order() {
        let mut wheel = Wheel::new(1e12);
        for what in 0..100 {
            wheel.put(1e12 + 700.25, what);
        }
        wheel.put(1e12 + 700.125, 1000);
        let all: Vec<i32> = std::iter::from_fn(|| wheel.pop()).map(|it| it.1).collect();
        assert_eq!(all[0], 1000);
        assert_eq!(all[1..], (0..100).collect::<Vec<_>>());
    }

    #[test]
    fn what_lies_past_the_wheel_comes_last_and_in_order() {
        let mut wheel = Wheel::new(0.0);
        let far = FAR as f64;
        for at in [far * 3.0, far * 2.0, 5.0, far + 1.0, -4.0] {
            wheel.put(at, at);
        }
        let all: Vec<f64> = std::iter::from_fn(|| wheel.pop()).map(|it| it.1).collect();
        assert_eq!(all, [-4.0, 5.0, far + 1.0, far * 2.0, far * 3.0]);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 300, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default()
        })]

        /// Beside a plain list that is sorted: whatever is put in between, also for the present moment or the
        /// past.
        #[test]
        fn as_a_sorted_list(
            steps in proptest::collection::vec((any::<bool>(), 0u32..40, 0.0..1.0f64), 1..300),
        ) {
            let (mut wheel, mut plain) = (Wheel::new(0.0), Vec::<(f64, usize)>::new());
            let mut now = 0.0f64;
            for (no, (puts, power, part)) in steps.into_iter().enumerate() {
                if puts {
                    let at = now - 3.0 + part * 2f64.powi(power as i32 / 2);
                    let at = if power % 3 == 0 { at.floor() } else { at };
                    wheel.put(at, no);
                    plain.push((at, no));
                } else {
                    plain.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
                    let next = (!plain.is_empty()).then(|| plain.remove(0));
                    let popped = wheel.pop();
                    prop_assert_eq!(popped, next);
                    now = popped.map_or(now, |it| it.0.max(now));
                }
                prop_assert_eq!(wheel.len(), plain.len());
            }
        }
    }
}
