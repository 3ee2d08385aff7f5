//! Messages to sealed datagrams and back. What is forged, replayed, cut, too long or of another cluster is
//! counted and dropped, cheap checks first; nothing is stored before the MAC holds, and no instance is believed
//! before it has echoed a cookie.

mod cookie;
mod frame;
mod lives;
#[cfg(test)]
mod tests;
mod trouble;
mod window;

pub use frame::MAX_DATAGRAM_BYTES;
pub use lives::{LIVES, LIVES_OF_ONE};
pub use trouble::{DatagramError, DropReason};
pub use window::WINDOW;

use crate::{InstanceId, MemberId};
use cookie::{Cookies, COOKIE};
use frame::{Head, Kind, Sha, HEAD, MAC};
use lives::Lives;
use ottersail::time::Ms;
use ottersail_signed_urls::Keys;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;

/// What is written. Versions one back and one forth are read: fields are only added at the end.
pub const VERSION: u8 = 1;

/// A challenge's body: the instance and the counter of the datagram it answers, and the cookie.
const ASKED: usize = 8 + 8 + COOKIE;

/// A message's body has at least so many bytes, filled with zeros: a challenge must not be longer than what
/// it answers, or an address could be flooded by way of it.
const SHORTEST_BODY: usize = ASKED;

/// A message's body has at most so many bytes, so that it can go out again behind a cookie.
pub const LONGEST_BODY: usize = MAX_DATAGRAM_BYTES - HEAD - MAC - COOKIE;

/// So many of the last bodies are kept, to go out again if a challenge comes (77 KB at most).
const RESENT: u64 = 64;

/// A body is read as if so many zeros followed: a field that an older version does not write reads as 0,
/// false, none or empty.
const FILL: usize = 64;

/// What came of a datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened<T> {
    Message {
        from: MemberId,
        instance: InstanceId,
        message: T,
    },
    /// Send these bytes to where the datagram came from: its instance is not known yet.
    Challenge(Vec<u8>),
    /// Send these bytes to where the datagram came from: what it asks to hear again, with its cookie.
    Resend(Vec<u8>),
    Dropped(DropReason),
}

/// One member's auth.
pub struct DatagramAuth {
    me: MemberId,
    instance: InstanceId,
    version: u8,
    cluster: String,
    tag: [u8; 4],
    /// The first signs, all are believed.
    keys: Vec<Sha>,
    cookies: Cookies,
    /// The last counter that was used.
    counter: u64,
    sent: BTreeMap<u64, (Option<MemberId>, Vec<u8>)>,
    lives: Lives,
    drops: BTreeMap<DropReason, u64>,
}

impl DatagramAuth {
    /// `instance` and `seed` come from the system's chance: new and not to be guessed at each start.
    pub fn new(me: MemberId, instance: InstanceId, cluster: &str, keys: Keys, seed: u64) -> DatagramAuth {
        let derived = derived(&keys, cluster);
        DatagramAuth {
            me,
            instance,
            version: VERSION,
            cluster: cluster.into(),
            tag: frame::tag_of(cluster),
            cookies: Cookies::new(derived.first().map_or(&[], |it| it), seed, instance),
            keys: derived.iter().map(|it| frame::mac_of(it)).collect(),
            counter: 0,
            sent: BTreeMap::new(),
            lives: Lives::default(),
            drops: BTreeMap::new(),
        }
    }

    /// Other keys from now on, without a restart; lives stay believed.
    pub fn set_keys(&mut self, keys: &Keys) {
        self.keys = derived(keys, &self.cluster).iter().map(|it| frame::mac_of(it)).collect();
    }

    /// The datagram for a message; `to` is none while the id at an address is not known yet.
    ///
    /// # Errors
    /// If the body is longer than `LONGEST_BODY` or can't be written.
    pub fn seal<T: Serialize>(
        &mut self,
        to: Option<MemberId>,
        message: &T,
    ) -> Result<Vec<u8>, DatagramError> {
        let unwritable = |it: postcard::Error| DatagramError::Unwritable { why: it.to_string() };
        let mut body = postcard::to_allocvec(message).map_err(unwritable)?;
        if body.len() > LONGEST_BODY {
            return Err(DatagramError::Long { bytes: body.len(), most: LONGEST_BODY });
        }
        body.resize(body.len().max(SHORTEST_BODY), 0);
        self.counter += 1;
        let bytes = self.sealed(Kind::Plain, to, &[&body]);
        self.sent.insert(self.counter, (to, body));
        if self.sent.len() as u64 > RESENT {
            self.sent.pop_first();
        }
        Ok(bytes)
    }

    /// What a datagram is; `now` is the member's own monotonic time.
    pub fn open<T: DeserializeOwned>(&mut self, now: Ms, bytes: &[u8]) -> Opened<T> {
        self.opened(now, bytes).unwrap_or_else(|why| {
            *self.drops.entry(why).or_insert(0) += 1;
            Opened::Dropped(why)
        })
    }

    /// How many datagrams were dropped for that reason.
    pub fn dropped(&self, why: DropReason) -> u64 {
        self.drops.get(&why).copied().unwrap_or(0)
    }

    /// How many lives are held, `LIVES` at most.
    pub fn held(&self) -> usize {
        self.lives.count()
    }

    fn opened<T: DeserializeOwned>(&mut self, now: Ms, bytes: &[u8]) -> Result<Opened<T>, DropReason> {
        let head = frame::head_of(bytes, self.version, self.tag)?;
        // Another instance under the own id is heard: a name given to two has to come out.
        if head.to.is_some_and(|it| it != self.me) || (head.from, head.instance) == (self.me, self.instance) {
            return Err(DropReason::Misaddressed);
        }
        let body = frame::signed_body(&self.keys, bytes)?;
        match head.kind {
            Kind::Challenge => self.challenged(now, &head, body),
            Kind::Plain | Kind::Echo => self.said(now, &head, bytes.len(), body),
        }
    }

    fn said<T: DeserializeOwned>(
        &mut self,
        now: Ms,
        head: &Head,
        bytes: usize,
        body: &[u8],
    ) -> Result<Opened<T>, DropReason> {
        let who = (head.from, head.instance);
        let known = self.lives.take(now, who, head.counter)?;
        let split = if head.kind == Kind::Echo { COOKIE.min(body.len()) } else { 0 };
        let (cookie, body) = body.split_at(split);
        if !known && head.kind == Kind::Plain {
            return self.challenge(now, head, bytes).map(Opened::Challenge);
        }
        if !known {
            // No second challenge: what was sent again is not sent a third time, so that no loop comes up.
            self.cookies.good(now, who, cookie).then_some(()).ok_or(DropReason::Unchallenged)?;
            self.lives.believe(now, who, head.counter)?;
        }
        let message = read(body)?;
        Ok(Opened::Message { from: head.from, instance: head.instance, message })
    }

    /// A challenge. It uses up no counter: replays of an earlier instance would shift the own windows elsewhere.
    fn challenge(&self, now: Ms, head: &Head, bytes: usize) -> Result<Vec<u8>, DropReason> {
        if bytes < HEAD + ASKED + MAC {
            return Err(DropReason::Unchallenged);
        }
        let cookie = self.cookies.make(now, (head.from, head.instance));
        let asked: [&[u8]; 3] = [&head.instance.0.to_be_bytes(), &head.counter.to_be_bytes(), &cookie];
        Ok(self.sealed(Kind::Challenge, Some(head.from), &asked))
    }

    /// The answer to a challenge: what was sent, once more. A challenge names a counter of this instance that is
    /// still open, each good for one; so it is fresh itself and proves the instance of who sent it.
    fn challenged<T>(&mut self, now: Ms, head: &Head, body: &[u8]) -> Result<Opened<T>, DropReason> {
        let (instance, counter) = (frame::number(body, 0), frame::number(body, 8));
        let meant = |it: &&(Option<MemberId>, Vec<u8>)| it.0.is_none_or(|to| to == head.from);
        let cookie = body.get(16..16 + COOKIE).ok_or(DropReason::TooShort)?;
        if InstanceId(instance) != self.instance || self.sent.get(&counter).filter(meant).is_none() {
            return Err(DropReason::Unchallenged);
        }
        self.lives.believe(now, (head.from, head.instance), head.counter)?;
        let (_, said) = self.sent.remove(&counter).ok_or(DropReason::Unchallenged)?;
        self.counter += 1;
        Ok(Opened::Resend(self.sealed(Kind::Echo, Some(head.from), &[cookie, &said])))
    }

    fn sealed(&self, kind: Kind, to: Option<MemberId>, body: &[&[u8]]) -> Vec<u8> {
        let (from, instance, counter) = (self.me, self.instance, self.counter);
        let head = Head { version: self.version, kind, from, instance, to, counter };
        // `Keys` holds one at least.
        frame::sealed(&self.keys[0], self.tag, &head, body)
    }
}

fn derived(keys: &Keys, cluster: &str) -> Vec<[u8; 32]> {
    keys.derived(&format!("datagrams of {cluster}"))
}

/// The message in a body. What follows it is ignored, what is missing reads as zeros.
fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, DropReason> {
    let mut filled = Vec::with_capacity(body.len() + FILL);
    filled.extend_from_slice(body);
    filled.resize(body.len() + FILL, 0);
    postcard::from_bytes(&filled).map_err(|_| DropReason::Unreadable)
}
