//! The part of the capacity that the placement may use: which slots, of how many, and until when by the front's clock.
//!
//! Besides the D leased slots each manager has one of its own, number D + N of D + M, which no council gives
//! or takes: with the council gone a manager acts on that alone, and all parts are the whole at most.

use ottersail::time::Ms;
use ottersail_front::SlotShare;
use ottersail_leases::{Holder, Slot};
use std::collections::BTreeMap;

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
    told: Option<SlotShare>,
    /// When the next slot has been held for long enough, or the lease ends.
    next_change: Ms,
    /// How often the lease has expired.
    ran_out: u64,
}

impl PartInUse {
    pub fn new(number: (u64, f64), slots: u16, window: Ms) -> PartInUse {
        let (since, never) = (BTreeMap::new(), Ms(f64::INFINITY));
        PartInUse { number, slots, window, since, until: never, told: None, next_change: never, ran_out: 0 }
    }

    /// Uses another number of slots than the settings state.
    pub fn cut(&mut self, slots: u16) {
        self.slots = slots;
        self.told = None;
    }

    pub fn next_timer(&self) -> Ms {
        self.next_change
    }

    pub fn told(&self) -> usize {
        self.told.as_ref().map_or(0, |it| it.leased_slots.len())
    }

    /// The slots held now, whether the placement may use them yet or not.
    pub fn held(&self) -> impl Iterator<Item = Slot> + '_ {
        self.since.keys().copied()
    }

    pub fn ran_out(&self) -> u64 {
        self.ran_out
    }

    /// What the module is to be told, if that is other than before; `anyway` if somebody waits for it. Its
    /// `until` is by the members' clock yet.
    pub fn look(&mut self, now: Ms, holder: Option<&Holder>, anyway: bool) -> Option<SlotShare> {
        let part = holder.and_then(|it| it.current_share(now));
        // One slot's lease may end before the others'; only the end of all leases is logged.
        if part.is_none() && !self.since.is_empty() && now >= self.until {
            self.ran_out += 1;
            let late = (now - self.until).0.round();
            tracing::warn!(
                target: "parts", slots = self.since.len(), late_ms = late,
                "the lease ran out: only the kept slot is used; is a majority of councillors up and heard?"
            );
        }
        self.until = part.map_or(Ms(f64::INFINITY), |it| it.until.0);
        let counts = |slot: &Slot| part.is_some() && holder.is_some_and(|it| it.holds_slot(now, *slot));
        self.since.retain(|slot, _| counts(slot));
        for slot in (0..self.slots).map(Slot).filter(counts) {
            self.since.entry(slot).or_insert(now);
        }
        // The previous holder may have used the slot until this one got it, so within the window of the rule on cold
        // servers both would count. Without the wait, a cold server would get set-ups at twice the allowed rate.
        let ripe = |since: Ms| now >= since + self.window;
        let leased = self.since.iter().filter(|it| ripe(*it.1)).map(|it| u64::from(it.0 .0)).collect();
        let unripe = self.since.values().filter(|it| !ripe(**it)).map(|it| *it + self.window);
        self.next_change = unripe.fold(self.until, Ms::min);
        let (number, managers) = self.number;
        let kept = u64::from(self.slots) + number;
        let of = f64::from(self.slots) + managers;
        let next = SlotShare {
            own_slot: kept,
            leased_slots: leased,
            total_slots: of,
            lease_end_ms: part.map_or(0.0, |it| it.until.0 .0),
        };
        let new = anyway || self.told.as_ref() != Some(&next);
        if new {
            let was = self.told();
            if was != next.leased_slots.len() {
                let (slots, held) = (next.leased_slots.len(), self.since.len());
                tracing::info!(target: "parts", was, slots, held, of, "part");
            }
            self.told = Some(next.clone());
        }
        new.then_some(next)
    }
}
