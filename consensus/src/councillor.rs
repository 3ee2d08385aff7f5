//! A councillor: accepts, proposes, follows, recovers.

use std::collections::{BTreeSet, VecDeque};

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::acceptor::Acceptor;
#[cfg(any(test, feature = "sabotage"))]
use crate::effects::Guards;
use crate::effects::{CouncilConfig, Effects, Guard, Token};
use crate::follower::Follower;
use crate::message::Message;
use crate::proposer::{Job, Proposer};
use crate::recovery::Recovery;
use crate::types::{Change, Key, Outcome, Record, RequestId, StoredState, Value};

/// Registers read at one bell, to learn which held values are chosen.
const READ_MOST: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Councillor {
    acceptor: Acceptor,
    proposer: Proposer,
    follower: Follower,
    recovery: Recovery,
    read_at: Ms,
}

/// Messages to oneself stay inside.
struct Inside<'a> {
    me: MemberId,
    out: &'a mut dyn Effects,
    own: VecDeque<Message>,
}

impl Effects for Inside<'_> {
    fn send(&mut self, to: MemberId, message: &Message) {
        if to == self.me {
            self.own.push_back(message.clone());
        } else {
            self.out.send(to, message);
        }
    }

    fn persist(&mut self, token: Token, records: &[Record]) {
        self.out.persist(token, records);
    }

    fn chosen(&mut self, key: Key, value: &Value) {
        self.out.chosen(key, value);
    }

    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.out.answered(number, outcome);
    }
}

impl Councillor {
    /// From what its store holds; [`StoredState::new`] for a store just created.
    pub fn new(now: Ms, config: CouncilConfig, stored: StoredState) -> Councillor {
        Councillor {
            acceptor: Acceptor::new(config.me, stored),
            proposer: Proposer::new(config.clone()),
            recovery: Recovery::new(now),
            read_at: now + config.retry_interval,
            follower: Follower::new(now, config),
        }
    }

    /// Takes guards out, to see what breaks.
    #[cfg(any(test, feature = "sabotage"))]
    pub fn sabotage(&mut self, guards: Guards) {
        self.acceptor.guards = guards;
        self.proposer.guards = guards;
        self.follower.guards = guards;
    }

    pub fn next_timer(&self) -> Ms {
        let recovery = if self.participates() { self.read_at } else { self.recovery.next_timer() };
        self.follower.next_timer().min(self.proposer.next_timer()).min(recovery)
    }

    pub fn on_timer(&mut self, now: Ms, guard: &dyn Guard, out: &mut dyn Effects) {
        self.run(now, guard, out, |this, out| {
            this.follower.on_timer(now, out);
            this.proposer.on_timer(now, out);
            if !this.participates() {
                this.recovery.on_timer(now, this.follower.config(), &this.acceptor, out);
            } else if this.read_at <= now {
                this.read_at = now + this.follower.config().retry_interval;
                this.read(now, out);
            }
        });
    }

    /// After a start, or a lost `Learned`: the preferred councillor reads what it holds newer than it knows chosen.
    fn read(&mut self, now: Ms, out: &mut dyn Effects) {
        let config = self.follower.config();
        if self.follower.preferred() != Some(config.me) {
            return;
        }
        let known = |key| self.follower.values().get(key).map_or(0, |value: &Value| value.revision);
        let registers = self.acceptor.stored().registers.iter();
        let newer = registers.filter(|(key, register)| {
            register.accepted.as_ref().is_some_and(|(_, value)| value.revision > known(key))
        });
        let request = RequestId { member: config.me, life: config.life, number: 0 };
        let until = now + config.retry_interval;
        for key in newer.map(|(key, _)| *key).take(READ_MOST).collect::<Vec<_>>() {
            let job = Job { request, reply: request.member, change: Change::Read, until };
            self.proposer.propose(now, key, job, out);
        }
    }

    pub fn on_message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        out: &mut dyn Effects,
    ) {
        self.run(now, guard, out, |this, out| this.dispatch(now, from, message, guard, out));
    }

    /// The disk has synced that wish; tokens come back in the order of the wishes.
    pub fn on_persisted(&mut self, now: Ms, token: Token, guard: &dyn Guard, out: &mut dyn Effects) {
        self.run(now, guard, out, |this, out| this.acceptor.on_persisted(token, out));
    }

    /// Asks for a change or a read under an own number from 1; `answered(number)` once.
    pub fn submit(
        &mut self,
        now: Ms,
        number: u64,
        key: Key,
        change: Change,
        guard: &dyn Guard,
        out: &mut dyn Effects,
    ) {
        self.run(now, guard, out, |this, out| this.follower.submit(now, number, key, change, out));
    }

    /// Who is believed to live now.
    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        self.follower.set_living(living);
    }

    /// Another's rider.
    pub fn on_digest(&mut self, now: Ms, from: MemberId, rider: &[u8], out: &mut dyn Effects) {
        self.follower.on_digest(now, from, rider, out);
    }

    fn run(
        &mut self,
        now: Ms,
        guard: &dyn Guard,
        out: &mut dyn Effects,
        step: impl FnOnce(&mut Councillor, &mut dyn Effects),
    ) {
        let me = self.acceptor.me();
        let mut inside = Inside { me, out, own: VecDeque::new() };
        step(self, &mut inside);
        while let Some(message) = inside.own.pop_front() {
            self.dispatch(now, me, &message, guard, &mut inside);
        }
    }

    fn dispatch(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        out: &mut dyn Effects,
    ) {
        let config = self.follower.config();
        match message {
            Message::Propose { request, key, change } => {
                let job = Job {
                    request: *request,
                    reply: from,
                    change: change.clone(),
                    // The asker turns to others meanwhile. Symptom of a longer life: after trouble all
                    // councillors duel over requests that each of them holds.
                    until: now + config.answer_timeout * 2.0,
                };
                self.proposer.propose(now, *key, job, out);
            }
            Message::Learned { .. }
            | Message::Answer { .. }
            | Message::Fetch { .. }
            | Message::Found { .. } => self.follower.on_message(now, from, message, out),
            _ if !config.councillors.contains(&from) => {}
            Message::Promise { .. } | Message::Accepted { .. } | Message::Refused { .. } => {
                self.proposer.on_message(now, from, message, out);
            }
            Message::Outdated { known } if self.participates() => self.acceptor.outdated(*known, out),
            _ if self.participates() => self.acceptor.on_message(now, from, message, guard, out),
            _ => self.recovery.on_message(from, message, config, &mut self.acceptor, out),
        }
    }

    /// Whether it takes part.
    pub fn participates(&self) -> bool {
        self.acceptor.participates()
    }

    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    pub fn proposer(&self) -> &Proposer {
        &self.proposer
    }
}
