//! The rig on which many processes are played against each other: wires between two parties that can be cut,
//! reset, slowed, thinned, doubled, reordered, and cut one way only; processes that never outlive who started
//! them, and what they cost.

mod datagram_relay;
mod error;
pub mod impairment;
mod process;
mod relay;

pub use datagram_relay::DatagramRelay;
pub use error::FaultInjectionError;
pub use impairment::{Direction, NetworkCondition};
pub use process::{resource_usage, Process, ResourceUsage};
pub use relay::Relay;
