//! A councillor: an acceptor, a proposer, a follower and, until it participates, a recovery.

use std::collections::{BTreeSet, VecDeque};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::acceptor::Acceptor;
use crate::config::CouncilConfig;
use crate::effects::{Effects, Guard, Token};
use crate::follower::Follower;
#[cfg(any(test, feature = "sabotage"))]
use crate::guards::Guards;
use crate::message::Message;
use crate::proposer::{Proposal, Proposer};
use crate::recovery::Recovery;
use crate::types::{Change, Key, Outcome, Record, RequestId, StoredState, Value};

/// Maximum number of registers read at one timer, to learn which accepted values are chosen.
const MAX_READS_PER_TIMER: usize = 4;

/// One replica of the council.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Councillor {
    acceptor: Acceptor,
    proposer: Proposer,
    follower: Follower,
    recovery: Recovery,
    next_read: Ms,
}

/// Queues messages to this councillor itself and passes on all other effects.
struct Loopback<'a> {
    own_id: MemberId,
    effects: &'a mut dyn Effects,
    messages: VecDeque<Message>,
}

impl Effects for Loopback<'_> {
    fn send(&mut self, to: MemberId, message: &Message) {
        if to == self.own_id {
            self.messages.push_back(message.clone());
        } else {
            self.effects.send(to, message);
        }
    }

    fn persist(&mut self, token: Token, records: &[Record]) {
        self.effects.persist(token, records);
    }

    fn chosen(&mut self, key: Key, value: &Value) {
        self.effects.chosen(key, value);
    }

    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.effects.answered(number, outcome);
    }
}

impl Councillor {
    /// Continues from what its store holds; [`StoredState::new`] for a store just created.
    pub fn new(now: Ms, config: CouncilConfig, stored: StoredState) -> Councillor {
        Councillor {
            acceptor: Acceptor::new(config.own_id, stored),
            proposer: Proposer::new(config.clone()),
            recovery: Recovery::new(now),
            next_read: now + config.retry_interval,
            follower: Follower::new(now, config),
        }
    }

    /// Replaces the guards, so that a test can show what breaks without one.
    #[cfg(any(test, feature = "sabotage"))]
    pub fn sabotage(&mut self, guards: Guards) {
        self.acceptor.guards = guards;
        self.proposer.guards = guards;
        self.follower.guards = guards;
    }

    /// When [`Councillor::on_timer`] is due.
    pub fn next_timer(&self) -> Ms {
        let recovery = if self.participates() { self.next_read } else { self.recovery.next_timer() };
        self.follower.next_timer().min(self.proposer.next_timer()).min(recovery)
    }

    /// Handles all timers that are due.
    pub fn on_timer(&mut self, now: Ms, guard: &dyn Guard, effects: &mut dyn Effects) {
        self.run(now, guard, effects, |councillor, effects| {
            councillor.follower.on_timer(now, effects);
            councillor.proposer.on_timer(now, effects);
            if !councillor.participates() {
                councillor.recovery.on_timer(
                    now,
                    councillor.follower.config(),
                    &councillor.acceptor,
                    effects,
                );
            } else if councillor.next_read <= now {
                councillor.next_read = now + councillor.follower.config().retry_interval;
                councillor.read_unconfirmed(now, effects);
            }
        });
    }

    /// The preferred councillor reads the registers whose accepted value is newer than the known chosen one. This is
    /// needed after a start or a lost [`Message::Learned`].
    fn read_unconfirmed(&mut self, now: Ms, effects: &mut dyn Effects) {
        let config = self.follower.config();
        if self.follower.preferred() != Some(config.own_id) {
            return;
        }
        let known = |key| self.follower.values().get(key).map_or(0, |value: &Value| value.revision);
        let registers = self.acceptor.stored().registers.iter();
        let newer = registers.filter(|(key, register)| {
            register.accepted.as_ref().is_some_and(|(_, value)| value.revision > known(key))
        });
        let request = RequestId { member: config.own_id, life: config.life, number: 0 };
        let deadline = now + config.retry_interval;
        for key in newer.map(|(key, _)| *key).take(MAX_READS_PER_TIMER).collect::<Vec<_>>() {
            let proposal = Proposal { request, reply_to: request.member, change: Change::Read, deadline };
            self.proposer.propose(now, key, proposal, effects);
        }
    }

    /// Handles a message of another member.
    pub fn on_message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        effects: &mut dyn Effects,
    ) {
        self.run(now, guard, effects, |councillor, effects| {
            councillor.dispatch(now, from, message, guard, effects)
        });
    }

    /// The records of `token` are synced to disk. Tokens come back in the order of the requests.
    pub fn on_persisted(&mut self, now: Ms, token: Token, guard: &dyn Guard, effects: &mut dyn Effects) {
        self.run(now, guard, effects, |councillor, effects| councillor.acceptor.on_persisted(token, effects));
    }

    /// Requests a change or a read under an own number, counted from 1. [`Effects::answered`] is called once for it.
    pub fn submit(
        &mut self,
        now: Ms,
        number: u64,
        key: Key,
        change: Change,
        guard: &dyn Guard,
        effects: &mut dyn Effects,
    ) {
        self.run(now, guard, effects, |councillor, effects| {
            councillor.follower.submit(now, number, key, change, effects)
        });
    }

    /// Updates which members are believed alive.
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.follower.set_living(living);
    }

    /// Handles another member's revision digest.
    pub fn on_digest(&mut self, now: Ms, from: MemberId, digest: &[u8], effects: &mut dyn Effects) {
        self.follower.on_digest(now, from, digest, effects);
    }

    fn run(
        &mut self,
        now: Ms,
        guard: &dyn Guard,
        effects: &mut dyn Effects,
        step: impl FnOnce(&mut Councillor, &mut dyn Effects),
    ) {
        let own_id = self.acceptor.own_id();
        let mut loopback = Loopback { own_id, effects, messages: VecDeque::new() };
        step(self, &mut loopback);
        while let Some(message) = loopback.messages.pop_front() {
            self.dispatch(now, own_id, &message, guard, &mut loopback);
        }
    }

    fn dispatch(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        effects: &mut dyn Effects,
    ) {
        let config = self.follower.config();
        match message {
            Message::Propose { request, key, change } => {
                let proposal = Proposal {
                    request: *request,
                    reply_to: from,
                    change: change.clone(),
                    // The requester asks other councillors in the meantime. With a longer deadline, after an
                    // outage all councillors would compete over requests that each of them holds.
                    deadline: now + config.answer_timeout * 2.0,
                };
                self.proposer.propose(now, *key, proposal, effects);
            }
            Message::Learned { .. }
            | Message::Answer { .. }
            | Message::Fetch { .. }
            | Message::Found { .. } => self.follower.on_message(now, from, message, effects),
            _ if !config.councillors.contains(&from) => {}
            Message::Promise { .. } | Message::Accepted { .. } | Message::Refused { .. } => {
                self.proposer.on_message(now, from, message, effects);
            }
            Message::Outdated { known } if self.participates() => {
                self.acceptor.raise_generation(*known, effects)
            }
            _ if self.participates() => self.acceptor.on_message(now, from, message, guard, effects),
            _ => self.recovery.on_message(from, message, config, &mut self.acceptor, effects),
        }
    }

    /// Whether it participates in the council.
    pub fn participates(&self) -> bool {
        self.acceptor.participates()
    }

    /// The follower role.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The acceptor role.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// The proposer role.
    pub fn proposer(&self) -> &Proposer {
        &self.proposer
    }
}
