//! Times and durations in milliseconds, and exponentially decaying sums.

use std::cmp::Ordering;
use std::ops::{Add, Div, Mul, Sub};

/// A duration, or a point in time since an epoch that the caller chooses, in milliseconds. Totally ordered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ms(pub f64);

impl PartialEq for Ms {
    fn eq(&self, other: &Ms) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ms {}

impl PartialOrd for Ms {
    fn partial_cmp(&self, other: &Ms) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ms {
    fn cmp(&self, other: &Ms) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Ms {
    /// Earlier than any other time.
    pub const DISTANT_PAST: Ms = Ms(f64::NEG_INFINITY);
}

impl Add for Ms {
    type Output = Ms;
    fn add(self, other: Ms) -> Ms {
        Ms(self.0 + other.0)
    }
}

impl Sub for Ms {
    type Output = Ms;
    fn sub(self, other: Ms) -> Ms {
        Ms(self.0 - other.0)
    }
}

impl Mul<f64> for Ms {
    type Output = Ms;
    fn mul(self, factor: f64) -> Ms {
        Ms(self.0 * factor)
    }
}

impl Div for Ms {
    type Output = f64;
    fn div(self, other: Ms) -> f64 {
        self.0 / other.0
    }
}

/// A sum whose terms decay by a factor of e within each time constant. The decay is applied on access.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Ms,
}

impl DecayingSum {
    /// The sum at `now`.
    pub fn read(&self, now: Ms, time_constant: Ms) -> f64 {
        if self.sum == 0.0 {
            return 0.0;
        }
        self.sum * (-((now - self.at) / time_constant).max(0.0)).exp()
    }

    /// Adds a term.
    pub fn add(&mut self, now: Ms, time_constant: Ms, term: f64) {
        self.sum = self.read(now, time_constant) + term;
        self.at = now;
    }
}
