//! Drains and releases that a whole fleet agrees on (`docs/releases.md`): how many managers and servers are
//! out at once, in which order they go, what halts them, and the way back. No I/O: time is an argument,
//! wishes go out through a trait, what is agreed lies in the council's registers.

mod allows;
mod book;
mod conductor;
mod evidence;
mod guards;
mod holder;
mod look;
mod notes;
mod order;
mod refusal;
mod seen;
mod serials;
mod stand;
mod tells;
#[cfg(test)]
mod tests;
mod turn;
mod view;
mod watch;
mod wishes;

pub use allows::follows;
pub use book::{Book, Permit, Stamp, MOST_PERMITS};
pub use conductor::Conductor;
pub use evidence::{Evidence, Figures, Side, Told, Verdict, What};
pub use guards::Guards;
pub use holder::{Going, Holder};
pub use notes::Note;
pub use order::{Bounds, Fault, Halts, Name, Order, Serial, State, Step, Who};
pub use ottersail::time::Ms;
pub use ottersail_membership::{InstanceId, MemberId};
pub use refusal::Refusal;
pub use seen::{Presence, Seen};
pub use serials::{answered, given, stopped, Answered, Given, Held};
pub use stand::{Counts, Stand};
pub use view::{Out, View, Wait};
pub use wishes::{Outcome, Wishes};
