//! Drains and releases that a whole fleet agrees on (`docs/releases.md`): how many managers and servers are out at
//! once, in which order they leave, what halts a release, and the way back. There is no I/O: the time is an argument,
//! outputs go through [`Effects`], and the agreed state lies in the council's registers.

mod acceptance;
mod coordinator;
mod effects;
mod events;
mod evidence;
mod evidence_check;
mod fleet_status;
mod guards;
mod order;
mod order_file;
mod permit_holder;
mod permits;
mod refusal;
mod reporting;
mod review;
mod schedule;
mod status;
#[cfg(test)]
mod tests;
mod view;

pub use acceptance::may_replace;
pub use coordinator::Coordinator;
pub use effects::{Effects, Outcome};
pub use events::Event;
pub use evidence::{Evidence, EvidenceSummary, GroupTotals, Measure, MemberSample, Verdict};
pub use fleet_status::{Presence, RosterEntry};
pub use guards::Guards;
pub use order::{Bounds, HaltPolicy, Name, Order, OrderError, Scope, Serial, State, Step};
pub use order_file::{
    evaluate_answer, evaluate_file, halted_by_evidence, FileDecision, OrderNotPut, ProposalResult,
};
pub use ottersail::time::Ms;
pub use ottersail_membership::{InstanceId, MemberId};
pub use permit_holder::{PermitHolder, UsablePermit};
pub use permits::{MemberTime, Permit, PermitTable, MAX_PERMITS};
pub use refusal::Refusal;
pub use status::{MemberStatus, ViewingCounts};
pub use view::{OutstandingPermit, ReleaseView, WaitReason};
