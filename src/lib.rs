//! Ottersail decides who plays, where and at what quality, for one session manager.
//!
//! The decisions are all in [`placement`]; the other files hold the shapes that it works on.

pub mod actions;
pub mod census;
mod chance;
pub mod config;
pub mod ids;
pub mod placement;
pub mod state;
pub mod time;
