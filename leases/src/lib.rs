//! Leases that decide which share of the cluster's capacity a member may act on. The capacity is divided into
//! slots. A slot has one holder at a time, by a lease (Gray, Cheriton 1989: "Leases: an efficient
//! fault-tolerant mechanism for distributed file cache consistency") that a majority of councillors renews.
//! See docs/parts.md for the guarantees.
//!
//! The crate does no I/O: time is an argument, each input is a method, and outputs go through [`Effects`].

mod balancer;
mod bucket;
mod config;
mod effects;
mod error;
mod events;
mod grants;
mod guards;
mod holder;
mod ids;
mod messages;
#[cfg(test)]
mod tests;

pub use balancer::SlotBalancer;
pub use bucket::{Bucket, SlotEntry};
pub use config::LeaseConfig;
pub use effects::Effects;
pub use error::LeaseError;
pub use events::{Counters, LeaseEvent};
pub use grants::{Disallowed, LeaseGrants};
pub use guards::Guards;
pub use holder::{Answer, Holder, SlotShare};
pub use ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
pub use messages::{Demand, Release, Renew, Renewed};
