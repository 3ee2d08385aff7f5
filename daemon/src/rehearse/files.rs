//! The descriptors that a day takes of this process.

use super::error::RehearseError;
use crate::settings::day::DayPlan;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::path::Path;

/// Descriptors of this process that a manager may take (its own connections to servers and list end here, and
/// players' to it begin here), that a server takes, and that all else does.
const FILES_A_MANAGER: u64 = 48;
const FILES_A_SERVER: u64 = 2;
const FILES_BESIDE: u64 = 512;

/// What is missing on this machine for that day.
pub(super) fn bears(day: &Path, plan: &DayPlan) -> Result<(), RehearseError> {
    let (managers, servers) = (plan.day.managers as u64, plan.day.servers as u64);
    let needs = managers * FILES_A_MANAGER + servers * FILES_A_SERVER + FILES_BESIDE;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|it| it >= needs) {
        return Ok(());
    }
    let day = day.to_path_buf();
    if let Some(allowed) = maximum.filter(|it| *it < needs) {
        return Err(RehearseError::OpenFileLimit { day, needs, allowed });
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needs), maximum })
        .map_err(|it| RehearseError::RaiseOpenFileLimit { day, needs, cause: it.into() })
}
