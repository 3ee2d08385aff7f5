//! What keeps a day from being played.

use crate::error::JudgeError;
use crate::settings::error::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum RehearseError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("{}: more than {max} managers: play it with ottersail-simulation", day.display())]
    TooManyManagers { day: PathBuf, max: usize },
    #[error(
        "{}: needs {needs} open files, and this machine allows {allowed}: raise the limit (ulimit -Hn)",
        day.display()
    )]
    OpenFileLimit { day: PathBuf, needs: u64, allowed: u64 },
    #[error("{}: needs {needs} open files: {cause}; raise the limit (ulimit -n)", day.display())]
    RaiseOpenFileLimit { day: PathBuf, needs: u64, cause: io::Error },
    #[error("signals can't be taken: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
    #[error("{}: {cause}; make room there, or try another folder by TMPDIR", file.display())]
    File { file: PathBuf, cause: io::Error },
    #[error("{}: {cause}; give --traffic a file that can be written", file.display())]
    WriteTraffic { file: PathBuf, cause: String },
    #[error("{}: {cause}; write a name and a base64 secret a line", file.display())]
    Keys { file: PathBuf, cause: String },
    #[error("the servers of {}: {cause}; raise the limit on open files (ulimit -n)", day.display())]
    StartServers { day: PathBuf, cause: String },
    #[error("the exchange between members: {cause}; raise the limit on open files (ulimit -n)")]
    Exchange { cause: String },
    #[error("manager {manager}: no address in 127.0.0.0/8: {cause}; end what holds its ports")]
    Address { manager: usize, cause: io::Error },
    #[error("manager {manager}: {}: {cause}; give --beside a program that may be run", program.display())]
    Start { manager: usize, program: PathBuf, cause: String },
    #[error("the manager at {address} was not ready within {timeout:?}; its log tells cause")]
    NotReady { address: SocketAddr, timeout: Duration },
    #[error("told to end: the day was not played to its end, and its managers are gone; play it again")]
    Interrupted,
    #[error("{}", all(exits))]
    UncleanExits { exits: Vec<UncleanExit> },
    #[error(transparent)]
    Judge(#[from] JudgeError),
}

/// How a manager ended, or did not start, against what it was told.
#[derive(Debug, Error)]
pub enum UncleanExit {
    #[error("manager {manager} ended with {status} when told to; its log tells cause")]
    Failed { manager: usize, status: ExitStatus },
    #[error("manager {manager} did not end within {timeout:?} of SIGTERM; its log tells cause")]
    TimedOut { manager: usize, timeout: Duration },
    #[error("manager {manager} did not start again: {cause}; raise the limit on processes (ulimit -u)")]
    RestartFailed { manager: usize, cause: String },
}

fn all(exits: &[UncleanExit]) -> String {
    exits.iter().map(UncleanExit::to_string).collect::<Vec<_>>().join("\n")
}

/// The folder or file that a step could not write or read.
pub(super) fn at(file: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> RehearseError {
    let file = file.into();
    move |cause| RehearseError::File { file, cause }
}
