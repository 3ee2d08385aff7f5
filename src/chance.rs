//! Chance that repeats from its seed.

/// A multiply-with-carry generator.
pub struct Chance(pub u64);

impl Default for Chance {
    fn default() -> Chance {
        Chance(1)
    }
}

impl Chance {
    /// From just above 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.below(1 << 24) + 1) as f64 / f64::from(1 << 24)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }
}

/// Which of these parts, laid end to end, that point lies in; none if it lies past them all.
pub fn along(mut parts: impl Iterator<Item = f64>, mut point: f64) -> Option<usize> {
    parts.position(|part| {
        point -= part;
        point < 0.0
    })
}
