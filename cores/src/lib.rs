//! What the cores of one manager share, without I/O: [`Claim`] settles who answers a request, [`Spread`] which core
//! gets a connection.

mod claim;
mod spread;

pub use claim::{Claim, Stage};
pub use spread::Spread;
