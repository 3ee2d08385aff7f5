//! Identifiers, each a type of its own.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Where a member receives datagrams and connections.
pub type Address = std::net::SocketAddrV4;

/// Identifies a member: the first 8 bytes of SHA-256 over the cluster's name, a zero byte and the member's
/// name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct MemberId(pub u64);

/// Identifies one run of a member's process; drawn at random when the process starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct InstanceId(pub u64);

/// A member's version of its own state. It grows when the member, or another on its behalf, refutes what is
/// said of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

/// The layer above that a message or a piggybacked payload is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Topic(pub u8);

/// Links the result of a dial to its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

impl MemberId {
    /// The id of the member of this name in that cluster.
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
    /// The incarnation that refutes this one.
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}
