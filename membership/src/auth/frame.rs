//! The bytes of a datagram: version 1, kind 1, cluster 4, sender 8, instance 8, for whom 8, counter 8, the body,
//! MAC 16. All numbers are big-endian; the MAC is over all that stands before it.

use super::trouble::DropReason;
use crate::{InstanceId, MemberId};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

pub type Sha = Hmac<Sha256>;

/// A datagram has at most so many bytes: passes any path without being cut up (IPv6's least MTU is 1,280).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
pub const HEAD: usize = 38;
pub const MAC: usize = 16;

/// What the datagram is for the auth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message.
    Plain = 0,
    /// Asks a instance that is not known to echo a cookie.
    Challenge = 1,
    /// A cookie, then a message.
    Echo = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub version: u8,
    pub kind: Kind,
    pub from: MemberId,
    pub instance: InstanceId,
    /// For whom it is, or for anybody (a seed whose id is not known yet).
    pub to: Option<MemberId>,
    pub counter: u64,
}

pub fn mac_of(key: &[u8]) -> Sha {
    // A key of any length is taken by HMAC, so this can't fail.
    <Sha as Mac>::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// The first bytes of SHA-256 over the cluster's name: no secret, only to tell clusters apart cheaply.
pub fn tag_of(cluster: &str) -> [u8; 4] {
    let hash = Sha256::digest(cluster.as_bytes());
    [hash[0], hash[1], hash[2], hash[3]]
}

/// Reads the head, by cheap checks alone: length, version, kind, cluster.
pub fn head_of(bytes: &[u8], version: u8, tag: [u8; 4]) -> Result<Head, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    if bytes.len() < HEAD + MAC {
        return Err(DropReason::TooShort);
    }
    if bytes[0].abs_diff(version) > 1 {
        return Err(DropReason::UnsupportedVersion);
    }
    let kind = match bytes[1] {
        0 => Kind::Plain,
        1 => Kind::Challenge,
        2 => Kind::Echo,
        _ => return Err(DropReason::UnsupportedVersion),
    };
    if bytes[2..6] != tag {
        return Err(DropReason::OtherCluster);
    }
    let to = Some(MemberId(number(bytes, 22))).filter(|it| it.0 != 0);
    let (from, instance) = (MemberId(number(bytes, 6)), InstanceId(number(bytes, 14)));
    Ok(Head { version: bytes[0], kind, from, instance, to, counter: number(bytes, 30) })
}

/// The number at `at`; what is missing is 0.
pub fn number(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|it| it.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// The whole datagram, signed with the key.
pub fn sealed(key: &Sha, tag: [u8; 4], head: &Head, body: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + body.iter().map(|it| it.len()).sum::<usize>() + MAC);
    bytes.extend_from_slice(&[head.version, head.kind as u8]);
    bytes.extend_from_slice(&tag);
    for part in [head.from.0, head.instance.0, head.to.map_or(0, |it| it.0), head.counter] {
        bytes.extend_from_slice(&part.to_be_bytes());
    }
    for part in body {
        bytes.extend_from_slice(part);
    }
    let mac = key.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend_from_slice(&mac[..MAC]);
    bytes
}

/// The body, if one of the keys has signed it. The comparison takes equal time for every wrong MAC.
pub fn signed_body<'a>(keys: &[Sha], bytes: &'a [u8]) -> Result<&'a [u8], DropReason> {
    let (signed, mac) = bytes.split_at(bytes.len() - MAC);
    let good = |key: &Sha| key.clone().chain_update(signed).verify_truncated_left(mac).is_ok();
    keys.iter().any(good).then(|| &signed[HEAD..]).ok_or(DropReason::BadMac)
}
