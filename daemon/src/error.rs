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
    #[error("{}: {why}; [manager] keys names the file: a name and a base64 secret a line", file.display())]
    Keys { file: PathBuf, why: String },
    #[error("{}: {why}; [members] keys names the file: a name and a base64 secret a line", file.display())]
    MemberKeys { file: PathBuf, why: String },
    #[error("{}: no record can be begun: {why}; give --record a file that can be written", file.display())]
    Record { file: PathBuf, why: io::Error },
    #[error(
        "--with-parent: the end of the process that started this one can't be heard: {why}; try without it"
    )]
    ParentUnheard { why: io::Error },
    #[error(
        "--with-parent: the process that started this one has ended already; start it from one that runs on"
    )]
    ParentGone,
    #[error("[manager] listen = {address}: {why}; write an address like 127.0.0.1:8080")]
    Address { address: String, why: AddrParseError },
    #[error("{address}: {why}; is another one running? Else choose another address for [manager] listen")]
    Listen { address: SocketAddr, why: io::Error },
    #[error("[members]: {0}")]
    Members(#[from] MembershipConfigError),
    #[error("{address}: no datagrams: {why}; is another one running? Else choose another [members] listen")]
    Datagrams { address: SocketAddr, why: io::Error },
    #[error("{address}: connections can't be watched: {why}; raise the limit on open files (ulimit -n)")]
    Watch { address: SocketAddr, why: io::Error },
    #[error(
        "thread {name} can't be started: {why}; try fewer [manager] cores, or raise the limit (ulimit -u)"
    )]
    Thread { name: String, why: io::Error },
    #[error("signals can't be taken: {why}; raise the limit on open files (ulimit -n)")]
    Signals { why: io::Error },
    #[error(
        "{}: the version to come back with can't be written: {why}; give [releases] next a file in a folder that \
         can be written",
        file.display()
    )]
    Next { file: PathBuf, why: io::Error },
}

/// A manager of the live platform that can't start, or a configuration that is not taken over.
#[derive(Debug, Error)]
pub enum NodeError {
    #[error("BALANCER_CONFIG must name the configuration file")]
    Unnamed,
    #[error("{}: {why}; BALANCER_CONFIG must name a file that this user may read", file.display())]
    Unread { file: PathBuf, why: io::Error },
    #[error("{}: {why}; give the configuration as the platform writes it", file.display())]
    Config { file: PathBuf, why: String },
    #[error("{}: listen: {why}; write an address like 127.0.0.1:8080", file.display())]
    Address { file: PathBuf, why: AddrParseError },
    #[error("{address}: {why}; is another one running?")]
    Listen { address: SocketAddr, why: io::Error },
    #[error("signals can't be taken: {why}; raise the limit on open files (ulimit -n)")]
    Signals { why: io::Error },
}

/// A record that can't be played back, or is not played back alike.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("{}: {why}; name a file that `run` or `rehearse` wrote with --record", file.display())]
    Unread { file: PathBuf, why: io::Error },
    #[error("{}:{line}: {why}; play it with the program that wrote it", file.display())]
    Settings { file: PathBuf, line: usize, why: SettingsError },
    #[error("{}:{line}: {}: {why}; name the keys of that time with --keys", file.display(), keys.display())]
    Keys { file: PathBuf, line: usize, keys: PathBuf, why: String },
    #[error("{}:{line}: {why}; play it with the program that wrote it", file.display())]
    Line { file: PathBuf, line: usize, why: serde_json::Error },
    #[error("{}:{line}: a record begins with its settings; take it from its first line on", file.display())]
    Headless { file: PathBuf, line: usize },
    #[error(
        "{}:{line}: wanted now\n  {now}\nand then\n  {then}\nplay it with the version and keys that wrote it",
        file.display()
    )]
    Differs { file: PathBuf, line: usize, now: String, then: String },
    #[error("{}: nothing was told in it; take the record of a manager that was asked", file.display())]
    Nothing { file: PathBuf },
}

/// Traffic that can't be judged.
#[derive(Debug, Error)]
pub enum JudgeError {
    #[error("{}: {why}; name a file that `rehearse` wrote with --traffic", traffic.display())]
    Unread { traffic: PathBuf, why: String },
    #[error("{}: {why}; give --report a folder that can be written", folder.display())]
    Report { folder: PathBuf, why: String },
}

/// A flag that can't be read.
#[derive(Debug, Error)]
pub enum LineError {
    #[error("--log {read}: {why}; write a level, or a filter such as info,ottersail_front=debug")]
    Log { read: String, why: String },
    #[error("--pick: expected one of {}, read {read:?}", words.join(", "))]
    Pick { read: String, words: Vec<&'static str> },
    #[error("--stall: expected CORE:MS, such as 1:2500, read {read:?}")]
    Stall { read: String },
}
