//! Authentication of datagrams: seals messages and opens received datagrams. Datagrams that are forged,
//! replayed, cut, too long or of another cluster are counted and dropped, cheap checks first. Nothing is
//! stored before the MAC is verified, and no instance is accepted before it has echoed a cookie.

mod cookie;
mod error;
mod frame;
mod instances;
#[cfg(test)]
mod tests;
mod window;

pub use error::{DatagramError, DropReason};
pub use frame::MAX_DATAGRAM_BYTES;
pub use instances::{MAX_INSTANCES, MAX_INSTANCES_PER_MEMBER};
pub use window::WINDOW;

use crate::{InstanceId, MemberId};
use cookie::{Cookies, COOKIE_BYTES};
use frame::{Header, HmacSha256, Kind, HEADER_BYTES, MAC_BYTES};
use instances::Instances;
use ottersail::time::Ms;
use ottersail_signed_urls::Keys;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;

/// The version of datagrams that are written. Those one version older or newer are read too: fields are only
/// added at the end.
pub const VERSION: u8 = 1;

/// A challenge's body: the instance and the counter of the datagram it answers, and the cookie.
const CHALLENGE_BYTES: usize = 8 + 8 + COOKIE_BYTES;

/// A message's body has at least this many bytes, padded with zeros: a challenge must not be longer than the
/// datagram it answers, or it could be used to amplify a flood towards another address.
const MIN_BODY_BYTES: usize = CHALLENGE_BYTES;

/// A message's body has at most this many bytes, so that it can be sent again with a cookie before it.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES - COOKIE_BYTES;

/// The last bodies are kept, to be sent again if a challenge comes (77 KB at most).
const MAX_KEPT_BODIES: u64 = 64;

/// A body is decoded as if this many zeros followed it: a field that an older version does not write reads as
/// 0, false, none or empty.
const PADDING_BYTES: usize = 64;

/// The result of opening a datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened<T> {
    Message {
        from: MemberId,
        instance: InstanceId,
        message: T,
    },
    /// Send these bytes to the address that the datagram came from: its instance is not known yet.
    Challenge(Vec<u8>),
    /// Send these bytes to the address that the datagram came from: the message that was challenged, with the
    /// cookie.
    Resend(Vec<u8>),
    Dropped(DropReason),
}

/// Seals and opens the datagrams of one member.
pub struct DatagramAuth {
    own_id: MemberId,
    instance: InstanceId,
    version: u8,
    cluster: String,
    cluster_tag: [u8; 4],
    /// The first key seals; datagrams sealed with any of them are accepted.
    keys: Vec<HmacSha256>,
    cookies: Cookies,
    /// The last counter that was used.
    counter: u64,
    /// The receivers and bodies of the last messages, by counter.
    sent: BTreeMap<u64, (Option<MemberId>, Vec<u8>)>,
    instances: Instances,
    drops: BTreeMap<DropReason, u64>,
}

impl DatagramAuth {
    /// `instance` and `seed` come from the system's random source: new and unpredictable at each start.
    pub fn new(own_id: MemberId, instance: InstanceId, cluster: &str, keys: Keys, seed: u64) -> DatagramAuth {
        let derived = derived_keys(&keys, cluster);
        DatagramAuth {
            own_id,
            instance,
            version: VERSION,
            cluster: cluster.into(),
            cluster_tag: frame::cluster_tag(cluster),
            cookies: Cookies::new(derived.first().map_or(&[], |key| key), seed, instance),
            keys: derived.iter().map(|key| frame::mac_of(key)).collect(),
            counter: 0,
            sent: BTreeMap::new(),
            instances: Instances::default(),
            drops: BTreeMap::new(),
        }
    }

    /// Replaces the keys without a restart; verified instances stay verified.
    pub fn set_keys(&mut self, keys: &Keys) {
        self.keys = derived_keys(keys, &self.cluster).iter().map(|key| frame::mac_of(key)).collect();
    }

    /// The datagram for a message; `to` is `None` while the id of the member at an address is not known.
    ///
    /// # Errors
    /// If the body is longer than `MAX_BODY_BYTES` or can't be encoded.
    pub fn seal<T: Serialize>(
        &mut self,
        to: Option<MemberId>,
        message: &T,
    ) -> Result<Vec<u8>, DatagramError> {
        let unencodable = |error: postcard::Error| DatagramError::Unencodable { why: error.to_string() };
        let mut body = postcard::to_allocvec(message).map_err(unencodable)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(DatagramError::TooLong { bytes: body.len(), most: MAX_BODY_BYTES });
        }
        body.resize(body.len().max(MIN_BODY_BYTES), 0);
        self.counter += 1;
        let bytes = self.sealed(Kind::Plain, to, &[&body]);
        self.sent.insert(self.counter, (to, body));
        if self.sent.len() as u64 > MAX_KEPT_BODIES {
            self.sent.pop_first();
        }
        Ok(bytes)
    }

    /// Opens a received datagram; `now` is the member's own monotonic time.
    pub fn open<T: DeserializeOwned>(&mut self, now: Ms, bytes: &[u8]) -> Opened<T> {
        self.try_open(now, bytes).unwrap_or_else(|reason| {
            *self.drops.entry(reason).or_insert(0) += 1;
            Opened::Dropped(reason)
        })
    }

    /// The number of datagrams that were dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drops.get(&reason).copied().unwrap_or(0)
    }

    /// The number of instances that are stored, `MAX_INSTANCES` at most.
    pub fn instance_count(&self) -> usize {
        self.instances.count()
    }

    fn try_open<T: DeserializeOwned>(&mut self, now: Ms, bytes: &[u8]) -> Result<Opened<T>, DropReason> {
        let header = frame::read_header(bytes, self.version, self.cluster_tag)?;
        // Another instance under this member's own id is let through, so that a name given to two processes
        // is noticed.
        if header.to.is_some_and(|to| to != self.own_id)
            || (header.from, header.instance) == (self.own_id, self.instance)
        {
            return Err(DropReason::Misaddressed);
        }
        let body = frame::verified_body(&self.keys, bytes)?;
        match header.kind {
            Kind::Challenge => self.answer_challenge(now, &header, body),
            Kind::Plain | Kind::Echo => self.open_message(now, &header, bytes.len(), body),
        }
    }

    fn open_message<T: DeserializeOwned>(
        &mut self,
        now: Ms,
        header: &Header,
        datagram_bytes: usize,
        body: &[u8],
    ) -> Result<Opened<T>, DropReason> {
        let sender = (header.from, header.instance);
        let verified = self.instances.accept(now, sender, header.counter)?;
        let split = if header.kind == Kind::Echo { COOKIE_BYTES.min(body.len()) } else { 0 };
        let (cookie, body) = body.split_at(split);
        if !verified && header.kind == Kind::Plain {
            return self.challenge(now, header, datagram_bytes).map(Opened::Challenge);
        }
        if !verified {
            // There is no second challenge: a message that was sent again is not sent a third time, so that
            // two members can't exchange challenges endlessly.
            let valid = self.cookies.is_valid(now, sender, cookie);
            valid.then_some(()).ok_or(DropReason::Unchallenged)?;
            self.instances.verify(now, sender, header.counter)?;
        }
        let message = decode(body)?;
        Ok(Opened::Message { from: header.from, instance: header.instance, message })
    }

    /// A challenge to the sender of a datagram. It uses up no counter: otherwise replayed datagrams of an
    /// earlier instance would advance this member's windows at other members.
    fn challenge(&self, now: Ms, header: &Header, datagram_bytes: usize) -> Result<Vec<u8>, DropReason> {
        if datagram_bytes < HEADER_BYTES + CHALLENGE_BYTES + MAC_BYTES {
            return Err(DropReason::Unchallenged);
        }
        let cookie = self.cookies.make(now, (header.from, header.instance));
        let body: [&[u8]; 3] = [&header.instance.0.to_be_bytes(), &header.counter.to_be_bytes(), &cookie];
        Ok(self.sealed(Kind::Challenge, Some(header.from), &body))
    }

    /// Answers a challenge: sends the challenged message once more. A challenge names a counter of this
    /// instance whose message is still kept, and each is answered once; so the challenge is recent and proves
    /// that its sender is running.
    fn answer_challenge<T>(
        &mut self,
        now: Ms,
        header: &Header,
        body: &[u8],
    ) -> Result<Opened<T>, DropReason> {
        let (instance, counter) = (frame::read_u64(body, 0), frame::read_u64(body, 8));
        let cookie = body.get(16..16 + COOKIE_BYTES).ok_or(DropReason::TooShort)?;
        let sent = self.sent.get(&counter);
        let sent_to_challenger = sent.is_some_and(|(to, _)| to.is_none_or(|to| to == header.from));
        if InstanceId(instance) != self.instance || !sent_to_challenger {
            return Err(DropReason::Unchallenged);
        }
        self.instances.verify(now, (header.from, header.instance), header.counter)?;
        let (_, message) = self.sent.remove(&counter).ok_or(DropReason::Unchallenged)?;
        self.counter += 1;
        Ok(Opened::Resend(self.sealed(Kind::Echo, Some(header.from), &[cookie, &message])))
    }

    fn sealed(&self, kind: Kind, to: Option<MemberId>, body: &[&[u8]]) -> Vec<u8> {
        let (from, instance, counter) = (self.own_id, self.instance, self.counter);
        let header = Header { version: self.version, kind, from, instance, to, counter };
        // `Keys` holds at least one key.
        frame::sealed(&self.keys[0], self.cluster_tag, &header, body)
    }
}

fn derived_keys(keys: &Keys, cluster: &str) -> Vec<[u8; 32]> {
    keys.derived(&format!("datagrams of {cluster}"))
}

/// Decodes the message in a body. Bytes after it are ignored, missing fields read as zeros.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DropReason> {
    let mut padded = Vec::with_capacity(body.len() + PADDING_BYTES);
    padded.extend_from_slice(body);
    padded.resize(body.len() + PADDING_BYTES, 0);
    postcard::from_bytes(&padded).map_err(|_| DropReason::Unreadable)
}
