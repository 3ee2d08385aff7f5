//! Who is a member of the cluster, whether it lives, and who hears whom.
//!
//! No sockets, clocks, threads or files: time is an argument, wishes go out through [`Effects`]. The method
//! is SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017); see
//! docs/membership.md.

mod apply;
pub mod auth;
mod entry;
mod exchange;
mod health;
mod help;
mod ids;
mod machine;
mod message;
mod peer;
mod probe;
mod reachability;
pub mod rng;
mod spread;
mod suspect;
mod terms;
mod view;

pub use ids::{Address, DialId, Incarnation, InstanceId, MemberId, Topic};
pub use machine::Members;
pub use message::{Body, MemberInfo, Message, Piggyback, Sender, State, Update};
pub use terms::{LocalMember, MembershipConfig, MembershipConfigError};
pub use view::{Change, Counters, Effects, MemberView, Reachability, StateChangeReason};
