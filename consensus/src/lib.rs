//! A few small registers that councillors agree on, without I/O: CASPaxos (Rystsov 2018), in which a round of
//! two phases changes one register from one revision to the next and no log is kept. Time, messages and
//! what the disk has kept are arguments; what is to be sent and kept goes out through [`Effects`].

pub mod acceptor;
pub mod councillor;
pub mod effects;
pub mod follower;
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
pub use councillor::Councillor;
pub use effects::*;
pub use follower::Follower;
pub use message::Message;
pub use ottersail_membership::{InstanceId, MemberId};
pub use proposer::Proposer;
pub use types::*;
