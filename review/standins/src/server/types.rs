//! How a server behaves, and what it tells of itself.

use std::time::Duration;

/// How a server treats set-ups.
#[derive(Clone, Copy)]
pub struct Manner {
    /// From the set-up to its answer.
    pub answers_after: Duration,
    /// From the answer to the end of the session, which the server then releases with cause 16.
    pub plays_for: Duration,
    /// The same in the class `live-audition`.
    pub live_plays_for: Duration,
    /// Of so many answers one stops short: its connection stays open and is of no further use. 0: none does.
    pub one_stops_short_of: usize,
}

/// A set-up that came whole.
#[derive(Clone)]
pub struct SetUp {
    pub at: f64,
    pub tag: String,
}

/// A session that came to its end.
#[derive(Clone)]
pub struct Ended {
    pub at: f64,
    pub tag: String,
}

impl super::Server {
    /// Number of these sessions that stand here or are being set up.
    pub fn standing_of(&self, sessions: &std::collections::BTreeSet<String>) -> usize {
        let state = self.state();
        state.playing.keys().chain(state.waiting.keys()).filter(|tag| sessions.contains(*tag)).count()
    }
}
