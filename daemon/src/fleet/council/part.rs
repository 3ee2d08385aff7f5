//! The part of the capacity that the placement may use: which slots, of how many, and until when by the front's clock.
//!
//! Besides the D leased slots, each of the M managers has a slot of its own: manager N has slot D + N of D + M in all.
//! The council neither grants nor revokes it. Without a council a manager uses only that slot, so that all parts
//! together never exceed the whole capacity.

use ottersail::time::Ms;
use ottersail_front::SlotShare;
use ottersail_leases::{Holder, Slot};
use std::collections::BTreeMap;

/// Determines which of the held slots the placement may use.
pub(super) struct PartInUse {
    /// This manager's number N and the number of managers M.
    number: (u64, f64),
    slots: u16,
    /// The time window of the rule on cold servers.
    window: Ms,
    /// Since when each slot has been held without a gap.
    since: BTreeMap<Slot, Ms>,
    /// The end of the lease, by the members' clock.
    until: Ms,
    /// The share that was passed to the placement last.
    reported: Option<SlotShare>,
    /// When the next slot has been held for long enough, or the lease ends.
    next_change: Ms,
    /// How often the lease has expired.
    expirations: u64,
}

impl PartInUse {
    pub fn new(number: (u64, f64), slots: u16, window: Ms) -> PartInUse {
        let (since, never) = (BTreeMap::new(), Ms(f64::INFINITY));
        PartInUse {
            number,
            slots,
            window,
            since,
            until: never,
            reported: None,
            next_change: never,
            expirations: 0,
        }
    }

    /// Uses another number of slots than the settings state.
    pub fn set_total_slots(&mut self, slots: u16) {
        self.slots = slots;
        self.reported = None;
    }

    /// When [`PartInUse::update`] has to be called next.
    pub fn next_timer(&self) -> Ms {
        self.next_change
    }

    /// Number of leased slots that the placement may use.
    pub fn slots_in_use(&self) -> usize {
        self.reported.as_ref().map_or(0, |share| share.leased_slots.len())
    }

    /// The slots held now, whether the placement may use them yet or not.
    pub fn held(&self) -> impl Iterator<Item = Slot> + '_ {
        self.since.keys().copied()
    }

    /// How often the lease on all slots has expired.
    pub fn expirations(&self) -> u64 {
        self.expirations
    }

    /// Returns the share for the placement if it differs from the last one, or in any case with `always_report`, when a
    /// caller waits for it. Its lease end is still by the members' clock.
    pub fn update(&mut self, now: Ms, holder: Option<&Holder>, always_report: bool) -> Option<SlotShare> {
        let part = holder.and_then(|holder| holder.current_share(now));
        // One slot's lease may end before the others'; only the end of all leases is logged.
        if part.is_none() && !self.since.is_empty() && now >= self.until {
            self.expirations += 1;
            let late = (now - self.until).0.round();
            tracing::warn!(
                target: "parts", slots = self.since.len(), late_ms = late,
                "the lease ran out: only the kept slot is used; is a majority of councillors up and heard?"
            );
        }
        self.until = part.map_or(Ms(f64::INFINITY), |part| part.until.0);
        let counts =
            |slot: &Slot| part.is_some() && holder.is_some_and(|holder| holder.holds_slot(now, *slot));
        self.since.retain(|slot, _| counts(slot));
        for slot in (0..self.slots).map(Slot).filter(counts) {
            self.since.entry(slot).or_insert(now);
        }
        // The previous holder may have used the slot until this one got it, so within the window of the rule on cold
        // servers both would count. Without the wait, a cold server would get set-ups at twice the allowed rate.
        let usable = |since: Ms| now >= since + self.window;
        let leased = self
            .since
            .iter()
            .filter(|(_, since)| usable(**since))
            .map(|(slot, _)| u64::from(slot.0))
            .collect();
        let next_usable =
            self.since.values().filter(|since| !usable(**since)).map(|since| *since + self.window);
        self.next_change = next_usable.fold(self.until, Ms::min);
        let (number, managers) = self.number;
        let kept = u64::from(self.slots) + number;
        let of = f64::from(self.slots) + managers;
        let next = SlotShare {
            own_slot: kept,
            leased_slots: leased,
            total_slots: of,
            lease_end_ms: part.map_or(0.0, |part| part.until.0 .0),
        };
        let new = always_report || self.reported.as_ref() != Some(&next);
        if new {
            let was = self.slots_in_use();
            if was != next.leased_slots.len() {
                let (slots, held) = (next.leased_slots.len(), self.since.len());
                tracing::info!(target: "parts", was, slots, held, of, "part");
            }
            self.reported = Some(next.clone());
        }
        new.then_some(next)
    }
}
