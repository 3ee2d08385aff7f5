//! Stand-ins on 127.0.0.1: streaming servers, the list of them, players; faults by script, and the record of
//! all that went over the sockets. They hold no decisions.

mod book;
mod boxes;
pub mod callers;
pub mod commands;
mod day;
mod error;
mod faults;
mod fleet;
mod http;
mod list;
mod lives;
pub mod media;
mod players;
mod record;
mod run;
mod script;
mod wires;
mod world;

pub use day::{Day, DayPackage, Fault, FaultKind, Ways, FAR_ENDS, FAULT_KINDS, WAYS};
pub use error::{FleetError, RecorderError};
pub use list::TITLE_STRIDE;
pub use players::{run_players, Crowd};
pub use record::Recorder;
pub use run::{run_fleet, FleetRun};
pub use wires::Behind;
