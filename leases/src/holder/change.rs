//! How a member comes to hold more or fewer slots: it changes one register at a time.

use super::*;
use crate::bucket::SLOTS_PER_BUCKET;
use crate::error::LeaseError;

/// The longest wait after a first conflict, as a fraction of the lease; doubled at each further conflict.
const BACK_OFF: f64 = 1.0 / 128.0;
const MAX_DOUBLINGS: u32 = 5;

impl Holder {
    /// How long the council may take to answer.
    pub(super) fn answer_timeout(&self) -> Ms {
        self.config.lease() * 0.5
    }

    /// Gives up waiting for an answer. The change may have been made or not, so the register is read before
    /// the next attempt.
    pub(super) fn abandon_pending(&mut self, now: Ms) {
        if let Some((id, _)) = self.pending.take() {
            self.known.remove(&id);
        }
        self.back_off(now);
    }

    /// Waits for a random time, so that members whose changes conflicted do not collide again.
    fn back_off(&mut self, now: Ms) {
        let doublings = self.retries.min(MAX_DOUBLINGS);
        let longest = self.config.lease() * (BACK_OFF * f64::from(1 << doublings));
        self.retries += 1;
        self.next_action = Timestamp(now + longest * ((1 + self.random_below(64)) as f64 / 64.0));
    }

    /// Handles the council's answer to the last read or proposal.
    ///
    /// # Errors
    /// [`LeaseError::Body`] if the register can't be decoded; it is read again later.
    pub fn council_answered(
        &mut self,
        now: Ms,
        id: BucketId,
        answer: Answer,
        effects: &mut dyn Effects,
    ) -> Result<(), LeaseError> {
        let was_pending = self.pending.is_some_and(|(pending, _)| pending == id);
        if was_pending {
            self.pending = None;
        }
        let result = match answer {
            Answer::Chosen { revision, body } => {
                let result = self.register_changed(id, revision, &body, effects);
                if was_pending && result.is_ok() {
                    // Where all buckets are known and full, another read is not urgent and costs the council.
                    let rereading = std::mem::take(&mut self.rereading);
                    let pause = if rereading { self.config.renew_every() } else { Ms(0.0) };
                    (self.retries, self.next_action) = (0, Timestamp(now + pause));
                }
                result
            }
            Answer::Conflict { revision, body } => {
                effects.note(LeaseEvent::Conflict);
                // The known value may come from a store that has been lost since; the answer has the current
                // one.
                self.known.remove(&id);
                let result = self.register_changed(id, revision, &body, effects);
                self.back_off(now);
                // Without this immediate retry, of several members told to shut down at the same time one
                // gave its slots back, and the others were gone before their next attempt.
                if self.leaving && self.released.keys().any(|slot| slot.bucket() == id) {
                    self.propose_release(now, id, effects);
                }
                result
            }
            Answer::Refused => {
                effects.note(LeaseEvent::Refused);
                let retry_after = Timestamp(now + self.config.renew_every());
                self.known.entry(id).and_modify(|known| known.retry_after = retry_after);
                self.back_off(now);
                Ok(())
            }
        };
        if result.is_err() {
            self.next_action = Timestamp(now + self.answer_timeout());
        }
        self.handle_deadline(now, effects);
        result
    }

    /// Releases what was given up, else stops using slots above the target, else asks for missing slots.
    /// Without a lease in force the council can't be reached: nothing is given up then, so that all slots
    /// come back as they were.
    pub(super) fn act(&mut self, now: Ms, effects: &mut dyn Effects) {
        let retained = self.retained_slots();
        if let Some(id) = self.released.keys().next().map(|slot| slot.bucket()) {
            self.send_releases(effects);
            self.propose_release(now, id, effects);
        } else if retained > self.target && self.current_share(now).is_some() {
            self.stop_slots(now, usize::from(retained - self.target), effects);
        } else if retained < self.target {
            self.request_slots(now, usize::from(self.target - retained), effects);
        } else {
            self.next_action = Timestamp(now + self.config.renew_every());
        }
    }

    /// This member shuts down: from now on it holds nothing and takes up nothing. As with any smaller share,
    /// [`Holder::finish_shrink`] gives all slots back once the caller no longer uses them.
    pub fn leave(&mut self, now: Ms, effects: &mut dyn Effects) {
        (self.leaving, self.target) = (true, 0);
        self.slots.values_mut().for_each(|own| own.stopping = true);
        effects.shrink(self.current_share(now));
    }

    /// Whether no register known here assigns a slot to this member.
    pub fn has_released_all(&self) -> bool {
        self.slots.is_empty() && self.released.is_empty()
    }

    /// Proposes the release in all registers at once, since a member that shuts down has no time to do so one
    /// after the other. The councillors carry out what is not answered in time; slots whose release is lost
    /// go to others at the end of the lease.
    pub(super) fn propose_all_releases(&mut self, now: Ms, effects: &mut dyn Effects) {
        let all: BTreeSet<BucketId> = self.released.keys().map(|slot| slot.bucket()).collect();
        all.into_iter().for_each(|id| self.propose_release(now, id, effects));
    }

    fn propose_release(&mut self, now: Ms, id: BucketId, effects: &mut dyn Effects) {
        let indices: Vec<usize> = self
            .released
            .keys()
            .filter(|slot| slot.bucket() == id)
            .map(|slot| slot.index_in_bucket())
            .collect();
        self.change(now, id, effects, |bucket, own_id| bucket.release(&indices, own_id));
    }

    /// Takes slots out of the bucket where this member has fewest, so that few registers are written for it
    /// later.
    fn stop_slots(&mut self, now: Ms, count: usize, effects: &mut dyn Effects) {
        let mut per_bucket: BTreeMap<BucketId, usize> = BTreeMap::new();
        self.slots.keys().for_each(|slot| *per_bucket.entry(slot.bucket()).or_default() += 1);
        let fewest = per_bucket.iter().min_by_key(|(id, count)| (**count, **id)).map(|(id, _)| *id);
        let stopped = self.slots.iter_mut().filter(|(slot, _)| Some(slot.bucket()) == fewest).take(count);
        stopped.for_each(|(_, own)| own.stopping = true);
        self.next_action = Timestamp(now + self.config.renew_every());
        effects.shrink(self.current_share(now));
    }

    /// Asks for slots in the bucket that has most to give; else reads a bucket that is not known; else reads
    /// any bucket again, at random.
    fn request_slots(&mut self, now: Ms, count: usize, effects: &mut dyn Effects) {
        let alive = self.alive.clone();
        // Right after the start the list of members may be incomplete.
        let settled = !alive.is_empty() && now >= self.started.0 + self.config.lease();
        let own_id = self.own_id;
        let gone = move |id: MemberId, instance: InstanceId| {
            settled && (id, instance) != own_id && alive.get(&id).is_none_or(|current| *current != instance)
        };
        let expired = |bucket: &Bucket| bucket.expire(SLOTS_PER_BUCKET, &gone).free() - bucket.free();
        let available =
            |known: &KnownBucket| (known.bucket.free().min(count), expired(&known.bucket).min(count));
        let candidates: Vec<((usize, usize), BucketId)> = self
            .known
            .iter()
            .filter(|(_, known)| Timestamp(now) >= known.retry_after)
            .map(|(id, known)| (available(known), *id))
            .filter(|(available, _)| *available != (0, 0))
            .collect();
        let best = candidates.iter().map(|(available, _)| *available).max();
        let best_buckets: Vec<BucketId> =
            candidates.iter().filter(|(available, _)| Some(*available) == best).map(|(_, id)| *id).collect();
        if let Some((free, _)) = best {
            // One of the best at random: members that know the same do not all choose the same register.
            let id = best_buckets[self.random_below(best_buckets.len())];
            // Free slots first: a change that takes only these waits for no lease.
            let expire_count = if free > 0 { 0 } else { count };
            self.change(now, id, effects, |bucket, own_id| {
                bucket.expire(expire_count, &gone).acquire(count, own_id)
            });
            return;
        }
        let all: Vec<BucketId> = self.config.buckets().collect();
        let unknown: Vec<BucketId> = all.iter().filter(|id| !self.known.contains_key(id)).copied().collect();
        let choices = if unknown.is_empty() { &all } else { &unknown };
        if choices.is_empty() {
            return;
        }
        let id = choices[self.random_below(choices.len())];
        self.rereading = unknown.is_empty();
        self.pending = Some((id, Timestamp(now)));
        effects.read(id);
    }

    /// Proposes a change of a bucket, or reads the bucket if its value is not known.
    fn change(
        &mut self,
        now: Ms,
        id: BucketId,
        effects: &mut dyn Effects,
        edit: impl FnOnce(&Bucket, (MemberId, InstanceId)) -> Bucket,
    ) {
        self.pending = Some((id, Timestamp(now)));
        let Some(known) = self.known.get(&id) else { return effects.read(id) };
        match edit(&known.bucket, self.own_id).encode() {
            Ok(body) => {
                effects.note(LeaseEvent::Proposed);
                effects.propose(id, known.revision, body);
            }
            // Not possible: a body has 834 bytes at most. Treated like an answer that does not come.
            Err(_) => self.next_action = Timestamp(now + self.answer_timeout()),
        }
    }
}
