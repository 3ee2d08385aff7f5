//! What keeps the program's jobs from being done: what is wrong, where, and what can be tried.

use crate::settings::error::SettingsError;
use ottersail_membership::MembershipConfigError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use thiserror::Error;

/// A manager that can't start.
#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("{}: {cause}; [manager] keys names the file: a name and a base64 secret a line", file.display())]
    Keys { file: PathBuf, cause: String },
    #[error("{}: {cause}; [members] keys names the file: a name and a base64 secret a line", file.display())]
    MemberKeys { file: PathBuf, cause: String },
    #[error("{}: no record can be begun: {cause}; give --record a file that can be written", file.display())]
    Record { file: PathBuf, cause: io::Error },
    #[error(
        "--with-parent: the end of the process that started this one can't be heard: {cause}; try without it"
    )]
    ParentDeathSignal { cause: io::Error },
    #[error(
        "--with-parent: the process that started this one has ended already; start it from one that runs on"
    )]
    ParentExited,
    #[error("[manager] listen = {address}: {cause}; write an address like 127.0.0.1:8080")]
    Address { address: String, cause: AddrParseError },
    #[error("{address}: {cause}; is another one running? Else choose another address for [manager] listen")]
    Listen { address: SocketAddr, cause: io::Error },
    #[error("[members]: {0}")]
    Members(#[from] MembershipConfigError),
    #[error(
        "{address}: no datagrams: {cause}; is another one running? Else choose another [members] listen"
    )]
    Datagrams { address: SocketAddr, cause: io::Error },
    #[error("{address}: connections can't be watched: {cause}; raise the limit on open files (ulimit -n)")]
    WatchListener { address: SocketAddr, cause: io::Error },
    #[error(
        "thread {name} can't be started: {cause}; try fewer [manager] cores, or raise the limit (ulimit -u)"
    )]
    Thread { name: String, cause: io::Error },
    #[error("signals can't be taken: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
    #[error(
        "{}: the version to come back with can't be written: {cause}; give [releases] next a file in a folder that \
         can be written",
        file.display()
    )]
    WriteNextVersion { file: PathBuf, cause: io::Error },
}

/// A manager of the live platform that can't start, or a configuration that is not taken over.
#[derive(Debug, Error)]
pub enum NodeError {
    #[error("BALANCER_CONFIG must name the configuration file")]
    ConfigNotSet,
    #[error("{}: {cause}; BALANCER_CONFIG must name a file that this user may read", file.display())]
    Unreadable { file: PathBuf, cause: io::Error },
    #[error("{}: {cause}; give the configuration as the platform writes it", file.display())]
    Config { file: PathBuf, cause: String },
    #[error("{}: listen: {cause}; write an address like 127.0.0.1:8080", file.display())]
    Address { file: PathBuf, cause: AddrParseError },
    #[error("{address}: {cause}; is another one running?")]
    Listen { address: SocketAddr, cause: io::Error },
    #[error("signals can't be taken: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
}

/// A record that can't be played back, or is not played back alike.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("{}: {cause}; name a file that `run` or `rehearse` wrote with --record", file.display())]
    Unreadable { file: PathBuf, cause: io::Error },
    #[error("{}:{line}: {cause}; play it with the program that wrote it", file.display())]
    Settings { file: PathBuf, line: usize, cause: SettingsError },
    #[error("{}:{line}: {}: {cause}; name the keys of that time with --keys", file.display(), keys.display())]
    Keys { file: PathBuf, line: usize, keys: PathBuf, cause: String },
    #[error("{}:{line}: {cause}; play it with the program that wrote it", file.display())]
    InvalidLine { file: PathBuf, line: usize, cause: serde_json::Error },
    #[error("{}:{line}: a record begins with its settings; take it from its first line on", file.display())]
    MissingHeader { file: PathBuf, line: usize },
    #[error(
        "{}:{line}: wanted now\n  {actual}\nand then\n  {recorded}\nplay it with the version and keys that wrote it",
        file.display()
    )]
    Mismatch { file: PathBuf, line: usize, actual: String, recorded: String },
    #[error("{}: nothing was told in it; take the record of a manager that was asked", file.display())]
    Empty { file: PathBuf },
}

/// Traffic that can't be judged.
#[derive(Debug, Error)]
pub enum JudgeError {
    #[error("{}: {cause}; name a file that `rehearse` wrote with --traffic", traffic.display())]
    Unreadable { traffic: PathBuf, cause: String },
    #[error("{}: {cause}; give --report a folder that can be written", folder.display())]
    Report { folder: PathBuf, cause: String },
}

/// A flag that can't be read.
#[derive(Debug, Error)]
pub enum ArgumentError {
    #[error("--log {value}: {cause}; write a level, or a filter such as info,ottersail_front=debug")]
    Log { value: String, cause: String },
    #[error("--pick: expected one of {}, read {value:?}", choices.join(", "))]
    Pick { value: String, choices: Vec<&'static str> },
    #[error("--stall: expected CORE:MS, such as 1:2500, read {value:?}")]
    Stall { value: String },
}
