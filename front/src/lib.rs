//! The session manager as a library. [`Front`] owns the decisions, the viewings, the server list and the
//! set-ups in progress. It has one method for each input; the I/O that it requests goes out through
//! [`Effects`]. The time is an argument: there are no sockets, threads, clocks or files here.
//!
//! Two policies of the front itself have modules of their own: [`presence`] (when a viewer has left, and how
//! much of the patience is reserved for the front) and [`server_list`] (which list to accept).

pub mod baseline;
pub mod decisions;
pub mod effects;
mod front;
pub mod presence;
pub mod recording;
pub mod server_list;
mod timers;
mod watch;

pub use effects::{Effects, Reply, RequestId, SetUp, SetUpEnd, SlotShare, TitleRequest, WatchId};
pub use front::{Counts, Front, FrontSettings, PROBE_TIMEOUT};
pub use ottersail::actions::PlacementActions;
pub use ottersail::config;
pub use ottersail::ids;
pub use ottersail::placement::Placement;
pub use ottersail::state;
pub use ottersail::time::Ms;

#[cfg(test)]
mod tests;
