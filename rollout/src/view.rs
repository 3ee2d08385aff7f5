//! What an operator is shown of a release.

use crate::coordinator::Coordinator;
use crate::order::{Name, Serial, State};
use crate::schedule::settling_time;
use ottersail::time::Ms;
use ottersail_membership::MemberId;

/// A permit that has not been returned.
#[derive(Clone, Debug, PartialEq)]
pub struct OutstandingPermit {
    pub member: MemberId,
    /// Empty if the member died before this councillor started.
    pub name: Name,
    pub version: Name,
    /// Since when this councillor knows of it.
    pub since: Ms,
    pub reason: WaitReason,
}

/// Why a permit has not been returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The member has not reported yet that it is leaving.
    NotLeft,
    /// The member has left, and no later life of it is alive.
    Away,
    /// A later life is alive and has not been seen ready for the settling time.
    Settling,
}

/// A release as one councillor sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseView {
    pub serial: Serial,
    pub name: Name,
    pub state: State,
    /// The current step, from 1.
    pub step: usize,
    /// The number of steps.
    pub steps: usize,
    /// Members that are done.
    pub done: usize,
    /// Members that the release is about.
    pub targeted: usize,
    /// Members seen ready now.
    pub ready: usize,
    /// The size of the fleet as the operator stated it.
    pub fleet: usize,
    pub outstanding: Vec<OutstandingPermit>,
    /// Living members that are not seen ready and have no permit.
    pub not_ready: Vec<Name>,
    /// Members that returned with another version than their permit said.
    pub other_version: Vec<MemberId>,
    pub ended: bool,
    /// The evidence that halts it.
    pub halted_by: Option<String>,
}

impl Coordinator {
    /// The release in progress; `None` without an order.
    pub fn view(&self, now: Ms) -> Option<ReleaseView> {
        let (revision, order) = self.order.as_ref()?;
        let table = &self.permits.1;
        let outstanding = table.permits.iter().map(|permit| {
            let living = self.fleet.roster.get(&permit.member);
            let last_status = self.fleet.last_status(permit.member, permit.life);
            let leaving = last_status.is_some_and(|status| status.leaving.is_some());
            let reason = match living {
                Some(entry) if entry.life != permit.life => WaitReason::Settling,
                Some(_) if !leaving => WaitReason::NotLeft,
                _ => WaitReason::Away,
            };
            let identity = self.identities.get(&permit.member);
            let name = identity.map(|identity| identity.name.clone()).unwrap_or_default();
            let since = self.known_since.get(permit).copied().unwrap_or(now);
            OutstandingPermit { member: permit.member, name, version: permit.version.clone(), since, reason }
        });
        let settle = settling_time(order);
        let ready = self.fleet.all_ready(now, settle).count();
        let not_ready = self.fleet.roster.iter().filter(|(id, _)| {
            table.permit_of(**id).is_none() && self.fleet.ready(now, **id, settle).is_none()
        });
        let ended = table.ended && table.order_revision == *revision;
        // Once it has ended, members no longer send their status.
        let done = if ended { self.target_count(order) } else { self.done_count(now, order, table) };
        Some(ReleaseView {
            serial: order.serial,
            name: order.name.clone(),
            state: order.state,
            step: self.step.0 + 1,
            steps: order.steps.len(),
            done,
            targeted: self.targeted_count(order),
            ready,
            fleet: usize::from(order.bounds.fleet),
            outstanding: outstanding.collect(),
            not_ready: not_ready.map(|(_, entry)| entry.name.clone()).collect(),
            other_version: self.wrong_version.iter().copied().collect(),
            ended,
            halted_by: self.evidence_check.verdict.clone(),
        })
    }
}
