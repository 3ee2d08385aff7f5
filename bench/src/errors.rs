//! What keeps a measurement from being made. Each text says what is wrong, where, and what an operator can
//! try.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum BenchError {
    #[error("settings of the bench's manager: {0}; choose other numbers, as of --servers")]
    Settings(String),
    #[error("the bench's own key in library.rs: {0}; build anew from a tree without changes")]
    Key(String),
    #[error("this program's path is not known: {0}; start it by its whole path, and leave its file there")]
    OwnPath(#[source] io::Error),
    #[error("no socket on 127.0.0.1 for {what}: {source}; raise `ulimit -n`, or end what holds the ports")]
    Socket { what: &'static str, source: io::Error },
    #[error("{what} in a process of its own: {source}; raise `ulimit -u`, or free memory")]
    Process { what: &'static str, source: io::Error },
    #[error("manager at {address}: {cause}; end who listens there, and try again")]
    Manager { address: String, cause: String },
    /// With what it said on standard error.
    #[error("{what} told no figures but {told:?}: {said}; try a lower rate, or start it alone as `{again}`")]
    NoFigures { what: &'static str, told: String, said: String, again: String },
    #[error(
        "cluster of {members}: after {seconds} s not seen that {what}; see its logs in {folder}, play fewer"
    )]
    NotSeen { members: usize, seconds: u64, what: String, folder: String },
    #[error("{file}: not written: {source}; see that there is room for a few MB, and TMPDIR")]
    File { file: String, source: io::Error },
    #[error("thread of {what} at {address} broke off; look at what it said above, and try a lower rate")]
    BrokeOff { what: &'static str, address: SocketAddr },
}

#[cfg(test)]
mod tests;
