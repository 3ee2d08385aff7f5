//! What a member is told when it is new.

use crate::ids::{Address, InstanceId, MemberId};
use ottersail::time::Ms;
use thiserror::Error;

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// 1..=32 bytes of a-z, 0-9 and -.
    pub name: String,
    /// [`MemberId::of`] the cluster and the name.
    pub id: MemberId,
    pub instance: InstanceId,
    pub address: Address,
    /// Up to 32 bytes of a-z, 0-9 and -.
    pub site: String,
}

/// Settings of the machine; spans in milliseconds of the member's own monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub local: LocalMember,
    /// Members to ask when coming in; the member's own address among them is passed over.
    pub seeds: Vec<Address>,
    /// One probe a period.
    pub probe_period: Ms,
    /// Members asked to probe on one's behalf.
    pub helpers: usize,
    /// A suspicion confirmed by `confirmations` others runs for this many periods times log10 of the count.
    pub suspicion_factor: f64,
    /// One that nobody confirms runs this many times longer.
    pub unconfirmed_factor: f64,
    pub confirmations: usize,
    /// Update go out this many times log2 of the count and one.
    pub retransmit_factor: f64,
    /// Between two full exchanges.
    pub exchange_interval: Ms,
    /// The dead are kept, and called now and then, for this long.
    pub forget_after: Ms,
    /// Members held at once, the dead included.
    pub max_members: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipConfigError {
    #[error(
        "members.name `{0}` is not 1 to 32 bytes of a-z, 0-9 and -; give this member a shorter plain name"
    )]
    Name(String),
    #[error("members.site `{0}` is not 0 to 32 bytes of a-z, 0-9 and -; give the site a shorter plain name")]
    Site(String),
    #[error("members.period of {0} ms is not from 50 to 60000 ms; 1000 ms is usual")]
    Period(String),
}

impl MembershipConfig {
    pub fn new(local: LocalMember, seeds: Vec<Address>) -> MembershipConfig {
        MembershipConfig {
            local,
            seeds,
            probe_period: Ms(1000.0),
            helpers: 3,
            suspicion_factor: 0.8,
            unconfirmed_factor: 3.0,
            confirmations: 3,
            retransmit_factor: 3.0,
            exchange_interval: Ms(30_000.0),
            forget_after: Ms(86_400_000.0),
            max_members: 10_000,
        }
    }

    /// To be asked before a member is new with them.
    pub fn check(&self) -> Result<(), MembershipConfigError> {
        let plain = |text: &str| {
            text.len() <= 32
                && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
        };
        if self.local.name.is_empty() || !plain(&self.local.name) {
            return Err(MembershipConfigError::Name(self.local.name.clone()));
        }
        if !plain(&self.local.site) {
            return Err(MembershipConfigError::Site(self.local.site.clone()));
        }
        if !(50.0..=60_000.0).contains(&self.probe_period.0) {
            return Err(MembershipConfigError::Period(self.probe_period.0.to_string()));
        }
        Ok(())
    }
}
