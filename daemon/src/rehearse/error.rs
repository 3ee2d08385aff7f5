//! Errors that keep a day from being played.

use crate::error::JudgeError;
use crate::settings::error::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Errors of `ottersail rehearse`.
#[derive(Debug, Error)]
pub enum RehearseError {
    /// The day's settings can't be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The day has more managers than a rehearsal starts.
    #[error("{}: more than {max} managers; play it with ottersail-simulation", day.display())]
    TooManyManagers { day: PathBuf, max: usize },
    /// The hard limit on open files is below what the day needs.
    #[error(
        "{}: needs {needs} open files, and this machine allows {allowed}; raise the limit (ulimit -Hn)",
        day.display()
    )]
    OpenFileLimit { day: PathBuf, needs: u64, allowed: u64 },
    /// The limit on open files can't be raised.
    #[error("{}: needs {needs} open files: {cause}; raise the limit (ulimit -n)", day.display())]
    RaiseOpenFileLimit { day: PathBuf, needs: u64, cause: io::Error },
    /// The handlers for SIGTERM and SIGINT can't be installed.
    #[error("cannot receive signals: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
    /// A file or folder of the rehearsal can't be read or written.
    #[error("{}: {cause}; make room there, or try another folder with TMPDIR", file.display())]
    File { file: PathBuf, cause: io::Error },
    /// The traffic can't be recorded.
    #[error("{}: {cause}; give --traffic a file that can be written", file.display())]
    WriteTraffic { file: PathBuf, cause: String },
    /// The keys that sign playlist addresses are invalid.
    #[error("{}: {cause}; write a name and a base64 secret per line", file.display())]
    Keys { file: PathBuf, cause: String },
    /// The fake servers can't be started.
    #[error("cannot start the servers of {}: {cause}; raise the limit on open files (ulimit -n)", day.display())]
    StartServers { day: PathBuf, cause: String },
    /// The network between the managers can't be started.
    #[error("the exchange between members: {cause}; raise the limit on open files (ulimit -n)")]
    Exchange { cause: String },
    /// There is no free address for a manager.
    #[error("manager {manager}: no address in 127.0.0.0/8: {cause}; end what holds its ports")]
    Address { manager: usize, cause: io::Error },
    /// A manager's process can't be started.
    #[error("manager {manager}: {}: {cause}; give --beside a program that may be run", program.display())]
    Start { manager: usize, program: PathBuf, cause: String },
    /// A manager was not ready in time after its start.
    #[error("the manager at {address} was not ready within {timeout:?}; its log tells why")]
    NotReady { address: SocketAddr, timeout: Duration },
    /// SIGTERM or SIGINT ended the rehearsal.
    #[error("interrupted by a signal: the day was not played to its end, and its managers were killed; play it again")]
    Interrupted,
    /// Managers did not exit or restart as they should.
    #[error("{}", join_lines(exits))]
    UncleanExits { exits: Vec<UncleanExit> },
    /// The recorded traffic can't be judged.
    #[error(transparent)]
    Judge(#[from] JudgeError),
}

/// What was wrong with a manager's exit or restart.
#[derive(Debug, Error)]
pub enum UncleanExit {
    /// The process exited with a failure or was killed by a signal.
    #[error("manager {manager} ended with {status} after SIGTERM; its log tells why")]
    Failed { manager: usize, status: ExitStatus },
    /// The process did not exit in time after SIGTERM and was killed.
    #[error("manager {manager} did not end within {timeout:?} of SIGTERM; its log tells why")]
    TimedOut { manager: usize, timeout: Duration },
    /// No further process could be started.
    #[error("manager {manager} could not be restarted: {cause}; raise the limit on processes (ulimit -u)")]
    RestartFailed { manager: usize, cause: String },
}

fn join_lines(exits: &[UncleanExit]) -> String {
    exits.iter().map(UncleanExit::to_string).collect::<Vec<_>>().join("\n")
}

/// Makes the error for a file or folder that can't be read or written.
pub(super) fn file_error(file: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> RehearseError {
    let file = file.into();
    move |cause| RehearseError::File { file, cause }
}
