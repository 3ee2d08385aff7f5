//! Fault injection for tests that run many processes: relays between two parties that can block, reset, delay,
//! drop, duplicate and reorder traffic, in each direction separately; child processes that never outlive the
//! process that started them, and their resource usage.

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
