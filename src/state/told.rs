//! What the module is told: the list, requests, notes and outcomes.

use crate::ids::{Cell, HardwareKind, PackageIndex, Rung, ServerId, TenantIndex, TitleId, ViewingId, Zone};
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
pub struct ServerEntry {
    pub kind: HardwareKind,
    pub cell: Cell,
    pub availability: Availability,
    pub server: ServerId,
    pub started: Option<Ms>,
    pub weight: f64,
    pub zone: Zone,
}

/// What is watched and by whom, as a request or a viewing handed over tells it.
#[derive(Clone, Debug)]
pub struct ViewingRequest {
    pub viewing: ViewingId,
    pub package: PackageIndex,
    pub tenant: Option<TenantIndex>,
    pub title: TitleId,
    pub first_cell: u64,
    pub cell_count: u64,
    pub max_rung: Rung,
    pub deadline: Ms,
    /// A rough guess of how long it is watched, from its first start.
    pub expected_duration: Option<Ms>,
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
