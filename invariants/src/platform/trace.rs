//! What a trial leaves: events as clients, servers and the trial itself saw them, by one clock.

use std::time::{Duration, Instant};

/// Why a session is over at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It came to its end.
    Served,
    /// Its server's process or machine died.
    Cut,
    /// The session manager released it.
    Released,
}

/// Something that a video server saw of a session.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A set-up arrived whole.
    SetUp { at: Instant, server: usize, session: String },
    /// Its end was written, and it does not stand.
    Refused { at: Instant, server: usize, session: String },
    /// It stands: the answer was written.
    Stands { at: Instant, server: usize, session: String },
    /// It is over. `could_tell`: the server had a connection on which it wrote the release.
    Over { at: Instant, server: usize, session: String, end: End, could_tell: bool },
    /// It was given up before it stood.
    GivenUp { at: Instant, server: usize, session: String },
    /// A connection was accepted.
    Accepted { at: Instant, server: usize },
}

/// Something that a client saw or did.
#[derive(Clone, Debug)]
pub enum ClientEvent {
    /// The last byte of a set-up was written.
    SetUp { at: Instant, manager: usize, session: String, class: usize, patience: Duration },
    /// A whole final answer.
    Answer { at: Instant, session: String, status: u16, body: String },
    /// The client gave its set-up up, or ended its session.
    GaveUp { at: Instant, session: String },
    /// The connection ended while the set-up was open; by a reset, where the other side had not read all.
    Disconnected { at: Instant, session: String, reset: bool },
    /// The client was told that its session is over.
    Released { at: Instant, session: String },
    /// Something came that can't be read, or that nobody asked for.
    Unexpected { at: Instant, session: String, what: String },
}

/// Something that the trial did to a session manager.
#[derive(Clone, Copy, Debug)]
pub enum ManagerEvent {
    Terminated { at: Instant, manager: usize },
    Killed { at: Instant, manager: usize },
}

/// A class of set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May run any number of times.
    Idempotent,
    /// May run once only.
    AtMostOnce,
}

/// What the rules depend on.
#[derive(Clone, Debug)]
pub struct Terms {
    pub classes: Vec<Class>,
    pub drain_grace: Duration,
    /// From when on each server may get no more attempts, its grace included: the server and the moment.
    pub closed_from: Vec<(usize, Instant)>,
    /// Servers that were cut off, from when until when.
    pub cut_off: Vec<(usize, Instant, Instant)>,
}

/// All that a trial leaves for its judge.
#[derive(Clone, Debug)]
pub struct Trace {
    pub began: Instant,
    /// What was due by then is judged.
    pub ended: Instant,
    pub terms: Terms,
    pub clients: Vec<ClientEvent>,
    pub servers: Vec<ServerEvent>,
    pub managers: Vec<ManagerEvent>,
}
