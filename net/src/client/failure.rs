//! How an exchange fails.

use std::io::ErrorKind;
use thiserror::Error;

/// How an exchange failed, and what that proves.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// Nothing was sent: no connection within the time allowed.
    #[error("{address}: no connection, nothing was sent; see that it is ip:port and that somebody listens")]
    NoConnection { address: String },
    /// Nothing was sent, for a reason on this side.
    #[error(
        "{address}: nothing was sent, for want of time, files or ports here; see the load and `ulimit -n`"
    )]
    NotSent { address: String },
    /// It was sent, or may have been; then the connection ended or spoke no HTTP.
    #[error(
        "{address}: the connection ended before a whole answer in HTTP; see the log of who serves there"
    )]
    Lost { address: String },
    /// The answer is larger than allowed.
    #[error("{address}: the answer is over {most} bytes; see that the right service listens there")]
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

/// No descriptor, no port: that tells nothing of the peer.
pub(super) fn own_fault(trouble: &std::io::Error) -> bool {
    const NO_FILES: [i32; 2] = [23, 24];
    trouble.raw_os_error().is_some_and(|it| NO_FILES.contains(&it))
        || trouble.kind() == ErrorKind::AddrNotAvailable
}
