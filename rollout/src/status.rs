//! The status that a manager sends to the councillors while an order is in force.

use crate::order::Name;
use crate::permits::MemberTime;
use serde::{Deserialize, Serialize};

/// How viewings ended since this life began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewingCounts {
    /// Viewings requested.
    pub asked: u64,
    /// Viewings that were blocked.
    pub blocked: u64,
    /// Viewings that were aborted.
    pub aborted: u64,
    /// Viewings that broke off.
    pub broken_off: u64,
    /// Completed set-ups.
    pub set_ups: u64,
    /// The sum of the set-up times, in milliseconds.
    pub set_up_ms: u64,
}

/// A manager's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// When it was sent, by the sender's own clock.
    pub reported_at: MemberTime,
    /// The version that it runs.
    pub version: Name,
    /// It takes viewings, has the list and the titles, and its initial uncertainty about servers has ended.
    pub ready: bool,
    /// It is leaving on the permit that was requested at that time.
    pub leaving: Option<MemberTime>,
    /// Permits requested up to that time will never be used.
    pub discarded_until: MemberTime,
    /// The revision of the order that it follows.
    pub order_revision: u64,
    pub counts: ViewingCounts,
}
