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
pub use book::{MemberTime, Permit, PermitTable, MAX_PERMITS};
pub use conductor::Coordinator;
pub use evidence::{Evidence, Figures, Side, Told, Verdict, What};
pub use guards::Guards;
pub use holder::{PermitHolder, UsablePermit};
pub use notes::Event;
pub use order::{Bounds, HaltPolicy, Name, Order, OrderError, Scope, Serial, State, Step};
pub use ottersail::time::Ms;
pub use ottersail_membership::{InstanceId, MemberId};
pub use refusal::Refusal;
pub use seen::{Presence, RosterEntry};
pub use serials::{answered, given, halted_by_evidence, Answered, Given, OrderNotPut};
pub use stand::{MemberStatus, ViewingCounts};
pub use view::{OutstandingPermit, ReleaseView, WaitReason};
pub use wishes::{Effects, Outcome};
