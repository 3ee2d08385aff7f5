//! How a held slot stays held: a renewal at every councillor four times a lease, counted from its sending.

use super::*;
use crate::messages::{Release, Renew};

/// Rounds that can still count: those of one lease, and one more for a slot taken up in between.
const ROUNDS: usize = 6;

impl Holder {
    pub(super) fn renew_when_due(&mut self, now: Ms, out: &mut dyn Effects) {
        if Timestamp(now) < self.renew_at {
            return;
        }
        let lease = self.terms.holder_lease();
        self.rounds.retain(|it| now < it.sent.0 + lease);
        self.renew_at = Timestamp(now + self.terms.renew_every());
        let all: Vec<(Slot, Epoch)> = self.slots.iter().map(|it| (*it.0, it.1.epoch)).collect();
        let pages = all.len().div_ceil(PAGE);
        while self.rounds.len() + pages > ROUNDS * pages.max(1) {
            self.rounds.pop_front();
        }
        for page in all.chunks(PAGE) {
            self.number = self.number.wrapping_add(1);
            let ask = Renew { instance: self.me.1, number: self.number, slots: page.to_vec() };
            let slots = page.iter().map(|it| (it.0, (it.1, 0))).collect();
            self.rounds.push_back(Round { number: self.number, sent: Timestamp(now), slots });
            for to in self.terms.councillors.clone() {
                out.note(LeaseEvent::RenewalSent { bytes: ask.bytes() });
                out.renew(to, &ask);
            }
        }
    }

    /// A councillor's answer. What a majority granted counts from when it was asked; what a majority refuses
    /// is lost at once, and its register is read again.
    pub fn renewed(&mut self, now: Ms, from: MemberId, answer: &Renewed, out: &mut dyn Effects) {
        let Some(voter) = self.terms.councillors.iter().position(|it| *it == from).filter(|it| *it < 8)
        else {
            return;
        };
        let (bit, enough, lasts) = (1u8 << voter, self.terms.majority(), self.terms.holder_lease());
        let from_sending = self.terms.guards.send_time();
        let known = |it: &&mut Round| it.number == answer.number && answer.instance == self.me.1;
        let Some(round) = self.rounds.iter_mut().find(known) else { return };
        let since = if from_sending { round.sent.0 } else { now };
        let until = Timestamp(since + lasts);
        let mut lost = Vec::new();
        for (slot, (epoch, granted)) in &mut round.slots {
            let Some(mine) = self.slots.get_mut(slot).filter(|it| it.epoch == *epoch) else { continue };
            if answer.refused.contains(slot) {
                mine.refused |= bit;
                if mine.refused.count_ones() >= enough {
                    lost.push(*slot);
                }
            } else {
                mine.refused &= !bit;
                *granted |= bit;
                if granted.count_ones() >= enough {
                    mine.until = mine.until.max(until);
                }
            }
        }
        for slot in lost {
            self.lose(slot, out);
            self.books.remove(&slot.bucket());
        }
    }

    /// Releases are told to councillors, who otherwise keep the slots for a lease more.
    pub(super) fn tell_releases(&self, out: &mut dyn Effects) {
        let all: Vec<(Slot, Epoch)> = self.let_go.iter().map(|it| (*it.0, *it.1)).collect();
        for page in all.chunks(PAGE) {
            let message = Release { instance: self.me.1, slots: page.to_vec() };
            self.terms.councillors.iter().for_each(|to| out.release(*to, &message));
        }
    }
}
