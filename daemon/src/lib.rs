//! The parts of the `ottersail` program: sockets, signals, settings, logs and metrics around the library
//! `ottersail-front`, and the rehearsals that test whole fleets on one machine.

pub mod error;
pub mod fleet;
pub mod judge;
pub mod messages;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod rehearse;
pub mod replay;
pub mod run;
pub mod service;
pub mod settings;
pub mod stalled_cores;
pub mod trial;
pub mod worker;
