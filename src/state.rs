//! Types of the inputs of [`Placement`](crate::placement::Placement) and of what it knows of servers and
//! viewings.

mod inputs;
mod server;
mod viewing;

pub use inputs::{Availability, ListMode, Load, Outcome, ServerEntry, Topic, ViewingRequest};
pub use server::{Belief, Delivered, LinkNote, LinksSum, LoadSample, Server, Shortfall, Uplink};
pub use viewing::{Phase, TuneIn, Viewing};
