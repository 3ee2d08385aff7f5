//! What a fleet agrees on before it starts. Integers, so that every state can be compared and hashed.

use crate::bucket::SLOTS_PER_BUCKET;
use crate::guards::Guards;
use crate::ids::{BucketId, MemberId};
use ottersail::time::Ms;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseConfig {
    /// Slots that the whole is cut into (D); the register's `Head` fixes it at the founding.
    pub slots: u16,
    /// L, the length of a lease in milliseconds.
    pub lease_ms: u32,
    /// The most that a clock runs fast or slow, in millionths.
    pub drift_ppm: u32,
    /// The councillors, in order; 7 at most are counted.
    pub councillors: Vec<MemberId>,
    pub guards: Guards,
}

impl LeaseConfig {
    pub fn lease(&self) -> Ms {
        Ms(f64::from(self.lease_ms))
    }

    fn drift(&self) -> f64 {
        if self.guards.margins() {
            f64::from(self.drift_ppm) / 1e6
        } else {
            0.0
        }
    }

    /// How long a holder counts on a renewal, from when it sent the request.
    pub fn holder_lease(&self) -> Ms {
        self.lease() * (1.0 - 2.0 * self.drift())
    }

    /// How long a councillor lets nobody else have a slot, from when it granted the renewal.
    pub fn councillor_lease(&self) -> Ms {
        self.lease() * (1.0 + 2.0 * self.drift())
    }

    pub fn renew_every(&self) -> Ms {
        self.lease() * 0.25
    }

    pub fn majority(&self) -> u32 {
        if self.guards.majority() {
            self.councillors.len() as u32 / 2 + 1
        } else {
            1
        }
    }

    pub fn buckets(&self) -> impl Iterator<Item = BucketId> {
        (0..usize::from(self.slots).div_ceil(SLOTS_PER_BUCKET).min(256)).map(|it| BucketId(it as u8))
    }

    /// Seats of that bucket; the last one may be short.
    pub fn slots_in(&self, bucket: BucketId) -> usize {
        usize::from(self.slots).saturating_sub(usize::from(bucket.0) * SLOTS_PER_BUCKET).min(SLOTS_PER_BUCKET)
    }
}
