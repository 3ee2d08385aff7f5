//! The session manager as a library. [`Front`] owns the decisions, the viewings, the list of servers as last
//! told and the set-ups that are out. One method for each thing that happens; what it wants done goes out
//! through [`Orders`]. The time is an argument: no sockets, threads, clocks or files in here.
//!
//! What the front chooses that the module does not lies in files of its own: [`presence`] (when a viewer has
//! left, how much of patience is the front's), [`roster`] (which list to believe).

pub mod baseline;
pub mod decisions;
pub mod effects;
mod front;
pub mod presence;
pub mod recording;
pub mod roster;
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
