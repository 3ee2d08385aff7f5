//! Errors of the program's commands. Each message says what is wrong, where, and what can be tried.

use crate::settings::error::SettingsError;
use ottersail_membership::MembershipConfigError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use thiserror::Error;

/// Errors that keep a manager from starting or from ending as it should.
#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("{}: {cause}; [manager] keys names the file: a name and a base64 secret per line", file.display())]
    Keys { file: PathBuf, cause: String },
    #[error("{}: {cause}; [members] keys names the file: a name and a base64 secret per line", file.display())]
    MemberKeys { file: PathBuf, cause: String },
    #[error("{}: cannot create the record: {cause}; give --record a file that can be written", file.display())]
    Record { file: PathBuf, cause: io::Error },
    #[error("--with-parent: cannot set the parent death signal: {cause}; try without it")]
    ParentDeathSignal { cause: io::Error },
    #[error(
        "--with-parent: the parent process has ended already; start it from a process that keeps running"
    )]
    ParentExited,
    #[error("[manager] listen = {address}: {cause}; write an address like 127.0.0.1:8080")]
    Address { address: String, cause: AddrParseError },
    #[error(
        "{address}: {cause}; is another one running? Otherwise choose another address for [manager] listen"
    )]
    Listen { address: SocketAddr, cause: io::Error },
    #[error("[members]: {0}")]
    Members(#[from] MembershipConfigError),
    #[error(
        "{address}: no datagrams: {cause}; is another one running? Otherwise choose another address for \
         [members] listen"
    )]
    Datagrams { address: SocketAddr, cause: io::Error },
    #[error(
        "{address}: cannot register the listener for events: {cause}; raise the limit on open files (ulimit -n)"
    )]
    WatchListener { address: SocketAddr, cause: io::Error },
    #[error(
        "cannot start thread {name}: {cause}; try fewer [manager] cores, or raise the limit on processes \
         (ulimit -u)"
    )]
    Thread { name: String, cause: io::Error },
    #[error("cannot receive signals: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
    #[error(
        "{}: cannot write the version to start next: {cause}; give [releases] next a file in a folder that can \
         be written",
        file.display()
    )]
    WriteNextVersion { file: PathBuf, cause: io::Error },
}

/// Errors that keep a manager of the live platform from starting, or a configuration from being applied.
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
    #[error("cannot receive signals: {cause}; raise the limit on open files (ulimit -n)")]
    Signals { cause: io::Error },
}

/// A record that can't be replayed, or whose replay differs.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("{}: {cause}; name a file that `run` or `rehearse` wrote with --record", file.display())]
    Unreadable { file: PathBuf, cause: io::Error },
    #[error("{}:{line}: {cause}; replay it with the program that wrote it", file.display())]
    Settings { file: PathBuf, line: usize, cause: SettingsError },
    #[error(
        "{}:{line}: {}: {cause}; name the keys at the time of the record with --keys",
        file.display(),
        keys.display()
    )]
    Keys { file: PathBuf, line: usize, keys: PathBuf, cause: String },
    #[error("{}:{line}: {cause}; replay it with the program that wrote it", file.display())]
    InvalidLine { file: PathBuf, line: usize, cause: serde_json::Error },
    #[error("{}:{line}: no header before this line; take the record from its first line on", file.display())]
    MissingHeader { file: PathBuf, line: usize },
    #[error(
        "{}:{line}: wanted now\n  {actual}\nbut recorded\n  {recorded}\nreplay it with the version and keys that \
         wrote it",
        file.display()
    )]
    Mismatch { file: PathBuf, line: usize, actual: String, recorded: String },
    #[error("{}: no event in it; take the record of a manager that received requests", file.display())]
    Empty { file: PathBuf },
}

/// Recorded traffic that can't be judged.
#[derive(Debug, Error)]
pub enum JudgeError {
    #[error("{}: {cause}; name a file that `rehearse` wrote with --traffic", traffic.display())]
    Unreadable { traffic: PathBuf, cause: String },
    #[error("{}: {cause}; give --report a folder that can be written", folder.display())]
    Report { folder: PathBuf, cause: String },
}

/// An invalid value of a command line option.
#[derive(Debug, Error)]
pub enum ArgumentError {
    #[error("--log {value}: {cause}; write a level, or a filter such as info,ottersail_front=debug")]
    Log { value: String, cause: String },
    #[error("--pick: expected one of {}, read {value:?}", choices.join(", "))]
    Pick { value: String, choices: Vec<&'static str> },
    #[error("--stall: expected CORE:MS, such as 1:2500, read {value:?}")]
    Stall { value: String },
}
