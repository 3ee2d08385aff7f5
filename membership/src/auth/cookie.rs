//! The stateless challenge to a instance that is not known: a cookie, to be echoed (as in Eastlake, Andrews
//! 2016, RFC 7873, DNS cookies).

use super::frame::{mac_of, Sha};
use crate::{InstanceId, MemberId};
use hmac::Mac;
use ottersail::time::Ms;

/// A cookie counts in the tick it was made in and in the next.
pub const TICK: Ms = Ms(5_000.0);

/// Short, so that a challenge is short: who echoes one has to hold the keys anyway.
pub const COOKIE: usize = 8;

/// Makes cookies under a secret of this process alone, so that none outlives it.
pub struct Cookies(Sha);

impl Cookies {
    pub fn new(key: &[u8], seed: u64, instance: InstanceId) -> Cookies {
        let secret = mac_of(key).chain_update(seed.to_be_bytes()).chain_update(instance.0.to_be_bytes());
        Cookies(mac_of(&secret.finalize().into_bytes()))
    }

    pub fn make(&self, now: Ms, of: (MemberId, InstanceId)) -> [u8; COOKIE] {
        self.at(tick(now), of)
    }

    pub fn good(&self, now: Ms, of: (MemberId, InstanceId), cookie: &[u8]) -> bool {
        let now = tick(now);
        // Not in equal time: a guess has to come under a MAC of the cluster's keys.
        [now, now.wrapping_sub(1)].iter().any(|it| self.at(*it, of) == cookie)
    }

    fn at(&self, tick: i64, of: (MemberId, InstanceId)) -> [u8; COOKIE] {
        let mut mac = self.0.clone();
        for part in [of.0 .0.to_be_bytes(), of.1 .0.to_be_bytes(), tick.to_be_bytes()] {
            mac.update(&part);
        }
        let mut cookie = [0; COOKIE];
        cookie.copy_from_slice(&mac.finalize().into_bytes()[..COOKIE]);
        cookie
    }
}

fn tick(now: Ms) -> i64 {
    (now / TICK).floor() as i64
}
