//! The record: one JSON object a line, with the time in milliseconds since 1970.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::BufRead;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: f64,
    #[serde(flatten)]
    pub event: Event,
}

/// What the rules are judged by; the first line of a record. Times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub drain_grace: f64,
    pub cold: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall: f64,
    /// Further tune-ins of a manager: so many, plus so many a viewing taken, in any such span.
    pub budget: Option<(f64, f64, f64)>,
    pub packages: BTreeMap<String, PackageTerms>,
    /// Managers of two shapes before the same servers, where the day has both.
    #[serde(default)]
    pub shapes: Option<Shapes>,
    #[serde(default)]
    pub even: Option<Even>,
    /// Where titles lie, if it was told.
    #[serde(default)]
    pub titles: Option<Titles>,
    /// Rates of the ladder, in kB a second.
    #[serde(default)]
    pub rates_kb: Vec<f64>,
    /// Milliseconds between two reports of a server, and until they are seen.
    #[serde(default)]
    pub reports: (f64, f64),
}

/// How even set-ups have to go over the servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Even {
    /// The most that the herd index may be in windows of a second.
    pub herd: f64,
    /// The most of the time in which servers may be idle.
    pub idle: f64,
    /// Standing viewings at the fullest server over the mean, over what they would be for an oracle.
    pub over_oracle: f64,
    /// The most that a manager at rest may be woken in a second, where the day has a rest.
    #[serde(default)]
    pub wakes: Option<f64>,
}

/// Title number n of each package lies in `copies` cells from `n x stride` on, counted around all cells.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Titles {
    pub cells: u64,
    pub copies: u64,
    pub stride: u64,
}

impl Titles {
    /// The cells of a title by its name, which ends in its number.
    pub fn cells_of(&self, title: &str) -> impl Iterator<Item = u64> {
        let number = title.rsplit_once('-').and_then(|it| it.1.parse::<u64>().ok()).unwrap_or(0);
        let (cells, base) = (self.cells.max(1), number * self.stride);
        (0..self.copies).map(move |it| (base + it) % cells)
    }
}

/// Managers from this number on are of the new shape; neither shape may get more than `factor` times what the other
/// gets for each viewing asked, nor be blocked that much more often.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shapes {
    pub new_from: usize,
    pub factor: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PackageTerms {
    pub may_repeat: bool,
    pub floor: usize,
    /// 0 is no limit.
    pub seats: usize,
    /// What its rates are over those of the ladder.
    #[serde(default)]
    pub scale: f64,
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
    /// A player sent a request that a viewing may be taken for. `first`: it asks for a title, not for a reload.
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
        /// What its link gives, and the uplink that it shares with all of its rack, in kB a second; 0 if it has none.
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
    /// What a manager takes at rest, the mean of all: memory; wake-ups and milliseconds of processor time a second.
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
    /// A fault was caused or taken back.
    Fault {
        name: String,
        on: bool,
        what: String,
    },
}

/// Reads a record.
///
/// # Errors
/// The number of the first line that can't be read, and why; or that it does not begin with its terms.
pub fn read(input: impl BufRead) -> Result<(Terms, Vec<Line>), String> {
    let mut lines = Vec::new();
    for (no, line) in input.lines().enumerate() {
        let line = line.map_err(|it| format!("line {}: {it}", no + 1))?;
        lines.push(serde_json::from_str::<Line>(&line).map_err(|it| format!("line {}: {it}", no + 1))?);
    }
    match lines.first().map(|it| it.event.clone()) {
        Some(Event::Begins { terms }) => {
            // Several clocks are read by several threads: lines may lie a moment apart from their order.
            lines.sort_by(|a, b| a.at.total_cmp(&b.at));
            Ok((terms, lines))
        }
        _ => Err("line 1: a record begins with the terms it is judged by".into()),
    }
}
