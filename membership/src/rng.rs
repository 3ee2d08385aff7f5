//! A random number generator that repeats from its seed.

/// A multiply-with-carry generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator for this seed.
    pub fn new(seed: u64) -> SeededRng {
        let mut rng = SeededRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        // The first draws are discarded: seeds that differ in few bits give nearly equal ones.
        (0..8).for_each(|_| {
            rng.below(2);
        });
        rng
    }

    /// A number from 0 to `limit` - 1.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }

    /// A number above 0 and up to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.below(1 << 24) + 1) as f64 / f64::from(1 << 24)
    }

    /// Puts the list in random order.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for end in (1..list.len()).rev() {
            list.swap(end, self.below(end + 1));
        }
    }

    /// Up to `count` items of the list, in random order.
    pub fn sample<T>(&mut self, mut list: Vec<T>, count: usize) -> Vec<T> {
        for index in 0..count.min(list.len()) {
            let other = index + self.below(list.len() - index);
            list.swap(index, other);
        }
        list.truncate(count);
        list
    }
}
