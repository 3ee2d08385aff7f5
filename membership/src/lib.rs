//! Cluster membership and failure detection: which members exist, which of them are up, and which pairs can
//! reach each other.
//!
//! The crate does no I/O and starts no threads: the caller passes in the time and the received messages, and
//! carries out what the state machine requests through [`Effects`]. The protocol is SWIM (Das, Gupta,
//! Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017); see docs/membership.md.

mod application;
mod apply;
pub mod auth;
mod config;
mod exchange;
mod gossip;
mod health;
mod ids;
mod indirect_probe;
mod join;
mod members;
mod message;
mod peer;
mod probe;
mod reachability;
pub mod rng;
mod suspicion;
mod view;

pub use config::{LocalMember, MembershipConfig, MembershipConfigError};
pub use ids::{Address, DialId, Incarnation, InstanceId, MemberId, Topic};
pub use members::Members;
pub use message::{Body, MemberInfo, Message, Piggyback, Sender, State, Update};
pub use view::{Change, Counters, Effects, MemberView, Reachability, StateChangeReason};
