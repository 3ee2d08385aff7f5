//! A member's side: which slots it holds, until when it may count on them, and how it comes to hold more or less.

use crate::bucket::Bucket;
use crate::ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
use crate::messages::{Renewed, PAGE};
use crate::notes::LeaseEvent;
use crate::terms::LeaseConfig;
use crate::trouble::LeaseError;
use crate::wishes::Effects;
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod change;
mod lease;

/// An odd number whose multiples fill all bits (the golden ratio's).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a member may act on: `slots` of `of`, until that time of its own clock and not a moment longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotShare {
    pub slots: u16,
    pub total: u16,
    pub until: Timestamp,
}

/// What the council says to a reading or a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What was read, or what was proposed and chosen.
    Chosen { revision: u64, body: Vec<u8> },
    /// Another change came first; this is what stands.
    Conflict { revision: u64, body: Vec<u8> },
    /// Councillors' guards kept it out, or no majority answered.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Mine {
    epoch: Epoch,
    until: Timestamp,
    /// Councillors, by their place in the terms, whose last word was no.
    refused: u8,
    /// Not counted any more, and not given back yet.
    stopping: bool,
}

/// One page of renewals under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Round {
    number: u32,
    sent: Timestamp,
    /// Epoch and councillors that granted, for each slot.
    slots: BTreeMap<Slot, (Epoch, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Book {
    revision: u64,
    bucket: Bucket,
    /// A guard kept the last change out; it is let be until then.
    shut_until: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    me: (MemberId, InstanceId),
    terms: LeaseConfig,
    new: Timestamp,
    slots: BTreeMap<Slot, Mine>,
    /// Given back under that epoch; never taken up again under it, and proposed until the register says so.
    let_go: BTreeMap<Slot, Epoch>,
    books: BTreeMap<BucketId, Book>,
    rounds: VecDeque<Round>,
    number: u32,
    renew_at: Timestamp,
    /// The bucket that the council was last asked about, and when.
    asked: Option<(BucketId, Timestamp)>,
    act_at: Timestamp,
    /// What was asked is a further look where all was full.
    looked: bool,
    tries: u32,
    wanted: u16,
    /// This member ends: nothing is taken up any more.
    leaving: bool,
    alive: BTreeMap<MemberId, InstanceId>,
    chance: u64,
}

impl Holder {
    pub fn new(now: Ms, seed: u64, me: (MemberId, InstanceId), terms: LeaseConfig) -> Holder {
        Holder {
            me,
            terms,
            new: Timestamp(now),
            slots: BTreeMap::new(),
            let_go: BTreeMap::new(),
            books: BTreeMap::new(),
            rounds: VecDeque::new(),
            number: 0,
            renew_at: Timestamp(now),
            asked: None,
            act_at: Timestamp(now),
            looked: false,
            tries: 0,
            wanted: 0,
            leaving: false,
            alive: BTreeMap::new(),
            // Members that were given seeds in a row must not all turn to the same register.
            chance: seed ^ me.0 .0.wrapping_add(me.1 .0).wrapping_mul(SPREAD) | 1,
        }
    }

    /// What may be acted on at this moment. To be asked again at each write that rests on it: after a stop of
    /// the process past `until` the first look says none.
    pub fn current_share(&self, now: Ms) -> Option<SlotShare> {
        let counted = || self.slots.values().filter(|it| self.counts(now, it)).map(|it| it.until);
        let until = counted().min()?;
        Some(SlotShare { slots: counted().count() as u16, total: self.terms.slots, until })
    }

    /// Whether that slot is one of those behind [`Holder::current_share`], for tests and an operator's pages.
    pub fn holds_slot(&self, now: Ms, slot: Slot) -> bool {
        self.slots.get(&slot).is_some_and(|it| self.counts(now, it))
    }

    /// The slots behind [`Holder::current_share`]; members who take turns take them by these.
    pub fn slots(&self, now: Ms) -> impl Iterator<Item = Slot> + '_ {
        self.slots.iter().filter(move |it| self.counts(now, it.1)).map(|it| *it.0)
    }

    fn counts(&self, now: Ms, mine: &Mine) -> bool {
        let in_time = if self.terms.guards.until() {
            Timestamp(now) < mine.until
        } else {
            mine.until > Timestamp::NEVER
        };
        in_time && !(mine.stopping && self.terms.guards.stop_first())
    }

    /// Slots in this member's name that it does not mean to give back, leased at this moment or not.
    pub fn retained_slots(&self) -> u16 {
        self.slots.values().filter(|it| !it.stopping).count() as u16
    }

    /// How many slots to hold from now on; [`crate::SlotBalancer::next_target`] says it.
    pub fn set_target(&mut self, now: Ms, wanted: u16, out: &mut dyn Effects) {
        self.wanted = if self.leaving { 0 } else { wanted.min(self.terms.slots) };
        self.handle_deadline(now, out);
    }

    /// Who lives, and which instance: slots of others are free to be asked for once their leases have run out.
    pub fn set_alive(&mut self, alive: BTreeMap<MemberId, InstanceId>) {
        self.alive = alive;
    }

    pub fn next_deadline(&self) -> Ms {
        let answer = self.asked.map(|it| Timestamp(it.1 .0 + self.patience()));
        self.renew_at.min(answer.unwrap_or(self.act_at)).0
    }

    pub fn handle_deadline(&mut self, now: Ms, out: &mut dyn Effects) {
        self.renew_when_due(now, out);
        if self.asked.is_some_and(|it| now >= it.1 .0 + self.patience()) {
            out.note(LeaseEvent::Unanswered);
            self.put_off(now);
        }
        if self.asked.is_none() && Timestamp(now) >= self.act_at {
            self.act(now, out);
        }
    }

    /// Nothing rests any more on what [`Effects::shrink`] took off: it is given back.
    pub fn finish_shrink(&mut self, now: Ms, out: &mut dyn Effects) {
        let gone: Vec<(Slot, Epoch)> =
            self.slots.iter().filter(|it| it.1.stopping).map(|it| (*it.0, it.1.epoch)).collect();
        for (slot, epoch) in &gone {
            out.note(LeaseEvent::Released);
            self.let_go.insert(*slot, *epoch);
        }
        if self.terms.guards.stop_first() {
            self.slots.retain(|_, it| !it.stopping);
        }
        self.tell_releases(out);
        if self.leaving {
            self.propose_all(now, out);
        }
        self.act_at = Timestamp(now);
        self.handle_deadline(now, out);
    }

    /// What stands in a register, learned by following or by an answer. Only what is chosen may be told here:
    /// a councillor grants epochs that it has not accepted itself yet.
    ///
    /// # Errors
    /// [`LeaseError::Body`]; nothing is changed then.
    pub fn register_changed(
        &mut self,
        no: BucketId,
        revision: u64,
        body: &[u8],
        out: &mut dyn Effects,
    ) -> Result<(), LeaseError> {
        if self.books.get(&no).is_some_and(|it| it.revision >= revision) {
            return Ok(());
        }
        let bucket = Bucket::decode(no, self.terms.slots_in(no), body)?;
        for (seat, it) in bucket.entries() {
            let slot = no.slot(seat);
            if self.let_go.get(&slot).is_some_and(|epoch| it.epoch > *epoch) {
                self.let_go.remove(&slot);
            }
            let known = self.slots.get(&slot).map(|mine| mine.epoch);
            if known.is_some_and(|epoch| epoch < it.epoch) {
                self.lose(slot, out);
            }
            let new = known.is_none_or(|epoch| epoch < it.epoch) && !self.let_go.contains_key(&slot);
            if it.held == Some(self.me) && new && self.leaving {
                // Asked for before this member was told to end, and never counted: it goes back as it came.
                self.let_go.insert(slot, it.epoch);
            } else if it.held == Some(self.me) && new {
                out.note(LeaseEvent::Acquired);
                let mine = Mine { epoch: it.epoch, until: Timestamp::NEVER, refused: 0, stopping: false };
                self.slots.insert(slot, mine);
                // A slot counts from its first renewal: do not wait for the next round.
                self.renew_at = Timestamp::NEVER;
            }
        }
        self.books.insert(no, Book { revision, bucket, shut_until: Timestamp::NEVER });
        Ok(())
    }

    fn lose(&mut self, slot: Slot, out: &mut dyn Effects) {
        self.slots.remove(&slot);
        out.note(LeaseEvent::Lost);
    }

    /// A number below that one.
    fn below(&mut self, limit: usize) -> usize {
        self.chance = (self.chance & 0xffff_ffff) * 4_294_957_665 + (self.chance >> 32);
        (((self.chance & 0xffff_ffff) * limit as u64) >> 32) as usize
    }
}
