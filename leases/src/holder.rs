//! The lease holder's side: which slots a member holds, until when it may count on them, and how it comes to
//! hold more or fewer.

use crate::bucket::Bucket;
use crate::config::LeaseConfig;
use crate::effects::Effects;
use crate::events::LeaseEvent;
use crate::ids::{BucketId, Epoch, InstanceId, MemberId, Slot, Timestamp};
use crate::messages::{Renewed, SLOTS_PER_PAGE};
use ottersail::time::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod change;
mod register;
mod renewal;

/// The golden ratio in 64 bits: an odd number whose multiples differ in all bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The slots that a member may act on: `slots` of `total`, up to but not including the time `until` of its
/// own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotShare {
    pub slots: u16,
    pub total: u16,
    pub until: Timestamp,
}

/// The council's answer to a read or a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value that was read, or that was proposed and chosen.
    Chosen { revision: u64, body: Vec<u8> },
    /// Another change was chosen first; this is the current value.
    Conflict { revision: u64, body: Vec<u8> },
    /// The guards of the councillors rejected the proposal, or no majority answered.
    Refused,
}

/// A slot that the register assigns to this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OwnSlot {
    epoch: Epoch,
    /// The end of its lease.
    until: Timestamp,
    /// A bit for each councillor, by its position in the configuration, whose last answer was a refusal.
    refused: u8,
    /// No longer counted, and not yet given back.
    stopping: bool,
}

/// One page of renewal requests that is under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RenewalRound {
    number: u32,
    sent: Timestamp,
    /// For each slot its epoch, and a bit for each councillor that granted the renewal.
    slots: BTreeMap<Slot, (Epoch, u8)>,
}

/// The last known value of a bucket's register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct KnownBucket {
    revision: u64,
    bucket: Bucket,
    /// A guard rejected the last change; no change is tried before this time.
    retry_after: Timestamp,
}

/// The state machine of one member that holds leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    own_id: (MemberId, InstanceId),
    config: LeaseConfig,
    started: Timestamp,
    slots: BTreeMap<Slot, OwnSlot>,
    /// Slots that were given up, with the epoch at that time. They are never taken up again under that epoch,
    /// and their release is proposed until the register shows it.
    released: BTreeMap<Slot, Epoch>,
    known: BTreeMap<BucketId, KnownBucket>,
    rounds: VecDeque<RenewalRound>,
    last_round: u32,
    next_renewal: Timestamp,
    /// The bucket that the council was last asked about, and when.
    pending: Option<(BucketId, Timestamp)>,
    next_action: Timestamp,
    /// The pending read is of a bucket that was known, since no known bucket had a slot to take.
    rereading: bool,
    retries: u32,
    target: u16,
    /// This member shuts down: it takes up no more slots.
    leaving: bool,
    alive: BTreeMap<MemberId, InstanceId>,
    random_state: u64,
}

impl Holder {
    /// A holder that starts now and holds nothing.
    pub fn new(now: Ms, seed: u64, own_id: (MemberId, InstanceId), config: LeaseConfig) -> Holder {
        Holder {
            own_id,
            config,
            started: Timestamp(now),
            slots: BTreeMap::new(),
            released: BTreeMap::new(),
            known: BTreeMap::new(),
            rounds: VecDeque::new(),
            last_round: 0,
            next_renewal: Timestamp(now),
            pending: None,
            next_action: Timestamp(now),
            rereading: false,
            retries: 0,
            target: 0,
            leaving: false,
            alive: BTreeMap::new(),
            // The ids are mixed in, so that members with consecutive seeds do not all choose the same
            // register.
            random_state: seed ^ own_id.0 .0.wrapping_add(own_id.1 .0).wrapping_mul(HASH_MULTIPLIER) | 1,
        }
    }

    /// What the member may act on at this moment. It has to be asked again at each write that depends on it:
    /// if the process was paused past `until`, the first call after the pause returns `None`.
    pub fn current_share(&self, now: Ms) -> Option<SlotShare> {
        let counted = || self.slots.values().filter(|own| self.counts(now, own)).map(|own| own.until);
        let until = counted().min()?;
        Some(SlotShare { slots: counted().count() as u16, total: self.config.slots, until })
    }

    /// Whether this slot is part of [`Holder::current_share`], for tests and status pages.
    pub fn holds_slot(&self, now: Ms, slot: Slot) -> bool {
        self.slots.get(&slot).is_some_and(|own| self.counts(now, own))
    }

    /// The slots of [`Holder::current_share`], by which members decide whose turn it is.
    pub fn slots(&self, now: Ms) -> impl Iterator<Item = Slot> + '_ {
        self.slots.iter().filter(move |(_, own)| self.counts(now, own)).map(|(slot, _)| *slot)
    }

    fn counts(&self, now: Ms, own: &OwnSlot) -> bool {
        let in_time = if self.config.guards.until() {
            Timestamp(now) < own.until
        } else {
            own.until > Timestamp::NEVER
        };
        in_time && !(own.stopping && self.config.guards.stop_first())
    }

    /// The number of slots assigned to this member that it does not mean to give back, whether their leases
    /// run or not.
    pub fn retained_slots(&self) -> u16 {
        self.slots.values().filter(|own| !own.stopping).count() as u16
    }

    /// Sets how many slots to hold from now on, as [`crate::SlotBalancer::next_target`] computes it.
    pub fn set_target(&mut self, now: Ms, target: u16, effects: &mut dyn Effects) {
        self.target = if self.leaving { 0 } else { target.min(self.config.slots) };
        self.handle_deadline(now, effects);
    }

    /// Sets which members are alive, and with which instance: slots of all others may be taken over once
    /// their leases have expired.
    pub fn set_alive(&mut self, alive: BTreeMap<MemberId, InstanceId>) {
        self.alive = alive;
    }

    /// When [`Holder::handle_deadline`] is to be called next.
    pub fn next_deadline(&self) -> Ms {
        let answer_due = self.pending.map(|(_, asked)| Timestamp(asked.0 + self.answer_timeout()));
        self.next_renewal.min(answer_due.unwrap_or(self.next_action)).0
    }

    /// Does everything that is due now.
    pub fn handle_deadline(&mut self, now: Ms, effects: &mut dyn Effects) {
        self.renew_when_due(now, effects);
        if self.pending.is_some_and(|(_, asked)| now >= asked.0 + self.answer_timeout()) {
            effects.note(LeaseEvent::Unanswered);
            self.abandon_pending(now);
        }
        if self.pending.is_none() && Timestamp(now) >= self.next_action {
            self.act(now, effects);
        }
    }

    /// The caller no longer uses the slots that [`Effects::shrink`] took away: gives them back.
    pub fn finish_shrink(&mut self, now: Ms, effects: &mut dyn Effects) {
        let stopped: Vec<(Slot, Epoch)> =
            self.slots.iter().filter(|(_, own)| own.stopping).map(|(slot, own)| (*slot, own.epoch)).collect();
        for (slot, epoch) in &stopped {
            effects.note(LeaseEvent::Released);
            self.released.insert(*slot, *epoch);
        }
        if self.config.guards.stop_first() {
            self.slots.retain(|_, own| !own.stopping);
        }
        self.send_releases(effects);
        if self.leaving {
            self.propose_all_releases(now, effects);
        }
        self.next_action = Timestamp(now);
        self.handle_deadline(now, effects);
    }

    /// A random number below `limit`.
    fn random_below(&mut self, limit: usize) -> usize {
        self.random_state = (self.random_state & 0xffff_ffff) * 4_294_957_665 + (self.random_state >> 32);
        (((self.random_state & 0xffff_ffff) * limit as u64) >> 32) as usize
    }
}
