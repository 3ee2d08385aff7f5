//! Decides for one session manager of a video service which viewing is accepted, at which streaming server it
//! plays and at which rung.
//!
//! All decisions are made in [`placement`]; the other modules define the types that it works on.

pub mod actions;
pub mod config;
pub mod demand;
pub mod ids;
pub mod placement;
mod rng;
pub mod state;
pub mod time;
