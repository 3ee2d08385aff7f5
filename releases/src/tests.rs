//! Codecs and rules one by one; histories of whole fleets in true time.

mod council;
mod fleets;
mod histories;
mod judge;
mod tables;
mod world;
