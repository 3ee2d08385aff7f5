//! Which members are ready, as one councillor sees it. Readiness needs positive evidence: a member without a recent
//! status counts as out.

use crate::guards::Guards;
use crate::order::Name;
use crate::status::MemberStatus;
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::BTreeMap;

/// How many periods a status counts. Members send one every two periods, so three in a row may be lost.
pub(crate) const STATUS_PERIODS: f64 = 7.0;
/// Maximum relative rate difference of two clocks.
pub(crate) const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Whether a member in the roster is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Alive,
    Suspect,
}

/// The roster's entry of a living member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    pub life: InstanceId,
    pub name: Name,
    pub zone: Option<Name>,
    pub presence: Presence,
}

/// What is remembered of a member.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub name: Name,
    pub life: InstanceId,
    /// The life seen before that one.
    pub previous_life: Option<InstanceId>,
    /// Since when the roster no longer lists it.
    pub gone_since: Option<Ms>,
}

/// The last status of a member, and when it counts from.
#[derive(Clone, Debug)]
pub(crate) struct StatusRecord {
    pub status: MemberStatus,
    life: InstanceId,
    /// When the status was sent, by the local clock: the time of receipt less its delay beyond the fastest message.
    pub sent_at: Ms,
    ready_since: Option<Ms>,
    /// The least difference seen between the local clock and the sender's, in milliseconds, and when it was taken.
    least_clock_difference: (f64, Ms),
}

/// The roster and the last status of each member.
#[derive(Clone, Debug)]
pub(crate) struct FleetStatus {
    /// How long a status counts.
    status_lifetime: Ms,
    guards: Guards,
    pub roster: BTreeMap<MemberId, RosterEntry>,
    records: BTreeMap<MemberId, StatusRecord>,
}

impl FleetStatus {
    /// `period` is the members' period.
    pub fn new(period: Ms, guards: Guards) -> FleetStatus {
        let status_lifetime = period * STATUS_PERIODS;
        FleetStatus { status_lifetime, guards, roster: BTreeMap::new(), records: BTreeMap::new() }
    }

    /// Replaces the roster. A member that was gone or has a new life has to settle again.
    pub fn set_roster(&mut self, living: &BTreeMap<MemberId, RosterEntry>) {
        self.roster.clone_from(living);
        self.records.retain(|id, record| living.get(id).is_some_and(|entry| entry.life == record.life));
    }

    /// Records a status. Returns whether it says anything new of a life that the roster knows.
    pub fn record(&mut self, now: Ms, from: MemberId, life: InstanceId, status: &MemberStatus) -> bool {
        if self.roster.get(&from).is_none_or(|entry| entry.life != life) {
            return false;
        }
        let difference = now.0 - status.reported_at.0 as f64;
        let Some(record) = self.records.get_mut(&from) else {
            let record = StatusRecord {
                status: status.clone(),
                life,
                sent_at: now,
                ready_since: status.ready.then_some(now),
                least_clock_difference: (difference, now),
            };
            self.records.insert(from, record);
            return true;
        };
        // The status was overtaken by a later one.
        if status.reported_at < record.status.reported_at {
            return false;
        }
        // The delay of the message is estimated, since otherwise a status that was delayed for seconds would count as
        // fresh although its sender died meanwhile.
        let (least, taken_at) = record.least_clock_difference;
        let least = (least + (now - taken_at).0 * 2.0 * MAX_CLOCK_DRIFT).min(difference);
        record.least_clock_difference = (least, now);
        let sent_at = Ms(status.reported_at.0 as f64 + least).min(now);
        let gap = sent_at - record.sent_at > self.status_lifetime;
        record.ready_since = match record.ready_since {
            _ if !status.ready => None,
            Some(since) if !gap => Some(since),
            _ => Some(sent_at),
        };
        record.sent_at = record.sent_at.max(sent_at);
        record.status = status.clone();
        true
    }

    /// The last status of that life, however old.
    pub fn last_status(&self, member: MemberId, life: InstanceId) -> Option<&MemberStatus> {
        self.records.get(&member).filter(|record| record.life == life).map(|record| &record.status)
    }

    /// The member's record if it is seen ready and has been for at least `settle`.
    pub fn ready(&self, now: Ms, member: MemberId, settle: Ms) -> Option<&StatusRecord> {
        let entry = self.roster.get(&member).filter(|entry| entry.presence == Presence::Alive)?;
        let record = self.records.get(&member).filter(|record| record.life == entry.life)?;
        let fresh = now - record.sent_at <= self.status_lifetime || !self.guards.status_expiry();
        let settled = record.sent_at - record.ready_since? >= settle;
        (fresh && settled).then_some(record)
    }

    /// All members that are seen ready, with their roster entries.
    pub fn all_ready(
        &self,
        now: Ms,
        settle: Ms,
    ) -> impl Iterator<Item = (MemberId, &RosterEntry, &StatusRecord)> {
        let entries = self.roster.iter();
        entries.filter_map(move |(id, entry)| Some((*id, entry, self.ready(now, *id, settle)?)))
    }
}
