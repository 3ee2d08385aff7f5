//! Inputs of the decisions: the server list, requests, notes and outcomes.

use crate::ids::{Cell, HardwareKind, PackageIndex, Rung, ServerId, TenantIndex, TitleId, ViewingId, Zone};
use crate::time::Ms;

/// Result of a tune-in, a viewing or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded, or the viewing played to its regular end.
    Served,
    ServerError,
    /// The server refused it without an effect.
    TurnedAway,
    /// No answer within the time-out.
    NoAnswer,
    /// No connection could be established.
    NoConnection,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The manager or the server ended it early.
    CalledOff,
    /// No part of the request left the manager.
    NotSent,
}

/// Availability of a server according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    /// It drains: its viewings play on, and it gets no new ones.
    Leaving,
    /// It is no longer listed.
    Gone,
}

/// How an update of the server list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that changed.
    Incremental,
    /// All entries; servers that are missing are gone.
    Full,
    /// All entries, from a stored copy.
    Saved,
    /// The list could not be read; the last one remains valid.
    Failed,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    pub kind: HardwareKind,
    pub cell: Cell,
    pub availability: Availability,
    pub server: ServerId,
    /// When the server process started, if listed.
    pub started: Option<Ms>,
    /// Relative capacity of its link.
    pub weight: f64,
    pub zone: Zone,
}

/// A request for a viewing, or a viewing taken over from another manager.
#[derive(Clone, Debug)]
pub struct ViewingRequest {
    pub viewing: ViewingId,
    pub package: PackageIndex,
    pub tenant: Option<TenantIndex>,
    pub title: TitleId,
    /// The cells that hold the title: `cell_count` of them in a row from number `first_cell`, modulo the
    /// number of cells.
    pub first_cell: u64,
    pub cell_count: u64,
    /// Highest rung that the player can use.
    pub max_rung: Rung,
    /// Time by which the viewer must have an answer.
    pub deadline: Ms,
    /// Rough estimate of the playing time from the first start.
    pub expected_duration: Option<Ms>,
}

/// The quantity that a note is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Share of the demanded rate that the server's viewings receive.
    ShareDelivered,
    /// Rung at which the viewing now plays.
    RungInForce,
    /// Demand on the server's link over the link's capacity.
    LinkAsked,
    /// Demand on the rack's uplink over the uplink's capacity.
    UplinkAsked,
}

/// Load report of a server. Loads are fractions of the capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub streams: Option<f64>,
    /// Load of the link, at most 1.
    pub link: Option<f64>,
    /// Load of the link, above 1 when more is demanded than it can carry.
    pub link_uncapped: Option<f64>,
    pub uplink: Option<f64>,
}
