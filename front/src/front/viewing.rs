//! The state of a viewing in the front, and the keys of its timers.

use crate::effects::WatchId;
use ottersail::ids::{Rung, ServerId, ViewingId};
use ottersail::state::Outcome;
use ottersail::time::Ms;

/// A probe without an answer has failed after this time.
pub const PROBE_TIMEOUT: Ms = Ms(250.0);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// Scheduled by the decisions, with their tag and the time.
    Decision(u64, Ms),
    /// Time-out of the viewing's tune-in.
    TuneIn(ViewingId),
    /// Time by which the player must have reloaded its playlist.
    Reload(WatchId),
    /// The watch has been played to its end.
    PlayedOut(WatchId),
    /// Time-out of the server's confirmation that a viewing ended.
    EndConfirmation(ViewingId),
    /// Time-out of a probe.
    Probe(ServerId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewingPhase {
    /// No tune-in is in progress.
    Waiting,
    TuningIn,
    Playing,
    /// The server was told to end the viewing and has not confirmed it.
    Ending(Outcome),
}

/// A viewing, from its acceptance until the decisions have been told its end.
#[derive(Debug)]
pub(super) struct ViewingState {
    pub(super) watch: WatchId,
    pub(super) phase: ViewingPhase,
    /// Number of tune-ins so far.
    pub(super) tune_ins: usize,
    /// Server of the last tune-in, and its address.
    pub(super) server: ServerId,
    pub(super) address: String,
    /// Rung of the next tune-in, or at which the viewing plays.
    pub(super) rung: Rung,
    /// Rung that was requested from the server, which has not answered yet.
    pub(super) requested_rung: Option<Rung>,
    /// Rung to request after that.
    pub(super) next_rung: Option<Rung>,
    /// Whether a tune-in got no answer in time.
    pub(super) timed_out: bool,
}
