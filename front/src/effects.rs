//! Input and output types of the front, and [`Effects`], through which it requests I/O.

use ottersail::ids::{Rung, ServerId, TitleId, ViewingId};
use ottersail::time::Ms;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One HTTP request of a player, from its arrival until it is answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Recordings contain this text, so it does not follow the type's name.
impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_tuple("AskId").field(&self.0).finish()
    }
}

/// One viewer watching one title. After a move or an interruption the watch continues with a new viewing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WatchId(pub String);

impl fmt::Display for WatchId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// This manager's share of the limits that all managers have in common (set-ups at cold servers, tenants'
/// allowances), in slots that have one holder each at any time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotShare {
    /// Slot that belongs to this manager permanently, so that it can work without a lease.
    #[serde(rename = "kept")]
    pub own_slot: u64,
    /// Slots held until the lease ends.
    #[serde(rename = "leased")]
    pub leased_slots: Vec<u64>,
    /// Number of all slots, including the permanent ones.
    #[serde(rename = "of")]
    pub total_slots: f64,
    /// End of the lease in milliseconds, by the front's clock.
    #[serde(rename = "until")]
    pub lease_end_ms: f64,
}

/// A player's request for a title.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TitleRequest {
    pub title: String,
    pub package: String,
    pub tenant: Option<String>,
    /// Highest rung that the player can use.
    #[serde(rename = "best")]
    pub max_rung: usize,
    /// Time in milliseconds from the request's arrival within which the viewer expects an answer.
    #[serde(rename = "patience")]
    pub patience_ms: f64,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The viewing plays; the playlist.
    Playlist(String),
    /// Nothing was set up, so a retry is safe; it should wait for this many milliseconds, where given.
    Blocked { stay_away: Option<f64> },
    /// Set-up failed and may have taken effect. `late` if a server did not answer in time.
    Aborted { late: bool },
    /// The request is malformed; says in what way.
    Unfit(String),
    /// There is no such title or no such watch.
    Unknown(String),
}

/// A set-up to be sent to a streaming server.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub viewing: ViewingId,
    /// Index of the tune-in within the viewing, from 0.
    pub tune_in: usize,
    pub server: ServerId,
    pub address: String,
    pub title: TitleId,
    pub package: String,
    pub rung: Rung,
    /// A request that waits for its result, if any.
    pub request: Option<RequestId>,
    /// Time after which it must not be sent any more; it then ends as [`SetUpEnd::NotSent`].
    pub send_by: Ms,
}

/// The result of a set-up as the manager sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SetUpEnd {
    /// The viewing plays; the title's playlist at the requested rung.
    Playing {
        playlist: String,
    },
    TurnedAway,
    ServerError,
    NoConnection,
    ConnectionLost,
    /// No part of the request left this machine.
    NotSent,
}

/// I/O that the front requests. Each call is carried out at once and must not call back into the front.
pub trait Effects {
    /// Sends a set-up. Its result is passed to `set_up_ended` once, unless the set-up is cancelled before.
    fn set_up(&mut self, set_up: &SetUp);
    /// Stops waiting for a set-up and tells the server; its result is not reported any more.
    fn cancel_set_up(&mut self, viewing: &ViewingId, tune_in: usize, server: &ServerId, address: &str);
    /// Changes the rung of a playing viewing; the result is passed to `rung_changed` once.
    fn change_rung(&mut self, viewing: &ViewingId, server: &ServerId, address: &str, rung: Rung);
    /// Ends a viewing at its server; the confirmation is passed to `end_confirmed` once.
    fn end_viewing(&mut self, viewing: &ViewingId, server: &ServerId, address: &str);
    /// Answers a request.
    fn reply(&mut self, request: RequestId, reply: Reply);
    /// Opens the stream of notes from a server, until `close_notes`.
    fn open_notes(&mut self, server: &ServerId, address: &str);
    /// Closes the stream of notes from a server.
    fn close_notes(&mut self, server: &ServerId);
    /// Asks a server for its load; the result is passed to `probe_ended` within `PROBE_TIMEOUT`.
    fn probe(&mut self, server: &ServerId, address: &str);
}
