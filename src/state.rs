//! Shapes of what the module knows and of what it is told.

use crate::ids::{Cell, Kind, PackageIx, Rung, ServerId, TenantIx, TitleId, ViewingId, Zone};
use crate::time::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    Leaving,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    Incremental,
    Full,
    Saved,
    Failed,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub kind: Kind,
    pub cell: Cell,
    pub availability: Availability,
    pub server: ServerId,
    pub started: Option<Ms>,
    pub weight: f64,
    pub zone: Zone,
}

/// What is watched and by whom, as a request or a viewing handed over tells it.
#[derive(Clone, Debug)]
pub struct Wish {
    pub vw: ViewingId,
    pub package: PackageIx,
    pub tenant: Option<TenantIx>,
    pub title: TitleId,
    pub base: u64,
    pub copies: u64,
    pub best: Rung,
    pub due: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    ShareDelivered,
    RungInForce,
    LinkAsked,
    UplinkAsked,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub streams: Option<f64>,
    pub link: Option<f64>,
    pub link_uncapped: Option<f64>,
    pub uplink: Option<f64>,
}

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
    pub wish: Wish,
    pub taken: Ms,
    pub phase: Phase,
    pub rung: Rung,
    /// When it began to play.
    pub started: Ms,
    pub tune_ins: Vec<TuneIn>,
    pub over_share: bool,
}

/// A note on what is asked of a link or an uplink, with the manager's own part at that time.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub asked: f64,
    pub own_kb: f64,
    pub at: Ms,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub entry: Entry,
    pub seen: Option<Seen>,
    /// Share last delivered to viewings there.
    pub delivered: Option<(f64, Ms)>,
    /// Changes of the manager's own rates there, newest last.
    pub ledger: Vec<(Ms, f64)>,
    pub own_kb: f64,
    /// When the manager sent set-ups there, newest last.
    pub sent: Vec<Ms>,
    pub cold_until: Ms,
    /// Failures in a row, and until when they keep the server out of the pick.
    pub failures: u32,
    pub shunned_until: Ms,
    pub last_step: Ms,
    pub tight_at: Ms,
}

#[derive(Clone, Debug, Default)]
pub struct Uplink {
    pub seen: Option<Seen>,
}
