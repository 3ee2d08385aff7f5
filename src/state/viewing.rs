//! What the module knows of a viewing.

use super::server::Server;
use super::told::{Outcome, ViewingRequest};
use crate::ids::{Rung, ServerId};
use crate::time::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Taken, no tune-in out.
    Waiting,
    TuningIn,
    Playing,
    /// The manager owes nothing more; a tune-in may still be out.
    Over,
}

#[derive(Clone, Debug)]
pub struct TuneIn {
    pub server: ServerId,
    pub sent: Ms,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Viewing {
    pub wish: ViewingRequest,
    pub taken: Ms,
    pub phase: Phase,
    pub rung: Rung,
    /// When it began to play.
    pub started: Ms,
    pub tune_ins: Vec<TuneIn>,
    pub over_share: bool,
    /// When a waiting viewing is looked at again.
    pub look_at: Ms,
    /// The two holders drawn for it whose reports it waits for.
    pub picks: Vec<ServerId>,
}

impl Viewing {
    /// Nothing is owed yet and nothing is out.
    pub fn taken(wish: ViewingRequest, taken: Ms, rung: Rung, over_share: bool) -> Viewing {
        let (phase, tune_ins, started) = (Phase::Over, Vec::new(), Ms::DISTANT_PAST);
        Viewing { wish, taken, phase, rung, started, tune_ins, over_share, look_at: taken, picks: Vec::new() }
    }

    pub fn out(&self) -> bool {
        self.tune_ins.last().is_some_and(|it| it.outcome.is_none())
    }

    pub fn never_ran(&self) -> bool {
        !self.tune_ins.iter().any(TuneIn::may_have_run)
    }

    /// An attempt there was given up without an answer. It may run on, and its end would be taken for that of
    /// the next one there.
    pub fn may_run_on_at(&self, server: &Server) -> bool {
        let given_up =
            |it: &TuneIn| it.outcome == Some(Outcome::NoAnswer) && it.server == server.entry.server;
        self.tune_ins.iter().any(given_up)
    }

    /// Where its tune-in is out or it plays.
    pub fn place(&self) -> Option<&ServerId> {
        self.tune_ins.last().filter(|it| it.outcome.is_none()).map(|it| &it.server)
    }
}

impl TuneIn {
    /// False where its outcome proves that it never ran.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent))
    }
}
