//! At each councillor: what it sees of the fleet, and, at the one that coordinates, which permits it proposes.

use crate::effects::{Effects, Outcome};
use crate::events::Event;
use crate::evidence_check::EvidenceCheck;
use crate::fleet_status::{FleetStatus, Identity, RosterEntry};
use crate::guards::Guards;
use crate::order::Order;
use crate::permits::{Permit, PermitTable};
use crate::refusal::Refusal;
use crate::status::MemberStatus;
use ottersail::time::Ms;
use ottersail_membership::{InstanceId, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// Periods that a proposal may stay unanswered.
const ANSWER_TIMEOUT: f64 = 5.0;
/// Periods between two reviews.
const REVIEW_EVERY: f64 = 1.0;
/// Periods from an input to the review that it causes; several inputs within that time cause one review.
const REVIEW_DELAY: f64 = 0.1;
/// Maximum number of remembered members that may be gone.
const MAX_IDENTITIES: usize = 10_000;

/// One councillor's part in a release.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) own_id: MemberId,
    pub(crate) councillors: BTreeSet<MemberId>,
    pub(crate) period: Ms,
    pub(crate) guards: Guards,
    pub(crate) fleet: FleetStatus,
    /// Members that live or have lived.
    pub(crate) identities: BTreeMap<MemberId, Identity>,
    /// The chosen order with its revision.
    pub(crate) order: Option<(u64, Order)>,
    /// The chosen permits with their revision.
    pub(crate) permits: (u64, PermitTable),
    /// Since when each permit of the table is known here.
    pub(crate) known_since: BTreeMap<Permit, Ms>,
    /// The order revision under which permits were added, for those that were seen to be added.
    granted_under: BTreeMap<Permit, u64>,
    /// Whether this councillor coordinates.
    pub(crate) active: bool,
    /// The current step, and since when enough members are done with it.
    pub(crate) step: (usize, Option<Ms>),
    /// Members that returned with another version than their permit's; they are not sent out again under this order.
    pub(crate) wrong_version: BTreeSet<MemberId>,
    pub(crate) evidence_check: EvidenceCheck,
    /// The value that the local acceptor holds, chosen or not.
    pub(crate) accepted: (u64, PermitTable),
    /// The last proposal had no effect, so the next one builds on the value that the local acceptor holds.
    pub(crate) build_on_accepted: bool,
    pub(crate) started_at: Ms,
    /// The unanswered proposal, and when it was made.
    pub(crate) proposal: Option<(Ms, PermitTable)>,
    next_review: Ms,
    blocked_until: Ms,
    /// Permits that were reported as overdue.
    pub(crate) reported_overdue: BTreeSet<Permit>,
    /// The refusal reported last.
    pub(crate) reported_refusal: Option<Refusal>,
}

impl Coordinator {
    /// `own_id` is one of the councillors; `period` is the members' period.
    pub fn new(now: Ms, own_id: MemberId, councillors: &[MemberId], period: Ms) -> Coordinator {
        Coordinator::with_guards(now, own_id, councillors, period, Guards::all())
    }

    /// The same with the given guards.
    pub fn with_guards(
        now: Ms,
        own_id: MemberId,
        councillors: &[MemberId],
        period: Ms,
        guards: Guards,
    ) -> Coordinator {
        Coordinator {
            own_id,
            councillors: councillors.iter().copied().collect(),
            period,
            guards,
            fleet: FleetStatus::new(period, guards),
            identities: BTreeMap::new(),
            order: None,
            permits: (0, PermitTable::default()),
            known_since: BTreeMap::new(),
            granted_under: BTreeMap::new(),
            active: false,
            step: (0, None),
            wrong_version: BTreeSet::new(),
            evidence_check: EvidenceCheck::default(),
            accepted: (0, PermitTable::default()),
            build_on_accepted: false,
            started_at: now,
            proposal: None,
            next_review: now,
            blocked_until: now,
            reported_overdue: BTreeSet::new(),
            reported_refusal: None,
        }
    }

    fn review_soon(&mut self, now: Ms) {
        self.next_review = self.next_review.min(now + self.period * REVIEW_DELAY);
    }

    /// Updates the roster: all living members, including this one.
    pub fn set_roster(&mut self, now: Ms, living: &BTreeMap<MemberId, RosterEntry>) {
        self.fleet.set_roster(living);
        if self.identities.len() + living.len() > MAX_IDENTITIES {
            self.identities.clear();
        }
        for (_, identity) in self.identities.iter_mut().filter(|(id, _)| !living.contains_key(id)) {
            identity.gone_since = identity.gone_since.or(Some(now));
        }
        for (id, entry) in living {
            let previous_life = match self.identities.get(id) {
                Some(identity) if identity.life == entry.life => identity.previous_life,
                other => other.map(|identity| identity.life),
            };
            let (name, life) = (entry.name.clone(), entry.life);
            self.identities.insert(*id, Identity { name, life, previous_life, gone_since: None });
        }
        self.review_soon(now);
    }

    /// Handles a member's status.
    pub fn on_status(&mut self, now: Ms, from: MemberId, life: InstanceId, status: &MemberStatus) {
        if self.fleet.record(now, from, life, status) {
            self.review_soon(now);
        }
    }

    /// An order is chosen.
    pub fn on_order(&mut self, now: Ms, revision: u64, order: &Order) {
        if self.order.as_ref().is_some_and(|(held, _)| *held >= revision) {
            return;
        }
        if self.order.as_ref().is_none_or(|(_, held)| held.serial != order.serial) {
            self.evidence_check = EvidenceCheck::default();
        }
        self.order = Some((revision, order.clone()));
        (self.step, self.reported_refusal) = ((0, None), None);
        self.wrong_version.clear();
        self.review_soon(now);
    }

    /// A permit table is chosen.
    pub fn on_permits(&mut self, now: Ms, revision: u64, table: &PermitTable) {
        if self.permits.0 >= revision {
            return;
        }
        for permit in self.permits.1.permits.iter().filter(|permit| !table.permits.contains(permit)) {
            let returned = self.fleet.roster.get(&permit.member).filter(|entry| entry.life != permit.life);
            let status = returned.and_then(|entry| self.fleet.last_status(permit.member, entry.life));
            // A permit that was granted under an earlier order says nothing about this one.
            let of_this_order =
                self.granted_under.get(permit) == self.order.as_ref().map(|(revision, _)| revision);
            if of_this_order && status.is_some_and(|status| status.version != permit.version) {
                self.wrong_version.insert(permit.member);
            }
        }
        let held = &self.accepted.1.permits;
        self.known_since.retain(|permit, _| table.permits.contains(permit) || held.contains(permit));
        self.reported_overdue.retain(|permit| table.permits.contains(permit));
        self.granted_under.retain(|permit, _| table.permits.contains(permit));
        let follows_last = self.permits.0 > 0
            && (revision == self.permits.0 + 1 || table.order_revision == self.permits.1.order_revision);
        for permit in &table.permits {
            self.known_since.entry(permit.clone()).or_insert(now);
            if follows_last && !self.permits.1.permits.contains(permit) {
                self.granted_under.insert(permit.clone(), table.order_revision);
            }
        }
        self.permits = (revision, table.clone());
        self.review_soon(now);
    }

    /// The local acceptor holds that value from now on, or at the start. It need not be chosen.
    pub fn on_accepted(&mut self, now: Ms, revision: u64, table: &PermitTable) {
        for permit in &table.permits {
            self.known_since.entry(permit.clone()).or_insert(now);
        }
        self.accepted = (revision, table.clone());
    }

    /// Whether this councillor is the lowest-numbered living one and so coordinates. It does no harm if two
    /// councillors do.
    pub fn set_active(&mut self, now: Ms, active: bool) {
        if self.active != active {
            (self.active, self.step) = (active, (0, None));
            self.review_soon(now);
        }
    }

    /// The last own proposal has ended.
    pub fn on_answer(&mut self, now: Ms, outcome: Outcome) {
        let Some((_, proposed)) = self.proposal.take() else { return };
        if outcome != Outcome::Unknown {
            self.build_on_accepted = false;
        }
        match outcome {
            Outcome::Chosen { revision } => self.on_permits(now, revision, &proposed),
            Outcome::Superseded { revision, permits } => self.on_permits(now, revision, &permits),
            Outcome::Unknown => self.proposal_failed(now),
        }
    }

    /// Evidence shows that the version is bad: no further permits are granted here, and a halt is proposed until it is
    /// in force.
    pub fn on_verdict(&mut self, now: Ms, reason: &str) {
        self.evidence_check.verdict.get_or_insert_with(|| reason.to_string());
        self.review_soon(now);
    }

    /// When [`Coordinator::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        let timeout = self.proposal.as_ref().map(|(made_at, _)| *made_at + self.period * ANSWER_TIMEOUT);
        let review = if self.active { self.next_review.max(self.blocked_until) } else { Ms(f64::INFINITY) };
        timeout.unwrap_or(review)
    }

    /// Gives up on an unanswered proposal, and reviews the release if that is due.
    pub fn on_timer(&mut self, now: Ms, effects: &mut dyn Effects) {
        let timeout = self.period * ANSWER_TIMEOUT;
        if self.proposal.as_ref().is_some_and(|(made_at, _)| now >= *made_at + timeout) {
            self.proposal = None;
            self.proposal_failed(now);
            effects.report(Event::ProposalUnanswered);
        }
        if self.active && self.proposal.is_none() && now >= self.next_review.max(self.blocked_until) {
            self.next_review = now + self.period * REVIEW_EVERY;
            if let Some((revision, order)) = self.order.clone() {
                self.review(now, revision, &order, effects);
            }
        }
    }

    fn proposal_failed(&mut self, now: Ms) {
        self.blocked_until = now + self.period * REVIEW_EVERY;
        self.build_on_accepted = !self.build_on_accepted;
    }
}
