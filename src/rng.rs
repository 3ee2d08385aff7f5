//! Reproducible random numbers.

/// A multiply-with-carry generator, seeded with its state.
pub struct Rng(pub u64);

impl Default for Rng {
    fn default() -> Rng {
        Rng(1)
    }
}

impl Rng {
    /// Uniform in (0, 1].
    pub fn unit(&mut self) -> f64 {
        (self.below(1 << 24) + 1) as f64 / f64::from(1 << 24)
    }

    /// Uniform integer in `0..limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }
}

/// Index of the interval that contains `point` when intervals of these lengths are laid end to end from 0;
/// `None` if it lies beyond them.
pub fn index_at(mut lengths: impl Iterator<Item = f64>, mut point: f64) -> Option<usize> {
    lengths.position(|length| {
        point -= length;
        point < 0.0
    })
}
