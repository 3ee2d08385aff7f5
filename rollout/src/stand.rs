//! What a manager tells the councillors of itself while an order stands.

use crate::book::MemberTime;
use crate::order::Name;
use serde::{Deserialize, Serialize};

/// How viewings ended since this life began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewingCounts {
    pub asked: u64,
    pub blocked: u64,
    pub aborted: u64,
    pub broken_off: u64,
    pub set_ups: u64,
    /// All their times added up, in milliseconds.
    pub set_up_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// By the teller's own clock.
    pub at: MemberTime,
    pub version: Name,
    /// It takes viewings, has list and titles, and its first doubts have ended.
    pub whole: bool,
    /// It goes out on the permit that was asked for at that moment.
    pub going: Option<MemberTime>,
    /// Permits asked for up to that moment it will never use any more.
    pub never: MemberTime,
    /// The revision of the order that it follows.
    pub order: u64,
    pub counts: ViewingCounts,
}
