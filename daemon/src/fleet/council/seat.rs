//! This member's seat: a councillor's, or a follower's.

use super::keeper::Keeper;
use super::wants::Wants;
use ottersail::time::Ms;
use ottersail_consensus::{
    Change, Councillor, Follower, Guard, Key, MemberId, Message, Stored, Terms, Token,
};
use ottersail_register::Store;
use std::collections::BTreeSet;

pub(super) struct Seat {
    kind: Kind,
    /// What was told of its soundness last.
    told: Option<bool>,
}

enum Kind {
    Councillor(Box<Councillor>),
    Follower(Box<Follower>),
}

impl Seat {
    pub fn born(now: Ms, terms: &Terms, opened: Option<(Store, Stored)>) -> (Seat, Option<Keeper>) {
        let follower = || Kind::Follower(Box::new(Follower::born(now, terms.clone())));
        let (kind, keeper) = match opened {
            None => (follower(), None),
            Some((store, stored)) => match Keeper::start(store) {
                Ok(keeper) => {
                    let councillor = Councillor::born(now, terms.clone(), stored);
                    (Kind::Councillor(Box::new(councillor)), Some(keeper))
                }
                Err(trouble) => {
                    tracing::error!(target: "council", %trouble, "this councillor abstains, viewings go on");
                    (follower(), None)
                }
            },
        };
        (Seat { kind, told: None }, keeper)
    }

    /// From here on a follower: nothing more is promised, accepted or renewed in this life.
    pub fn abstain(&mut self, now: Ms, terms: &Terms) {
        self.kind = Kind::Follower(Box::new(Follower::born(now, terms.clone())));
        self.told = None;
    }

    pub fn follower(&self) -> &Follower {
        match &self.kind {
            Kind::Councillor(it) => it.follower(),
            Kind::Follower(it) => it,
        }
    }

    /// A councillor's machine, if it takes part.
    pub fn sound(&self) -> Option<&Councillor> {
        match &self.kind {
            Kind::Councillor(it) if it.sound() => Some(it),
            _ => None,
        }
    }

    /// Whether a councillor takes part, where that is other than it was at the last look.
    pub fn turned(&mut self) -> Option<bool> {
        let Kind::Councillor(it) = &self.kind else { return None };
        let is = it.sound();
        (self.told.replace(is) != Some(is)).then_some(is)
    }

    pub fn is_councillor(&self) -> bool {
        matches!(self.kind, Kind::Councillor(_))
    }

    pub fn bell_at(&self) -> Ms {
        match &self.kind {
            Kind::Councillor(it) => it.bell_at(),
            Kind::Follower(it) => it.bell_at(),
        }
    }

    pub fn bell(&mut self, now: Ms, guard: &dyn Guard, out: &mut Wants) {
        match &mut self.kind {
            Kind::Councillor(it) => it.bell(now, guard, out),
            Kind::Follower(it) => it.bell(now, out),
        }
    }

    pub fn message(&mut self, now: Ms, from: MemberId, it: &Message, guard: &dyn Guard, out: &mut Wants) {
        match &mut self.kind {
            Kind::Councillor(seat) => seat.message(now, from, it, guard, out),
            Kind::Follower(seat) => seat.message(now, from, it, out),
        }
    }

    pub fn kept(&mut self, now: Ms, token: Token, guard: &dyn Guard, out: &mut Wants) {
        if let Kind::Councillor(it) = &mut self.kind {
            it.kept(now, token, guard, out);
        }
    }

    pub fn ask(
        &mut self,
        now: Ms,
        number: u64,
        (key, change): (Key, Change),
        guard: &dyn Guard,
        out: &mut Wants,
    ) {
        match &mut self.kind {
            Kind::Councillor(it) => it.ask(now, number, key, change, guard, out),
            Kind::Follower(it) => it.ask(now, number, key, change, out),
        }
    }

    pub fn living(&mut self, living: &BTreeSet<MemberId>) {
        match &mut self.kind {
            Kind::Councillor(it) => it.living(living),
            Kind::Follower(it) => it.living(living),
        }
    }

    pub fn heard(&mut self, now: Ms, from: MemberId, rider: &[u8], out: &mut Wants) {
        match &mut self.kind {
            Kind::Councillor(it) => it.heard(now, from, rider, out),
            Kind::Follower(it) => it.heard(now, from, rider, out),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_consensus::{Ballot, InstanceId, Memory, Open};

    /// Symptom without that: a councillor goes on to promise what no disk holds.
    #[test]
    fn one_that_abstains_promises_nothing_more() {
        let folder = tempfile::tempdir().unwrap();
        let (store, stored) = Store::open(&folder.path().join("council"), Memory(5)).unwrap();
        let [me, other, third] = [1, 2, 3].map(MemberId);
        let terms = Terms::new(me, InstanceId(4), &[me, other, third], 1);
        let opened = Some((store, Stored { sound: true, ..stored }));
        let (mut seat, keeper) = Seat::born(Ms(0.0), &terms, opened);
        assert!(keeper.is_some() && seat.is_councillor());
        assert_eq!((seat.turned(), seat.turned()), (Some(true), None), "told once");
        let ballot = Ballot { number: 1, proposer: other, life: InstanceId(9) };
        let prepare = Message::Prepare { key: Key::Head, ballot };
        let kept = |seat: &mut Seat| {
            let mut wants = Wants::default();
            seat.message(Ms(1.0), other, &prepare, &Open, &mut wants);
            (wants.keeps.len(), wants.posts.len())
        };
        assert_eq!(kept(&mut seat), (1, 0), "a promise waits for the disk");
        seat.abstain(Ms(2.0), &terms);
        assert_eq!(kept(&mut seat), (0, 0));
        assert!(seat.sound().is_none() && !seat.is_councillor() && seat.turned().is_none());
    }
}
