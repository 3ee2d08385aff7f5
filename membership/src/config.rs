//! Configuration of a member.

use crate::ids::{Address, InstanceId, MemberId};
use ottersail::time::Ms;
use thiserror::Error;

/// The identity of the local member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// 1..=32 bytes of a-z, 0-9 and -.
    pub name: String,
    /// [`MemberId::of`] the cluster and the name.
    pub id: MemberId,
    /// New at each start of the process.
    pub instance: InstanceId,
    pub address: Address,
    /// Up to 32 bytes of a-z, 0-9 and -.
    pub site: String,
}

/// Settings of the protocol. Times are in milliseconds of the member's own monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub local: LocalMember,
    /// Addresses to ask when joining; the member's own address among them is skipped.
    pub seeds: Vec<Address>,
    /// One member is probed in each period.
    pub probe_period: Ms,
    /// Members that are asked to probe a target that does not answer.
    pub helpers: usize,
    /// A suspicion confirmed by `confirmations` others runs for this many periods times log10 of the cluster
    /// size.
    pub suspicion_factor: f64,
    /// A suspicion that nobody confirms runs this many times longer.
    pub unconfirmed_factor: f64,
    /// Confirmations that shorten a suspicion to its minimum.
    pub confirmations: usize,
    /// An update is sent this many times log2 of the cluster size plus one.
    pub retransmit_factor: f64,
    /// Time between two full exchanges.
    pub exchange_interval: Ms,
    /// Dead members are kept, and contacted from time to time, for this long.
    pub forget_after: Ms,
    /// Members that are stored at most, dead ones included.
    pub max_members: usize,
}

/// A setting that is out of range.
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
    /// The default settings.
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

    /// Checks the settings before a member is created with them.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), MembershipConfigError> {
        let plain = |text: &str| {
            text.len() <= 32
                && text.bytes().all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
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
