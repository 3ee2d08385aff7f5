//! Trials on the live platform: real session managers as processes on loopback, against the stand-ins of
//! `ottersail-fake-servers`, judged from the sockets.

mod manager;
mod settings;

pub use manager::{LaunchOptions, ManagerProcess};
pub use settings::{ClassSettings, ManagerSettings};
