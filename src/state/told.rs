//! What the module is told: the list, requests, notes and outcomes.

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
    /// A rough guess of how long it is watched, from its first start.
    pub lasts: Option<Ms>,
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
