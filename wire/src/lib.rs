//! Formats spoken with streaming servers and with the list of them: load reports, notes, the catalogue.
//! No I/O. Whatever a peer sends is read or refused; what it can't say is no report at all.

pub mod catalogue;
pub mod notes;
pub mod report;
mod trouble;
