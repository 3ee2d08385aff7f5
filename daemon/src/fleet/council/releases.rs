//! Releases over the council: connects the state machines of `ottersail-rollout` with their registers and messages.
//! Nothing is decided here.

use super::messages::CouncilMessage;
use super::outputs::PendingWork;
use super::requests::{set, Request};
use super::{log, Council};
use ottersail::time::Ms;
use ottersail_consensus::{Key, MemberId, Message, Outcome, Value};
use ottersail_membership::{InstanceId, MemberView, State};
use ottersail_rollout::{
    evaluate_answer, evaluate_file, Coordinator, FileDecision, MemberStatus, Name, Order,
    Outcome as Proposed, PermitHolder, PermitTable, Presence, ProposalResult, RosterEntry, UsablePermit,
    ViewingCounts,
};
use std::collections::BTreeMap;

/// The registers of the order about managers and of its permits.
pub(super) const ORDER: Key = Key::Order(0);
pub(super) const PERMITS: Key = Key::Order(2);

pub(super) struct Releases {
    pub holder: PermitHolder,
    /// A councillor's.
    pub coordinator: Option<Coordinator>,
    /// The order of this manager's own file until it is in force or rejected, and the revision that it replaces.
    pub file: Option<(u64, Order)>,
    /// The order in force, as far as it is known here.
    order: Option<(u64, Order)>,
}

impl Releases {
    pub fn born(
        now: Ms,
        me: (MemberId, InstanceId),
        version: Name,
        (councillors, period): (&[MemberId], Ms),
    ) -> Releases {
        let coordinator =
            councillors.contains(&me.0).then(|| Coordinator::new(now, me.0, councillors, period));
        Releases { holder: PermitHolder::new(now, me, version, period), coordinator, file: None, order: None }
    }

    pub fn next_timer(&self) -> Ms {
        let coordinator = self.coordinator.as_ref().map_or(Ms(f64::INFINITY), Coordinator::next_timer);
        self.holder.next_timer().min(coordinator)
    }

    pub fn on_timer(&mut self, now: Ms, work: &mut PendingWork) {
        self.holder.on_timer(now, work);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.on_timer(now, work);
        }
    }

    /// Updates the roster: all members believed alive, including this one.
    fn roster<'a>(
        &mut self,
        now: Ms,
        me: (MemberId, RosterEntry),
        all: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
        active: bool,
    ) {
        let Some(coordinator) = &mut self.coordinator else { return };
        let seen = |known: &MemberView| {
            let state = match known.state {
                State::Alive => Presence::Alive,
                State::Suspect => Presence::Suspect,
                State::Dead | State::Left => return None,
            };
            Some(RosterEntry {
                life: known.instance,
                name: Name::new(&known.name)?,
                zone: Name::new(&known.site),
                presence: state,
            })
        };
        let mut living: BTreeMap<_, _> = all.filter_map(|(id, known)| Some((*id, seen(known)?))).collect();
        living.insert(me.0, me.1);
        coordinator.set_roster(now, &living);
        coordinator.set_active(now, active);
    }
}

impl Council {
    /// Handles a newer value of a register of releases.
    pub(super) fn ordered(&mut self, now: Ms, key: Key, value: &Value, work: &mut PendingWork) {
        let Some(releases) = &mut self.releases else { return };
        match key {
            ORDER => {
                let Some(order) = Order::decode(&value.body) else { return log::unread(key) };
                if releases.order.as_ref().is_some_and(|(revision, _)| *revision >= value.revision) {
                    return;
                }
                log::ordered(value.revision, &order);
                releases.holder.on_order(now, value.revision, &order);
                if let Some(coordinator) = &mut releases.coordinator {
                    coordinator.on_order(now, value.revision, &order);
                }
                releases.order = Some((value.revision, order));
            }
            PERMITS => {
                let Some(table) = PermitTable::decode(&value.body) else { return log::unread(key) };
                releases.holder.on_permits(now, value.revision, &table);
                let Some(coordinator) = &mut releases.coordinator else { return };
                coordinator.on_permits(now, value.revision, &table);
                // Permits expire, so each holder is told directly and does not wait for gossip.
                for permit in table.permits.iter().filter(|permit| permit.member != self.me.0) {
                    let learned = Message::Learned { key, value: value.clone() };
                    work.messages.push((permit.member, CouncilMessage::Council(learned)));
                }
            }
            _ => {}
        }
    }

    pub(super) fn on_status(&mut self, now: Ms, from: MemberId, instance: InstanceId, status: &MemberStatus) {
        if let Some(coordinator) = self.releases.as_mut().and_then(|releases| releases.coordinator.as_mut()) {
            coordinator.on_status(now, from, instance, status);
        }
    }

    /// Handles the outcome of a change of a register of releases.
    pub(super) fn put(&mut self, now: Ms, key: Key, outcome: &Outcome, work: &mut PendingWork) {
        let current = match outcome {
            Outcome::Chosen(value) | Outcome::Current(Some(value)) => Some(value),
            _ => None,
        };
        if let (PERMITS, Some(coordinator)) =
            (key, self.releases.as_mut().and_then(|releases| releases.coordinator.as_mut()))
        {
            let read = current.and_then(|value| Some((value.revision, PermitTable::decode(&value.body)?)));
            coordinator.on_answer(
                now,
                match (outcome, read) {
                    (Outcome::Chosen(value), _) => Proposed::Chosen { revision: value.revision },
                    (Outcome::Current(_), Some((revision, permits))) => {
                        Proposed::Superseded { revision, permits }
                    }
                    _ => Proposed::Unknown,
                },
            );
        }
        if let Some(value) = current {
            self.ordered(now, key, value, work);
        }
        if key == ORDER {
            self.file_answered(outcome);
        }
    }

    /// Logs once what became of the order of this manager's own file.
    fn file_answered(&mut self, outcome: &Outcome) {
        let Some(releases) = &mut self.releases else { return };
        let Some((if_revision, file)) = &releases.file else { return };
        if !matches!(outcome, Outcome::Chosen(_) | Outcome::Current(_)) {
            // Without a majority, or refused by guards: it is put again at the next review.
            return;
        }
        match evaluate_answer(
            *if_revision,
            releases.order.as_ref().map(|(revision, order)| (*revision, order)),
            file,
        ) {
            ProposalResult::InForce => log::file_stands(file),
            ProposalResult::Retry { if_revision } => {
                return releases.file = Some((if_revision, file.clone()))
            }
            ProposalResult::Reject(why) => log::file_held(&why),
        }
        releases.file = None;
    }

    /// Reviews releases: the roster, and the order of the own file if it waits.
    pub(super) fn release<'a>(
        &mut self,
        now: Ms,
        all: impl Iterator<Item = (&'a MemberId, &'a MemberView)>,
        work: &mut PendingWork,
    ) {
        let active = self.seat.follower().preferred() == Some(self.me.0)
            && self.seat.participating_councillor().is_some();
        if let (Some(seat), Some(coordinator)) = (
            self.seat.participating_councillor(),
            self.releases.as_mut().and_then(|releases| releases.coordinator.as_mut()),
        ) {
            let held = seat.acceptor().stored().accepted(PERMITS);
            if let Some((revision, permits)) =
                held.and_then(|value| Some((value.revision, PermitTable::decode(&value.body)?)))
            {
                coordinator.on_accepted(now, revision, &permits);
            }
        }
        let asked = self.pending_requests.values().any(|(request, _)| *request == Request::Order(ORDER));
        let (name, zone) = &self.home;
        let (Some(releases), Some(name)) = (&mut self.releases, Name::new(name)) else { return };
        let me = RosterEntry { life: self.me.1, name, zone: Name::new(zone), presence: Presence::Alive };
        releases.roster(now, (self.me.0, me), all, active);
        let Some((_, file)) = releases.file.clone().filter(|_| !asked) else { return };
        match evaluate_file(releases.order.as_ref().map(|(revision, order)| (*revision, order)), &file) {
            FileDecision::Put { if_revision, lifts_halt } => {
                if lifts_halt {
                    log::file_lifts(&file);
                }
                let change = set(if_revision, file.encode());
                releases.file = Some((if_revision, file));
                return self.submit_request(now, Request::Order(ORDER), change, work);
            }
            FileDecision::Unchanged { halted } => log::file_same(&file, halted),
            FileDecision::Reject(why) => log::file_held(&why),
        }
        releases.file = None;
    }

    /// Updates whether this manager is ready, and how its viewings ended.
    pub fn set_status(&mut self, now: Ms, ready: bool, counts: ViewingCounts) {
        if let Some(releases) = &mut self.releases {
            releases.holder.set_ready(now, ready);
            releases.holder.set_counts(now, counts);
        }
    }

    /// The permit that can be used now.
    pub fn usable_permit(&self, now: Ms) -> Option<UsablePermit> {
        self.releases.as_ref()?.holder.usable_permit(now)
    }

    /// Confirms the permit once no viewings are taken any more.
    pub fn confirm_permit(&mut self, now: Ms, going: &UsablePermit) -> bool {
        self.releases.as_mut().is_some_and(|releases| releases.holder.confirm_leaving(now, going))
    }

    /// Submits the order of this manager's own file.
    pub fn submit_order(&mut self, file: Order) {
        if let Some(releases) = &mut self.releases {
            releases.file = Some((0, file));
            self.next_review = Ms(0.0);
        }
    }
}
