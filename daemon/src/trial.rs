//! Support for tests of `ottersail node`: session managers as processes on loopback, against the fake servers of
//! `ottersail-fake-servers`.

mod manager_process;
mod manager_settings;

pub use manager_process::{LaunchOptions, ManagerProcess};
pub use manager_settings::{ClassSettings, ManagerSettings};
