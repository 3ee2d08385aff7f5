//! What the cores of one manager share, without I/O: [`Claim`] settles who answers a request, [`ConnectionBalancer`]
//! which core gets a connection, [`WakeFlag`] whether a thread must be woken.

mod claim;
mod connection_balancer;
mod owner_load;
pub mod stall;
mod wake_flag;

pub use claim::{Claim, Stage};
pub use connection_balancer::ConnectionBalancer;
pub use owner_load::OwnerLoad;
pub use wake_flag::WakeFlag;
