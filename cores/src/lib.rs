//! What the cores of one manager share, without I/O: [`Claim`] decides which core answers a request,
//! [`ConnectionBalancer`] which core gets a connection, [`OwnerLoad`] which core runs a viewing's requests to
//! its server, and [`WakeFlag`] whether a thread must be woken.

mod claim;
mod connection_balancer;
mod owner_load;
pub mod stall;
mod wake_flag;

pub use claim::{Claim, Stage};
pub use connection_balancer::ConnectionBalancer;
pub use owner_load::OwnerLoad;
pub use wake_flag::WakeFlag;
