//! How an exchange with a server fails.

use std::io::ErrorKind;
use thiserror::Error;

/// How an exchange failed, and whether the request may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// Nothing was sent: there was no connection within the time allowed.
    #[error("{address}: no connection, nothing was sent; see that it is ip:port and that a server listens")]
    NoConnection { address: String },
    /// Nothing was sent, for a reason on this side.
    #[error(
        "{address}: nothing was sent, for lack of time, file descriptors or ports here; see the load and `ulimit -n`"
    )]
    NotSent { address: String },
    /// The request was sent, or may have been; then the connection ended or its data was not HTTP.
    #[error(
        "{address}: the connection ended before a complete HTTP response; see the log of the server there"
    )]
    Lost { address: String },
    /// The response is larger than allowed.
    #[error("{address}: the response is over {most} bytes; see that the right service listens there")]
    TooLarge { address: String, most: usize },
}

impl Failure {
    pub(super) fn no_connection(address: &str) -> Failure {
        Failure::NoConnection { address: address.into() }
    }

    pub(super) fn not_sent(address: &str) -> Failure {
        Failure::NotSent { address: address.into() }
    }

    pub(super) fn lost(address: &str) -> Failure {
        Failure::Lost { address: address.into() }
    }
}

/// Whether the error is a lack of file descriptors or ports here, which says nothing about the server.
pub(super) fn is_local(error: &std::io::Error) -> bool {
    // ENFILE and EMFILE.
    const NO_DESCRIPTORS: [i32; 2] = [23, 24];
    error.raw_os_error().is_some_and(|code| NO_DESCRIPTORS.contains(&code))
        || error.kind() == ErrorKind::AddrNotAvailable
}
