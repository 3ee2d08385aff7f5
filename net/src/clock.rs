//! Wall clock time that never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970: read from the wall clock once, and advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: f64,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_ms: wall.as_secs_f64() * 1e3, started: Instant::now() }
    }

    /// The time in milliseconds since 1970.
    pub fn now(&self) -> f64 {
        self.start_ms + self.started.elapsed().as_secs_f64() * 1e3
    }

    /// The time in whole seconds since 1970.
    pub fn now_s(&self) -> u64 {
        (self.now() / 1e3) as u64
    }

    /// The instant of a time in milliseconds since 1970, or of the start of the clock if it is earlier.
    pub fn instant(&self, at: f64) -> Instant {
        let ahead = (at - self.start_ms).clamp(0.0, 1e12);
        self.started + Duration::from_secs_f64(ahead / 1e3)
    }
}
