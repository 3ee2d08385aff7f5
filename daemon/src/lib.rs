//! What the program is made of: sockets, signals, settings, logs round the library `ottersail-front`;
//! rehearsals.

pub mod error;
pub mod fleet;
pub mod judge;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod post;
pub mod rehearse;
pub mod replay;
pub mod rescue;
pub mod run;
pub mod service;
pub mod settings;
pub mod trial;
pub mod worker;
