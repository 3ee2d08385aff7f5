//! The stateless challenge to an instance that is not known: a cookie that it has to echo (as DNS cookies do,
//! Eastlake, Andrews 2016, RFC 7873).

use super::frame::{mac_of, HmacSha256};
use crate::{InstanceId, MemberId};
use hmac::Mac;
use ottersail::time::Ms;

/// A cookie is valid in the interval in which it was made and in the next; the length of an interval.
pub const VALIDITY_INTERVAL: Ms = Ms(5_000.0);

/// Length of a cookie. It is short, so that a challenge is short: a sender has to hold the keys anyway.
pub const COOKIE_BYTES: usize = 8;

/// Makes and checks cookies with a secret of this process, so that none is valid after a restart.
pub struct Cookies(HmacSha256);

impl Cookies {
    /// `key` is the key that seals datagrams; `seed` and `instance` are new at each start.
    pub fn new(key: &[u8], seed: u64, instance: InstanceId) -> Cookies {
        let secret = mac_of(key).chain_update(seed.to_be_bytes()).chain_update(instance.0.to_be_bytes());
        Cookies(mac_of(&secret.finalize().into_bytes()))
    }

    /// The cookie for an instance at this time.
    pub fn make(&self, now: Ms, instance: (MemberId, InstanceId)) -> [u8; COOKIE_BYTES] {
        self.cookie_in(interval(now), instance)
    }

    /// Whether the cookie was made for this instance recently enough.
    pub fn is_valid(&self, now: Ms, instance: (MemberId, InstanceId), cookie: &[u8]) -> bool {
        let current = interval(now);
        // The comparison need not take constant time: a guess has to carry a MAC made with the cluster's
        // keys.
        [current, current.wrapping_sub(1)].iter().any(|number| self.cookie_in(*number, instance) == cookie)
    }

    fn cookie_in(&self, interval: i64, instance: (MemberId, InstanceId)) -> [u8; COOKIE_BYTES] {
        let mut mac = self.0.clone();
        for part in [instance.0 .0.to_be_bytes(), instance.1 .0.to_be_bytes(), interval.to_be_bytes()] {
            mac.update(&part);
        }
        let mut cookie = [0; COOKIE_BYTES];
        cookie.copy_from_slice(&mac.finalize().into_bytes()[..COOKIE_BYTES]);
        cookie
    }
}

fn interval(now: Ms) -> i64 {
    (now / VALIDITY_INTERVAL).floor() as i64
}
