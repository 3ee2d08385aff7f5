//! Judges a trial on the live platform from what clients and video servers saw on their sockets. Nothing that a
//! session manager says of itself counts.

mod answers;
mod attempts;
mod releases;
mod sessions;
#[cfg(test)]
mod tests;
mod trace;

use std::fmt;
use std::time::{Duration, Instant};
pub use trace::{Class, ClientEvent, End, ManagerEvent, ServerEvent, Terms, Trace};

/// Every time limit of the rules is this much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);

/// A rule of the protocol page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request without its one final answer, or an end that its client was not told of in time.
    Lost,
    /// An attempt that may run beside or after another one, where its class forbids that.
    Duplicate,
    /// An attempt sent to a server past the grace after it was told to drain or be gone.
    Drain,
    /// An attempt for a client that had gone.
    Abandoned,
    /// A session that plays on though nobody holds it any more.
    LeftStanding,
}

/// A broken rule: what was seen, of which session, and when.
#[derive(Clone, Debug)]
pub struct Broken {
    pub rule: Rule,
    pub session: String,
    /// Since the start of the trial.
    pub at: Duration,
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.3} s, session {}: {}",
            self.rule,
            self.at.as_secs_f64(),
            self.session,
            self.what
        )
    }
}

/// All rules that the trial broke, in the order of time.
pub fn judge(trace: &Trace) -> Vec<Broken> {
    let sessions = sessions::collect(trace);
    let mut broken = Vec::new();
    for session in sessions.values() {
        answers::judge(trace, session, &mut broken);
        releases::judge(trace, session, &mut broken);
        attempts::judge(trace, session, &mut broken);
    }
    broken.sort_by_key(|broken| broken.at);
    broken
}

fn since(trace: &Trace, at: Instant) -> Duration {
    at.saturating_duration_since(trace.began)
}
