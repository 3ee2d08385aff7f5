//! The process of a manager: the files it may open, and the process that started it.

use crate::error::RunError;
use rustix::process::{
    getppid, getrlimit, set_parent_process_death_signal, setrlimit, Pid, Resource, Signal,
};
use tracing::warn;

/// Guards against processes that outlive a day whose own process is killed outright.
pub(super) fn end_with_parent() -> Result<(), RunError> {
    let parent = getppid();
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|it| RunError::ParentDeathSignal { cause: it.into() })?;
    if getppid() != parent || parent == Some(Pid::INIT) {
        return Err(RunError::ParentExited);
    }
    Ok(())
}

/// Each connection and each set-up that is out takes a descriptor: asks for as many as may be had.
pub fn raise_open_file_limit(connections: usize) {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(trouble) = setrlimit(Resource::Nofile, limit) {
        warn!(%trouble, "the limit on open files can't be raised");
    }
    let most = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if most < 2 * connections as u64 {
        warn!(
            most,
            connections,
            "fewer files may be open than twice the connections: past that, viewings are blocked"
        );
    }
}
