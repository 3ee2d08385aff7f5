//! Stand-ins for the cases review/6 to review/10: video servers, the command channel, viewers, and one session
//! manager as a process. Only the standard library is used.

pub mod channel;
pub mod json;
pub mod manager;
pub mod record;
pub mod server;
pub mod settings;
pub mod sites;
pub mod sys;
pub mod viewer;

/// A small random generator (xorshift); the seed is part of the case.
pub struct Random(pub u64);

impl Random {
    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
