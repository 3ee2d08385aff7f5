//! The limit on this process's open files.

use super::error::RehearseError;
use crate::settings::day::DayPlan;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::path::Path;

/// File descriptors of this process per manager. The manager's connections to servers and the discovery service
/// end in this process, and players' connections to it begin here.
const FILES_PER_MANAGER: u64 = 48;
/// File descriptors of this process per server.
const FILES_PER_SERVER: u64 = 2;
/// File descriptors of this process for everything else.
const OTHER_FILES: u64 = 512;

/// Raises the limit on open files to what the day needs.
pub(super) fn raise_file_limit(day: &Path, plan: &DayPlan) -> Result<(), RehearseError> {
    let (managers, servers) = (plan.day.managers as u64, plan.day.servers as u64);
    let needs = managers * FILES_PER_MANAGER + servers * FILES_PER_SERVER + OTHER_FILES;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|limit| limit >= needs) {
        return Ok(());
    }
    let day = day.to_path_buf();
    if let Some(allowed) = maximum.filter(|limit| *limit < needs) {
        return Err(RehearseError::OpenFileLimit { day, needs, allowed });
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needs), maximum })
        .map_err(|error| RehearseError::RaiseOpenFileLimit { day, needs, cause: error.into() })
}
