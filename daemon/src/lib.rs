//! What the program is made of: sockets, signals, settings, logs round the library `ottersail-front`; rehearsals.

pub mod hub;
pub mod metrics;
pub mod rehearse;
pub mod replay;
pub mod run;
pub mod service;
pub mod settings;
