//! What is known of a viewing.

use super::inputs::{Outcome, ViewingRequest};
use super::server::Server;
use crate::ids::{Rung, ServerId};
use crate::time::Ms;

/// Phase of a viewing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepted, with no tune-in in progress.
    Waiting,
    TuningIn,
    Playing,
    /// The request has its final answer or the viewing ended; a tune-in may still be in progress.
    Over,
}

/// One attempt to start a viewing at a server.
#[derive(Clone, Debug)]
pub struct TuneIn {
    pub server: ServerId,
    pub sent_at: Ms,
    /// `None` while it is in progress or the viewing plays.
    pub outcome: Option<Outcome>,
}

/// A viewing from its request to its end.
#[derive(Clone, Debug)]
pub struct Viewing {
    pub request: ViewingRequest,
    pub accepted_at: Ms,
    pub phase: Phase,
    pub rung: Rung,
    /// When it began to play.
    pub started_at: Ms,
    pub tune_ins: Vec<TuneIn>,
    /// Whether it arrived in excess of its tenant's allowance.
    pub over_share: bool,
    /// When the rules consider it next while it waits.
    pub next_review: Ms,
    /// The two holders drawn for it, while it waits for their load reports.
    pub candidates: Vec<ServerId>,
}

impl Viewing {
    /// A viewing without tune-ins, in the phase [`Phase::Over`] until the caller sets another.
    pub fn accepted(request: ViewingRequest, accepted_at: Ms, rung: Rung, over_share: bool) -> Viewing {
        Viewing {
            request,
            accepted_at,
            phase: Phase::Over,
            rung,
            started_at: Ms::DISTANT_PAST,
            tune_ins: Vec::new(),
            over_share,
            next_review: accepted_at,
            candidates: Vec::new(),
        }
    }

    /// Whether a tune-in is in progress or the viewing plays.
    pub fn has_open_tune_in(&self) -> bool {
        self.tune_ins.last().is_some_and(|tune_in| tune_in.outcome.is_none())
    }

    /// Whether all tune-ins provably had no effect.
    pub fn never_took_effect(&self) -> bool {
        !self.tune_ins.iter().any(TuneIn::may_have_run)
    }

    /// Whether a tune-in at the server was abandoned without an answer. It may still run there, and its end
    /// could be mistaken for the end of another tune-in at that server.
    pub fn may_still_run_at(&self, server: &Server) -> bool {
        let abandoned = |tune_in: &TuneIn| {
            tune_in.outcome == Some(Outcome::NoAnswer) && tune_in.server == server.entry.server
        };
        self.tune_ins.iter().any(abandoned)
    }

    /// The server at which its tune-in is in progress or it plays.
    pub fn current_server(&self) -> Option<&ServerId> {
        self.tune_ins.last().filter(|tune_in| tune_in.outcome.is_none()).map(|tune_in| &tune_in.server)
    }
}

impl TuneIn {
    /// False if its outcome proves that it had no effect.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent))
    }
}
