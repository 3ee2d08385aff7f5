//! Parses and writes the formats exchanged with streaming servers and with the service catalogue: load
//! reports, notes, and the lists of servers and titles. This crate does no I/O. Any input from a peer is either
//! parsed or rejected; a load value that can't be valid counts as absent.

pub mod catalogue;
mod error;
pub mod notes;
pub mod report;
