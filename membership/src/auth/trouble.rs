//! What can be wrong with a datagram that is to be sent, and with one that came.

use thiserror::Error;

/// A message that can't be sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    #[error(
        "the message's body has {bytes} bytes, a datagram takes {most}; send it in pages, or leave out piggybacks"
    )]
    Long { bytes: usize, most: usize },
    #[error("the message's body can't be written ({why}); use types of known length in it")]
    Unwritable { why: String },
}

/// DropReason a datagram was dropped. Nothing of it was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DropReason {
    #[error("the datagram is shorter than a head and a MAC; look for what else sends to this port")]
    TooShort,
    #[error("the datagram is longer than 1200 bytes; look for what else sends to this port")]
    TooLong,
    #[error("the datagram is of a version more than one away; bring all members within one version")]
    UnsupportedVersion,
    #[error(
        "the datagram is of another cluster; give clusters ports of their own or fix the cluster's name"
    )]
    OtherCluster,
    #[error(
        "the datagram is for another member; see that no address is given to two, else it was sent again"
    )]
    Misaddressed,
    #[error(
        "the datagram's MAC is of no key in force; give all members the same keys' file, old key included"
    )]
    BadMac,
    #[error("the datagram was opened before or is too late; if many are, look for who sends them again")]
    Replayed,
    #[error(
        "the datagram's instance has not echoed a challenge in time; see that answers get back to its sender"
    )]
    Unchallenged,
    #[error(
        "the datagram's instance finds no room among those held; lower the count of members or of restarts"
    )]
    TableFull,
    #[error("the datagram's body can't be read; bring all members within one version")]
    Unreadable,
}

impl DropReason {
    pub const ALL: [DropReason; 10] = [
        DropReason::TooShort,
        DropReason::TooLong,
        DropReason::UnsupportedVersion,
        DropReason::OtherCluster,
        DropReason::Misaddressed,
        DropReason::BadMac,
        DropReason::Replayed,
        DropReason::Unchallenged,
        DropReason::TableFull,
        DropReason::Unreadable,
    ];

    /// The name for counters and metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::TooShort => "cut",
            DropReason::TooLong => "too_long",
            DropReason::UnsupportedVersion => "version",
            DropReason::OtherCluster => "cluster",
            DropReason::Misaddressed => "astray",
            DropReason::BadMac => "forged",
            DropReason::Replayed => "replayed",
            DropReason::Unchallenged => "unchallenged",
            DropReason::TableFull => "crowded",
            DropReason::Unreadable => "unread",
        }
    }
}
