//! The session manager's library before a modelled fleet and crowd, in simulated time: no sockets, one seed,
//! the same result each time. The laws of the model and their sources: docs/rehearsal-model.md.

pub mod compare;
pub mod crowd;
pub mod detail;
pub mod errors;
pub mod experiment;
pub mod figures;
pub mod grid;
pub mod links;
pub mod model;
pub mod parts;
pub mod player;
pub mod report;
pub mod wheel;
