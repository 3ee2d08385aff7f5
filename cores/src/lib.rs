//! What the cores of one manager share, without I/O: [`Claim`] settles who answers a request, [`Spread`]
//! which core gets a connection, [`Bell`] whether a thread must be woken.

mod bell;
mod claim;
mod room;
mod spread;
pub mod vigil;

pub use bell::Bell;
pub use claim::{Claim, Stage};
pub use room::Room;
pub use spread::Spread;
