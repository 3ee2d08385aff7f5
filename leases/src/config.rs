//! Settings that all members agree on before they start. They are integers, so that states can be compared
//! and hashed.

use crate::bucket::SLOTS_PER_BUCKET;
use crate::guards::Guards;
use crate::ids::{BucketId, MemberId};
use ottersail::time::Ms;

/// Settings of leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseConfig {
    /// Slots in all (D). The register's `Head` fixes the number when the council is founded.
    pub slots: u16,
    /// The length of a lease (L) in milliseconds.
    pub lease_ms: u32,
    /// How much a clock may run fast or slow, in parts per million.
    pub drift_ppm: u32,
    /// The councillors, in an order that all members share; 7 at most count.
    pub councillors: Vec<MemberId>,
    /// The safety rules, each of which a test can switch off.
    pub guards: Guards,
}

impl LeaseConfig {
    /// The length of a lease.
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

    /// How long a holder counts on a renewal, from when it sent the request. Shorter than the lease by the
    /// margin for clock drift.
    pub fn holder_lease(&self) -> Ms {
        self.lease() * (1.0 - 2.0 * self.drift())
    }

    /// How long a councillor keeps a slot from others, from when it granted the renewal. Longer than the
    /// lease by the margin for clock drift.
    pub fn councillor_lease(&self) -> Ms {
        self.lease() * (1.0 + 2.0 * self.drift())
    }

    /// The interval between renewals.
    pub fn renew_every(&self) -> Ms {
        self.lease() * 0.25
    }

    /// The number of councillors that form a majority.
    pub fn majority(&self) -> u32 {
        if self.guards.majority() {
            self.councillors.len() as u32 / 2 + 1
        } else {
            1
        }
    }

    /// All buckets.
    pub fn buckets(&self) -> impl Iterator<Item = BucketId> {
        (0..usize::from(self.slots).div_ceil(SLOTS_PER_BUCKET).min(256)).map(|number| BucketId(number as u8))
    }

    /// The number of slots of this bucket; the last one may have fewer.
    pub fn slots_in(&self, bucket: BucketId) -> usize {
        usize::from(self.slots).saturating_sub(usize::from(bucket.0) * SLOTS_PER_BUCKET).min(SLOTS_PER_BUCKET)
    }
}
