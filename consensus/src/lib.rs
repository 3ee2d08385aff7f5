//! Consensus among councillors on a few small registers, without I/O. It implements CASPaxos (Rystsov 2018):
//! a round of two phases changes one register from one revision to the next, and no log is kept. The current
//! time, received messages and completed disk writes are arguments; messages to send and records to persist
//! are requested through [`Effects`].

pub mod acceptor;
pub mod config;
pub mod councillor;
pub mod effects;
pub mod follower;
#[cfg(any(test, feature = "sabotage"))]
pub mod guards;
pub mod message;
pub mod proposer;
pub mod quorum;
pub mod recovery;
pub mod requester;
mod round;
#[cfg(test)]
mod tests;
pub mod types;

pub use acceptor::Acceptor;
pub use config::CouncilConfig;
pub use councillor::Councillor;
pub use effects::*;
pub use follower::Follower;
#[cfg(any(test, feature = "sabotage"))]
pub use guards::Guards;
pub use message::Message;
pub use ottersail_membership::{InstanceId, MemberId};
pub use proposer::Proposer;
pub use types::*;
