//! The layout of a datagram, in bytes: version 1, kind 1, cluster 4, sender 8, instance 8, receiver 8,
//! counter 8, the body, MAC 16. All numbers are big-endian; the MAC covers everything before it.

use super::error::DropReason;
use crate::{InstanceId, MemberId};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// HMAC with SHA-256.
pub type HmacSha256 = Hmac<Sha256>;

/// The longest datagram in bytes. It passes any path without fragmentation (IPv6's least MTU is 1,280).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of the header.
pub const HEADER_BYTES: usize = 38;
/// Length of the truncated MAC at the end.
pub const MAC_BYTES: usize = 16;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message.
    Plain = 0,
    /// Asks an instance that is not known to echo a cookie.
    Challenge = 1,
    /// A cookie, then a message.
    Echo = 2,
}

/// The fields before the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u8,
    pub kind: Kind,
    pub from: MemberId,
    pub instance: InstanceId,
    /// The receiver, or `None` for any (a seed whose id is not known yet).
    pub to: Option<MemberId>,
    pub counter: u64,
}

/// A MAC that starts with this key.
pub fn mac_of(key: &[u8]) -> HmacSha256 {
    // HMAC takes a key of any length, so this can't fail.
    <HmacSha256 as Mac>::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// The first bytes of SHA-256 over the cluster's name. They are not secret and only tell clusters apart
/// cheaply.
pub fn cluster_tag(cluster: &str) -> [u8; 4] {
    let hash = Sha256::digest(cluster.as_bytes());
    [hash[0], hash[1], hash[2], hash[3]]
}

/// Reads the header with cheap checks only: length, version, kind, cluster.
pub fn read_header(bytes: &[u8], version: u8, tag: [u8; 4]) -> Result<Header, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    if bytes.len() < HEADER_BYTES + MAC_BYTES {
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
    let to = Some(MemberId(read_u64(bytes, 22))).filter(|member| member.0 != 0);
    let (from, instance) = (MemberId(read_u64(bytes, 6)), InstanceId(read_u64(bytes, 14)));
    Ok(Header { version: bytes[0], kind, from, instance, to, counter: read_u64(bytes, 30) })
}

/// The number at `offset`, or 0 if the bytes end before its end.
pub fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..offset + 8).and_then(|field| field.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// The whole datagram, with a MAC made with the key.
pub fn sealed(key: &HmacSha256, tag: [u8; 4], header: &Header, body: &[&[u8]]) -> Vec<u8> {
    let body_bytes = body.iter().map(|part| part.len()).sum::<usize>();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body_bytes + MAC_BYTES);
    bytes.extend_from_slice(&[header.version, header.kind as u8]);
    bytes.extend_from_slice(&tag);
    let to = header.to.map_or(0, |member| member.0);
    for field in [header.from.0, header.instance.0, to, header.counter] {
        bytes.extend_from_slice(&field.to_be_bytes());
    }
    for part in body {
        bytes.extend_from_slice(part);
    }
    let mac = key.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend_from_slice(&mac[..MAC_BYTES]);
    bytes
}

/// The body, if the MAC was made with one of the keys. The comparison takes equal time for every wrong MAC.
pub fn verified_body<'a>(keys: &[HmacSha256], bytes: &'a [u8]) -> Result<&'a [u8], DropReason> {
    let (signed, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
    let valid = |key: &HmacSha256| key.clone().chain_update(signed).verify_truncated_left(mac).is_ok();
    keys.iter().any(valid).then(|| &signed[HEADER_BYTES..]).ok_or(DropReason::BadMac)
}
