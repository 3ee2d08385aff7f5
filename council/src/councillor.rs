//! A councillor: accepts, proposes, follows, recovers.

use std::collections::BTreeSet;

use ottersail::time::Ms;
use ottersail_members::MemberId;

use crate::acceptor::Acceptor;
use crate::follower::Follower;
use crate::message::Message;
use crate::proposer::Proposer;
use crate::types::{Change, Key, Stored};
use crate::wishes::{Guard, Terms, Token, Wishes};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Councillor {
    acceptor: Acceptor,
    proposer: Proposer,
    follower: Follower,
}

impl Councillor {
    /// From what its store holds; [`Stored::new`] for a store just created.
    pub fn born(now: Ms, terms: Terms, stored: Stored) -> Councillor {
        Councillor {
            acceptor: Acceptor::new(terms.me, stored),
            proposer: Proposer::default(),
            follower: Follower::born(now, terms),
        }
    }

    pub fn bell_at(&self) -> Ms {
        self.follower.bell_at()
    }

    pub fn bell(&mut self, now: Ms, _guard: &dyn Guard, out: &mut dyn Wishes) {
        self.follower.bell(now, out);
    }

    pub fn message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        out: &mut dyn Wishes,
    ) {
        self.acceptor.message(now, from, message, guard, out);
    }

    /// The disk has synced that wish; tokens come back in the order of the wishes.
    pub fn kept(&mut self, _now: Ms, token: Token, _guard: &dyn Guard, out: &mut dyn Wishes) {
        self.acceptor.kept(token, out);
    }

    pub fn ask(
        &mut self,
        now: Ms,
        number: u64,
        key: Key,
        change: Change,
        _guard: &dyn Guard,
        out: &mut dyn Wishes,
    ) {
        self.follower.ask(now, number, key, change, out);
    }

    pub fn living(&mut self, living: &BTreeSet<MemberId>) {
        self.follower.living(living);
    }

    pub fn heard(&mut self, now: Ms, from: MemberId, rider: &[u8], out: &mut dyn Wishes) {
        self.follower.heard(now, from, rider, out);
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
