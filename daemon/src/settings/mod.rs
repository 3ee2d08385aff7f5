//! Settings files: INI, read with their lines so that every complaint tells where it belongs.

pub mod day;
pub mod manager;
pub mod sheet;
