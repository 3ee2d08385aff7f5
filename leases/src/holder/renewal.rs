//! Renewal of leases: a request to every councillor four times per lease. A renewal counts from when the
//! request was sent.

use super::*;
use crate::messages::{Release, Renew};

/// Rounds whose answers can still count: those of one lease, and one more for a slot that was taken up in
/// between.
const MAX_ROUNDS: usize = 6;

impl Holder {
    pub(super) fn renew_when_due(&mut self, now: Ms, effects: &mut dyn Effects) {
        if Timestamp(now) < self.next_renewal {
            return;
        }
        let lease = self.config.holder_lease();
        self.rounds.retain(|round| now < round.sent.0 + lease);
        self.next_renewal = Timestamp(now + self.config.renew_every());
        let all: Vec<(Slot, Epoch)> = self.slots.iter().map(|(slot, own)| (*slot, own.epoch)).collect();
        let pages = all.len().div_ceil(SLOTS_PER_PAGE);
        while self.rounds.len() + pages > MAX_ROUNDS * pages.max(1) {
            self.rounds.pop_front();
        }
        for page in all.chunks(SLOTS_PER_PAGE) {
            self.last_round = self.last_round.wrapping_add(1);
            let request = Renew { instance: self.own_id.1, number: self.last_round, slots: page.to_vec() };
            let slots = page.iter().map(|(slot, epoch)| (*slot, (*epoch, 0))).collect();
            self.rounds.push_back(RenewalRound { number: self.last_round, sent: Timestamp(now), slots });
            for councillor in self.config.councillors.clone() {
                effects.note(LeaseEvent::RenewalSent { bytes: request.bytes() });
                effects.renew(councillor, &request);
            }
        }
    }

    /// Handles a councillor's answer. A renewal that a majority granted counts from when it was requested; a
    /// slot that a majority refused is lost at once, and its register is read again.
    pub fn renewed(&mut self, now: Ms, from: MemberId, answer: &Renewed, effects: &mut dyn Effects) {
        let position = self.config.councillors.iter().position(|councillor| *councillor == from);
        let Some(voter) = position.filter(|position| *position < 8) else { return };
        let (bit, majority, lease) = (1u8 << voter, self.config.majority(), self.config.holder_lease());
        let from_sending = self.config.guards.send_time();
        let own_instance = self.own_id.1;
        let answered =
            |round: &&mut RenewalRound| round.number == answer.number && answer.instance == own_instance;
        let Some(round) = self.rounds.iter_mut().find(answered) else { return };
        let since = if from_sending { round.sent.0 } else { now };
        let until = Timestamp(since + lease);
        let mut lost = Vec::new();
        for (slot, (epoch, granted)) in &mut round.slots {
            let Some(own) = self.slots.get_mut(slot).filter(|own| own.epoch == *epoch) else { continue };
            if answer.refused.contains(slot) {
                own.refused |= bit;
                if own.refused.count_ones() >= majority {
                    lost.push(*slot);
                }
            } else {
                own.refused &= !bit;
                *granted |= bit;
                if granted.count_ones() >= majority {
                    own.until = own.until.max(until);
                }
            }
        }
        for slot in lost {
            self.lose(slot, effects);
            self.known.remove(&slot.bucket());
        }
    }

    /// Tells the councillors about released slots, which they would otherwise protect for another lease.
    pub(super) fn send_releases(&self, effects: &mut dyn Effects) {
        let all: Vec<(Slot, Epoch)> = self.released.iter().map(|(slot, epoch)| (*slot, *epoch)).collect();
        for page in all.chunks(SLOTS_PER_PAGE) {
            let message = Release { instance: self.own_id.1, slots: page.to_vec() };
            self.config.councillors.iter().for_each(|councillor| effects.release(*councillor, &message));
        }
    }
}
