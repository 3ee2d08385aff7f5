//! Why a message can't be sent, and why a received datagram was dropped.

use thiserror::Error;

/// A message that can't be sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    #[error(
        "the message's body has {bytes} bytes, a datagram holds {most}; send it in pages, or leave out piggybacked payloads"
    )]
    TooLong { bytes: usize, most: usize },
    #[error("the message's body can't be encoded ({why}); use types of known length in it")]
    Unencodable { why: String },
}

/// Why a datagram was dropped. Nothing of it was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DropReason {
    #[error(
        "the datagram is shorter than a header and a MAC; look for other programs that send to this port"
    )]
    TooShort,
    #[error("the datagram is longer than 1200 bytes; look for other programs that send to this port")]
    TooLong,
    #[error("the datagram's version differs by more than one; bring all members within one version")]
    UnsupportedVersion,
    #[error(
        "the datagram is from another cluster; give each cluster its own ports or fix the cluster's name"
    )]
    OtherCluster,
    #[error(
        "the datagram is for another member; see that no two members share an address, otherwise it was replayed"
    )]
    Misaddressed,
    #[error(
        "the datagram's MAC matches no current key; give all members the same key file, with the old key in it"
    )]
    BadMac,
    #[error(
        "the datagram was received before or is too late; if many are, look for a host that replays them"
    )]
    Replayed,
    #[error("the datagram's sender has not echoed a challenge in time; see that replies reach its address")]
    Unchallenged,
    #[error("the datagram's sender finds no room in the table of instances; lower the number of members or restarts")]
    TableFull,
    #[error("the datagram's body can't be decoded; bring all members within one version")]
    Unreadable,
}

impl DropReason {
    /// All reasons.
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

    /// The name of the reason in counters and metrics.
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
