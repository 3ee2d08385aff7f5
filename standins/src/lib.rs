//! Stand-ins on 127.0.0.1: streaming servers, the list of them, players; faults by script, and the record of all that
//! went over the sockets. They hold no decisions.

mod boxes;
mod day;
mod fleet;
mod list;
mod players;
mod record;
mod wires;
mod world;

pub use day::{Day, DayPackage, Fault, FaultKind, Ways, FAR_ENDS, FAULT_KINDS, WAYS};
pub use list::TITLE_STRIDE;
pub use players::{run_players, Crowd};
pub use record::Recorder;
pub use wires::Behind;
pub use world::{run_fleet, FleetRun};
