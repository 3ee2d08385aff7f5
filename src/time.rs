//! Times and spans in milliseconds with fractions, and sums that decay with time.

use std::cmp::Ordering;
use std::ops::{Add, Div, Mul, Sub};

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
    fn mul(self, times: f64) -> Ms {
        Ms(self.0 * times)
    }
}

impl Div for Ms {
    type Output = f64;
    fn div(self, other: Ms) -> f64 {
        self.0 / other.0
    }
}

/// A sum whose parts fade by a factor of e in each `fade`; brought up to date when it is read.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Ms,
}

impl DecayingSum {
    pub fn read(&self, now: Ms, fade: Ms) -> f64 {
        if self.sum == 0.0 {
            return 0.0;
        }
        self.sum * (-((now - self.at) / fade).max(0.0)).exp()
    }

    pub fn add(&mut self, now: Ms, fade: Ms, part: f64) {
        self.sum = self.read(now, fade) + part;
        self.at = now;
    }
}
