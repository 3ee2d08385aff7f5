use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970, taken from the wall clock once and carried on by the monotonic one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: f64,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: wall.as_secs_f64() * 1e3, since: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.base + self.since.elapsed().as_secs_f64() * 1e3
    }

    pub fn now_s(&self) -> u64 {
        (self.now() / 1e3) as u64
    }

    /// The instant at which that time is reached; now, if it has passed.
    pub fn instant(&self, at: f64) -> Instant {
        let ahead = (at - self.base).clamp(0.0, 1e12);
        self.since + Duration::from_secs_f64(ahead / 1e3)
    }
}
