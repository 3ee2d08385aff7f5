//! SeededRng that repeats from its seed.

/// A multiply-with-carry generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        let mut chance = SeededRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        // Seeds that differ in a few bits give near equal first draws.
        (0..8).for_each(|_| {
            chance.below(2);
        });
        chance
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }

    /// From just above 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.below(1 << 24) + 1) as f64 / f64::from(1 << 24)
    }

    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for end in (1..list.len()).rev() {
            list.swap(end, self.below(end + 1));
        }
    }

    /// Up to `count` of the list, in no order.
    pub fn sample<T>(&mut self, mut list: Vec<T>, count: usize) -> Vec<T> {
        for at in 0..count.min(list.len()) {
            let other = at + self.below(list.len() - at);
            list.swap(at, other);
        }
        list.truncate(count);
        list
    }
}
