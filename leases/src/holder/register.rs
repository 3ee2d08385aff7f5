//! What a holder learns from the council's registers: which slots are assigned to it, and which it has lost.

use super::*;
use crate::error::LeaseError;

impl Holder {
    /// A register's value, learned by following the council or from an answer. It must have been chosen by
    /// the council: a councillor also grants epochs that it has not accepted itself yet.
    ///
    /// # Errors
    /// [`LeaseError::Body`]; nothing is changed then.
    pub fn register_changed(
        &mut self,
        id: BucketId,
        revision: u64,
        body: &[u8],
        effects: &mut dyn Effects,
    ) -> Result<(), LeaseError> {
        if self.known.get(&id).is_some_and(|known| known.revision >= revision) {
            return Ok(());
        }
        let bucket = Bucket::decode(id, self.config.slots_in(id), body)?;
        for (index, entry) in bucket.entries() {
            let slot = id.slot(index);
            if self.released.get(&slot).is_some_and(|epoch| entry.epoch > *epoch) {
                self.released.remove(&slot);
            }
            let own_epoch = self.slots.get(&slot).map(|own| own.epoch);
            if own_epoch.is_some_and(|epoch| epoch < entry.epoch) {
                self.lose(slot, effects);
            }
            let new = own_epoch.is_none_or(|epoch| epoch < entry.epoch) && !self.released.contains_key(&slot);
            if entry.held == Some(self.own_id) && new && self.leaving {
                // It was asked for before this member was told to shut down, and never counted: give it back.
                self.released.insert(slot, entry.epoch);
            } else if entry.held == Some(self.own_id) && new {
                effects.note(LeaseEvent::Acquired);
                let own =
                    OwnSlot { epoch: entry.epoch, until: Timestamp::NEVER, refused: 0, stopping: false };
                self.slots.insert(slot, own);
                // A slot counts from its first renewal: don't wait for the next round.
                self.next_renewal = Timestamp::NEVER;
            }
        }
        self.known.insert(id, KnownBucket { revision, bucket, retry_after: Timestamp::NEVER });
        Ok(())
    }

    pub(super) fn lose(&mut self, slot: Slot, effects: &mut dyn Effects) {
        self.slots.remove(&slot);
        effects.note(LeaseEvent::Lost);
    }
}
