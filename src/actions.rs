//! Decisions that leave [`Placement`](crate::placement::Placement).

use crate::ids::{Rung, ServerId, TimerTag, ViewingId};
use crate::time::Ms;

/// Receives the decisions of [`Placement`](crate::placement::Placement). An implementation passes each call on
/// at once.
pub trait PlacementActions {
    /// Sends a tune-in for the viewing to the server and waits at most `time_out` for its result.
    fn tune_in(&mut self, viewing: &ViewingId, server: &ServerId, time_out: Ms);
    /// Sets the viewing's rung: of the next tune-in while it waits, of the running stream once it plays.
    fn step_to(&mut self, viewing: &ViewingId, rung: Rung);
    /// Answers the request with "blocked"; the viewer should not retry before `stay_away` has passed.
    fn shed(&mut self, viewing: &ViewingId, stay_away: Option<Ms>);
    /// Answers the request with "aborted": a set-up may have taken effect.
    fn abort(&mut self, viewing: &ViewingId);
    /// Calls `timer_fired` with this tag at time `at`.
    fn schedule(&mut self, tag: TimerTag, at: Ms);
    /// Subscribes to the server list.
    fn subscribe(&mut self);
    /// Asks a server for a load report; the result arrives through `probe_ended`.
    fn probe(&mut self, server: &ServerId);
}
