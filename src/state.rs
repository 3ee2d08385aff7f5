//! Shapes of what the module knows and of what it is told.

mod server;
mod told;
mod viewing;

pub use server::{Belief, Seen, Server, Uplink};
pub use told::{Availability, ListMode, Load, Outcome, ServerEntry, Topic, ViewingRequest};
pub use viewing::{Phase, TuneIn, Viewing};
