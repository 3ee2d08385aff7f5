//! Which part of the whole a member may act on. The whole is cut into slots; a slot has one holder at a time by
//! a lease (Gray, Cheriton 1989: "Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency") that a majority of councillors renews. docs/parts.md weighs it and says what is promised.
//!
//! No I/O: the time is an argument, one method an input, and what is wanted goes out through [`Effects`].

mod bucket;
mod guards;
mod holder;
mod ids;
mod messages;
mod needs;
mod notes;
mod renewals;
mod terms;
#[cfg(test)]
mod tests;
mod trouble;
mod wishes;

pub use bucket::{Bucket, SlotEntry};
pub use guards::Guards;
pub use holder::{Answer, Holder, SlotShare};
pub use ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
pub use messages::{Demand, Release, Renew, Renewed};
pub use needs::SlotBalancer;
pub use notes::{Counters, LeaseEvent};
pub use renewals::{Disallowed, LeaseGrants};
pub use terms::LeaseConfig;
pub use trouble::LeaseError;
pub use wishes::Effects;
