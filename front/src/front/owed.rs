//! Who owes what: viewings that wait for an answer, play or end, and the moments at which somebody is
//! overdue.

use crate::effects::WatchId;
use ottersail::ids::{Rung, ServerId, ViewingId};
use ottersail::state::Outcome;
use ottersail::time::Ms;

/// A probe without an answer is given up after this time.
pub const PROBE_TIMEOUT: Ms = Ms(250.0);

/// What the front waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    Bell(u64, Ms),
    TuneIn(ViewingId),
    Silent(WatchId),
    Over(WatchId),
    Linger(ViewingId),
    Probe(ServerId),
}

/// How far a viewing has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    Waiting,
    Out,
    Playing,
    /// The server was told that it is over and has not confirmed it.
    Ending(Outcome),
}

/// A viewing as the front holds it: from being taken until the module was told its end.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) watch: WatchId,
    pub(super) place: Place,
    pub(super) tune_ins: usize,
    pub(super) server: ServerId,
    pub(super) address: String,
    pub(super) rung: Rung,
    /// A change of rung that is out at the server, and the one wanted after it.
    pub(super) changing: Option<Rung>,
    pub(super) then: Option<Rung>,
    /// A tune-in got no answer.
    pub(super) late: bool,
}
