//! Settings of the manager's process: its limit on open files and its ties to the parent process.

use crate::error::RunError;
use rustix::process::{
    getppid, getrlimit, set_parent_process_death_signal, setrlimit, Pid, Resource, Signal,
};
use tracing::warn;

/// Has the system kill this process when its parent ends. Guards against managers that outlive a rehearsal
/// whose own process was killed.
pub(super) fn end_with_parent() -> Result<(), RunError> {
    let parent = getppid();
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|error| RunError::ParentDeathSignal { cause: error.into() })?;
    // The parent may have ended before the signal was set.
    if getppid() != parent || parent == Some(Pid::INIT) {
        return Err(RunError::ParentExited);
    }
    Ok(())
}

/// Raises the limit on open files to the maximum that is allowed, since each connection and each set-up in
/// flight takes a file descriptor. Warns if that is less than twice `connections`.
pub fn raise_open_file_limit(connections: usize) {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = setrlimit(Resource::Nofile, limit) {
        warn!(%error, "cannot raise the limit on open files");
    }
    let open_files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if open_files < 2 * connections as u64 {
        warn!(
            open_files,
            connections,
            "limit on open files is less than twice the connections; viewings beyond it are blocked"
        );
    }
}
