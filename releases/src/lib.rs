//! Drains and releases that a whole fleet agrees on (`docs/releases.md`): how many managers and servers are out
//! at once, in which order they go, what halts them, and the way back. No I/O: time is an argument, wishes go
//! out through a trait, what is agreed lies in the council's registers.

mod book;
mod evidence;
mod order;
mod stand;

pub use book::{Book, Permit, Stamp, MOST_PERMITS};
pub use evidence::{Evidence, Figures, Side, Told, Verdict, What};
pub use order::{Bounds, Fault, Halts, Name, Order, Serial, State, Step, Who};
pub use ottersail::time::Ms;
pub use ottersail_members::{Life, MemberId};
pub use stand::{Counts, Stand};
