//! Logs membership changes under the target `members`.

use ottersail_membership::{Change, Reachability, State, StateChangeReason};
use tracing::{info, warn};

/// The name of a state in the log and the metrics.
pub(super) fn state(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

/// The name of a reachability in the log and the metrics.
pub(super) fn hearing(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Mutual => "both",
        Reachability::InboundOnly => "only-i-hear",
        Reachability::OutboundOnly => "only-heard",
        Reachability::ThroughOthers => "by-others",
        Reachability::Unreachable => "nobody",
    }
}

fn cause(reason: StateChangeReason) -> &'static str {
    match reason {
        StateChangeReason::Joined => "joined",
        StateChangeReason::Refuted => "refuted",
        StateChangeReason::ProbeFailed => "unanswered",
        StateChangeReason::SuspicionExpired => "ran-out",
        StateChangeReason::Reported => "told",
    }
}

/// Logs one change of the membership.
pub(super) fn write(change: &Change) {
    match change {
        Change::State { id, name, was, is, why } => {
            let (was, is, why) = (was.map_or("unknown", state), state(*is), cause(*why));
            info!(target: "members", name, %id, was, is, why, "believed");
        }
        Change::Reachability { id, was, is } => {
            info!(target: "members", %id, was = hearing(*was), is = hearing(*is), "hearing");
        }
        Change::NameConflict { by, instance } => warn!(
            target: "members", %by, life = %instance,
            "this name is held by another that answers; this one stays out until that is gone"
        ),
        Change::Joined => info!(target: "members", "came in"),
        Change::Paused { late } => {
            warn!(target: "members", late_ms = late.0.round(), "this process was paused; no member is declared dead because of it");
        }
    }
}
