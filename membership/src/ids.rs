//! Each kind of name is a type of its own.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Where a member's datagrams and connections go: a plain value, nothing is opened here.
pub type Address = std::net::SocketAddrV4;

/// Who: the first 8 bytes of SHA-256 over the cluster's name, a 0, and the member's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct MemberId(pub u64);

/// One run of a member's process: drawn when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct InstanceId(pub u64);

/// Raised by the member alone, to contradict what others say of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

/// Which upper layer a message or rider is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Topic(pub u8);

/// Which try of the second way an answer belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

impl MemberId {
    /// The id that this name has in that cluster.
    pub fn of(cluster: &str, name: &str) -> MemberId {
        let digest = Sha256::new().chain_update(cluster).chain_update([0]).chain_update(name).finalize();
        MemberId(digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

impl From<[u8; 8]> for MemberId {
    fn from(bytes: [u8; 8]) -> MemberId {
        MemberId(u64::from_le_bytes(bytes))
    }
}

impl From<MemberId> for [u8; 8] {
    fn from(id: MemberId) -> [u8; 8] {
        id.0.to_le_bytes()
    }
}

impl From<[u8; 8]> for InstanceId {
    fn from(bytes: [u8; 8]) -> InstanceId {
        InstanceId(u64::from_le_bytes(bytes))
    }
}

impl From<InstanceId> for [u8; 8] {
    fn from(instance: InstanceId) -> [u8; 8] {
        instance.0.to_le_bytes()
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Incarnation {
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}
