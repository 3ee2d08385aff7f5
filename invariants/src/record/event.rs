//! What went over the sockets, a line for each.

use crate::record::terms::Terms;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: f64,
    #[serde(flatten)]
    pub event: Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    Begins {
        terms: Terms,
    },
    /// A player sent a request that a viewing may be taken for. `first`: it asks for a title, not for a
    /// reload.
    Asked {
        ask: u64,
        manager: usize,
        package: String,
        title: String,
        patience: f64,
        first: bool,
    },
    Answered {
        ask: u64,
        status: u16,
    },
    /// The player closed its connection, long before its patience ended.
    Left {
        ask: u64,
    },
    /// Patience ended without an answer.
    GaveUp {
        ask: u64,
    },
    /// The connection could not be made, or ended without an answer.
    Broke {
        ask: u64,
    },
    /// What the player made of it in the end.
    Watched {
        ask: u64,
        offered: f64,
        earned: f64,
        stalled: f64,
    },
    /// A playlist broke the format's rules.
    Flaw {
        ask: u64,
        what: String,
    },

    ServerStarted {
        server: String,
        cold: bool,
        places: f64,
        #[serde(default)]
        cell: u64,
        /// What its link gives, and the uplink that it shares with all of its rack, in kB a second; 0 if it
        /// has none.
        #[serde(default)]
        link_kb: f64,
        #[serde(default)]
        rack: usize,
        #[serde(default)]
        uplink_kb: f64,
    },
    ServerEnded {
        server: String,
    },
    /// A cold server was pushed over.
    Fell {
        server: String,
    },
    SetUp {
        server: String,
        manager: usize,
        ask: u64,
        vw: String,
        no: usize,
        title: String,
        package: String,
        rung: usize,
    },
    SetUpAnswered {
        server: String,
        vw: String,
        no: usize,
        status: u16,
    },
    /// Its manager closed the connection before the answer, or called it off.
    SetUpClosed {
        server: String,
        vw: String,
        no: usize,
    },
    Rung {
        server: String,
        vw: String,
        rung: usize,
    },
    /// A viewing is over at its server.
    Ended {
        server: String,
        vw: String,
    },
    /// A player's address was turned away: forged, expired, or for another viewing.
    TicketDenied {
        server: String,
        why: String,
    },

    /// The list told a manager of a server whose standing is new to it.
    Told {
        manager: usize,
        server: String,
        standing: Standing,
    },

    ManagerReady {
        manager: usize,
    },
    ManagerKilled {
        manager: usize,
    },
    /// A manager is to end: what it has taken it still owes; who comes from now on may find nobody.
    ManagerTold {
        manager: usize,
    },
    /// It has ended, as it was told.
    ManagerEnded {
        manager: usize,
    },
    ManagerStopped {
        manager: usize,
    },
    ManagerContinued {
        manager: usize,
    },
    /// One core of a manager stands still, the others go on.
    CoreStopped {
        manager: usize,
    },
    CoreContinued {
        manager: usize,
    },
    /// A server told all managers who listen how full it is.
    Noted {
        server: String,
    },
    /// What a manager takes at rest, the mean of all: memory; wake-ups and milliseconds of processor time a
    /// second.
    Rested {
        managers: usize,
        memory_kb: f64,
        wakes: f64,
        cpu: f64,
    },
    /// Processor time of all managers over the day, in milliseconds.
    Spent {
        cpu: f64,
    },
    /// What a manager believes of the others: alive, suspect, dead, left. `settled`: all of them run, and
    /// nothing was done to members for long.
    Believes {
        manager: usize,
        others: usize,
        counts: [usize; 4],
        settled: bool,
    },
    /// A fault was caused or taken back.
    Fault {
        name: String,
        on: bool,
        what: String,
    },
}
