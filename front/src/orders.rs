//! What the front is told and what it wants done, in shapes that the outside can carry.

use ottersail::ids::{Rung, ServerId, TitleId, ViewingId};
use ottersail::time::Ms;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One request of a player, while its connection waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AskId(pub u64);

/// One viewer watching one title: over a move or a break it has several viewings, one after the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WatchId(pub String);

impl fmt::Display for WatchId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A manager's part of what all managers share (the pace at cold servers, tenants' shares), in slots of which
/// each has one holder at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The slot that is this manager's alone, lease or no lease: what it may do while nothing can be agreed.
    pub kept: u64,
    /// Slots that it holds until the lease ends.
    pub leased: Vec<u64>,
    /// All slots, kept ones included.
    pub of: f64,
    /// The lease's end in milliseconds, by the clock that the front goes by.
    pub until: f64,
}

/// What a player asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub title: String,
    pub package: String,
    pub tenant: Option<String>,
    /// The highest rung that the player can use.
    pub best: usize,
    /// Viewer patience in milliseconds, from when the request came.
    pub patience: f64,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It plays: the playlist.
    Playlist(String),
    /// Nothing was set up, it is harmless to ask again, after so many milliseconds if told.
    Blocked { stay_away: Option<f64> },
    /// It failed; nothing is promised about its effect. `late` if a server did not answer in time.
    Aborted { late: bool },
    /// The request can't be one: what is wrong with it.
    Unfit(String),
    /// No such title, or no such watch.
    Unknown(String),
}

/// A set-up to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub vw: ViewingId,
    pub no: usize,
    pub server: ServerId,
    pub address: String,
    pub title: TitleId,
    pub package: String,
    pub rung: Rung,
    /// The request that it is for, while that waits.
    pub ask: Option<AskId>,
    /// Not to be sent after this moment: it then counts as never sent.
    pub send_by: Ms,
}

/// How a set-up ended, as far as can be seen from here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SetUpEnd {
    /// It plays; the title's playlist at that rung.
    Playing {
        playlist: String,
    },
    TurnedAway,
    ServerError,
    NoConnection,
    ConnectionLost,
    /// Surely never left this machine.
    NotSent,
}

/// What the front wants done. Each call is carried out at once and must not call back into the front.
pub trait Orders {
    /// Send a set-up; tell by `set_up_ended`, once, unless it is called off.
    fn set_up(&mut self, it: &SetUp);
    /// Stop waiting for a set-up and tell the server that nobody does; nothing is told of it any more.
    fn call_off(&mut self, vw: &ViewingId, no: usize, server: &ServerId, address: &str);
    /// Change the rung of what plays; tell by `rung_changed`, once.
    fn change_rung(&mut self, vw: &ViewingId, server: &ServerId, address: &str, rung: Rung);
    /// End what plays; tell by `let_go`, once.
    fn let_go(&mut self, vw: &ViewingId, server: &ServerId, address: &str);
    /// Answer a request.
    fn reply(&mut self, ask: AskId, reply: Reply);
    /// Hold a stream of notes from that server, until told that it is not wanted.
    fn listen(&mut self, server: &ServerId, address: &str);
    fn hang_up(&mut self, server: &ServerId);
    /// Ask a server for its load; tell by `probed`, within `PROBE_PATIENCE`.
    fn probe(&mut self, server: &ServerId, address: &str);
}
