//! How a member comes to hold more or less: one change of one register at a time.

use super::*;
use crate::bucket::SLOTS_PER_BUCKET;

/// The shortest wait after a conflict, as a part of the lease; doubled at each further one.
const BACK_OFF: f64 = 1.0 / 128.0;
const MOST_DOUBLED: u32 = 5;

impl Holder {
    /// How long the council may take to answer.
    pub(super) fn patience(&self) -> Ms {
        self.terms.lease() * 0.5
    }

    /// What was asked got no answer: it may have been done or not, so the register is read before the next try.
    pub(super) fn put_off(&mut self, now: Ms) {
        if let Some((no, _)) = self.asked.take() {
            self.books.remove(&no);
        }
        self.back_off(now);
    }

    /// By chance, so that members who met do not meet again.
    fn back_off(&mut self, now: Ms) {
        let longest = self.terms.lease() * (BACK_OFF * f64::from(1 << self.tries.min(MOST_DOUBLED)));
        self.tries += 1;
        self.act_at = Timestamp(now + longest * ((1 + self.below(64)) as f64 / 64.0));
    }

    /// The council's answer to the last reading or proposal.
    ///
    /// # Errors
    /// [`LeaseError::Body`] if the register cannot be read; it is tried again later.
    pub fn council_answered(
        &mut self,
        now: Ms,
        no: BucketId,
        answer: Answer,
        out: &mut dyn Effects,
    ) -> Result<(), LeaseError> {
        let waited_for = self.asked.is_some_and(|it| it.0 == no);
        if waited_for {
            self.asked = None;
        }
        let read = match answer {
            Answer::Chosen { revision, body } => {
                let read = self.register_changed(no, revision, &body, out);
                if waited_for && read.is_ok() {
                    // Where all is known and full, looking again is no hurry and each look costs the council.
                    let pause =
                        if std::mem::take(&mut self.looked) { self.terms.renew_every() } else { Ms(0.0) };
                    (self.tries, self.act_at) = (0, Timestamp(now + pause));
                }
                read
            }
            Answer::Conflict { revision, body } => {
                out.note(LeaseEvent::Conflict);
                // What is known may come from a store that has been lost since: what stands is told here.
                self.books.remove(&no);
                let read = self.register_changed(no, revision, &body, out);
                self.back_off(now);
                // Symptom without that: of those told to end at once one gives back, the others go before their
                // next try.
                if self.leaving && self.let_go.keys().any(|it| it.bucket() == no) {
                    self.propose_release(now, no, out);
                }
                read
            }
            Answer::Refused => {
                out.note(LeaseEvent::Refused);
                let shut_until = Timestamp(now + self.terms.renew_every());
                self.books.entry(no).and_modify(|it| it.shut_until = shut_until);
                self.back_off(now);
                Ok(())
            }
        };
        if read.is_err() {
            self.act_at = Timestamp(now + self.patience());
        }
        self.handle_deadline(now, out);
        read
    }

    /// With no lease in force the council is gone: nothing is given up then, so that all comes back as it was.
    /// Gives back what is let go, else stops using what is too much, else asks for what is missing.
    pub(super) fn act(&mut self, now: Ms, out: &mut dyn Effects) {
        let kept = self.retained_slots();
        if let Some(no) = self.let_go.keys().next().map(|it| it.bucket()) {
            self.tell_releases(out);
            self.propose_release(now, no, out);
        } else if kept > self.wanted && self.current_share(now).is_some() {
            self.stop_some(now, usize::from(kept - self.wanted), out);
        } else if kept < self.wanted {
            self.ask_more(now, usize::from(self.wanted - kept), out);
        } else {
            self.act_at = Timestamp(now + self.terms.renew_every());
        }
    }

    /// This member ends: from now on nothing is held, and nothing is taken up any more. As with any smaller
    /// part, once nothing rests on what was held: [`Holder::finish_shrink`], which gives all of it back.
    pub fn leave(&mut self, now: Ms, out: &mut dyn Effects) {
        (self.leaving, self.wanted) = (true, 0);
        self.slots.values_mut().for_each(|it| it.stopping = true);
        out.shrink(self.current_share(now));
    }

    /// No register that is known here has a slot in this member's name.
    pub fn has_released_all(&self) -> bool {
        self.slots.is_empty() && self.let_go.is_empty()
    }

    /// All registers at once: who ends has no time for one after the other. What is not answered in time is
    /// done by the councillors all the same, and what is lost goes to others at the lease's end.
    pub(super) fn propose_all(&mut self, now: Ms, out: &mut dyn Effects) {
        let all: BTreeSet<BucketId> = self.let_go.keys().map(|it| it.bucket()).collect();
        all.into_iter().for_each(|no| self.propose_release(now, no, out));
    }

    fn propose_release(&mut self, now: Ms, no: BucketId, out: &mut dyn Effects) {
        let seats: Vec<usize> =
            self.let_go.keys().filter(|it| it.bucket() == no).map(|it| it.index_in_bucket()).collect();
        self.change(now, no, out, |bucket, me| bucket.release(&seats, me));
    }

    /// Out of the bucket where this member has fewest, so that few registers are written for it later.
    fn stop_some(&mut self, now: Ms, count: usize, out: &mut dyn Effects) {
        let mut mine: BTreeMap<BucketId, usize> = BTreeMap::new();
        self.slots.keys().for_each(|it| *mine.entry(it.bucket()).or_default() += 1);
        let least = mine.iter().min_by_key(|it| (*it.1, *it.0)).map(|it| *it.0);
        let some = self.slots.iter_mut().filter(|it| Some(it.0.bucket()) == least).take(count);
        some.for_each(|it| it.1.stopping = true);
        self.act_at = Timestamp(now + self.terms.renew_every());
        out.shrink(self.current_share(now));
    }

    /// In the bucket with most to be had; else one that is not known, else any one again, by chance.
    fn ask_more(&mut self, now: Ms, count: usize, out: &mut dyn Effects) {
        let alive = self.alive.clone();
        // After the own start the roster may not be whole yet.
        let settled = !alive.is_empty() && now >= self.new.0 + self.terms.lease();
        let me = self.me;
        let gone = move |id: MemberId, instance: InstanceId| {
            settled && (id, instance) != me && alive.get(&id).is_none_or(|it| *it != instance)
        };
        let lapsed = |it: &Bucket| it.expire(SLOTS_PER_BUCKET, &gone).free() - it.free();
        let most = |it: &Book| (it.bucket.free().min(count), lapsed(&it.bucket).min(count));
        let open = self.books.iter().filter(|it| Timestamp(now) >= it.1.shut_until);
        let open: Vec<((usize, usize), BucketId)> =
            open.map(|it| (most(it.1), *it.0)).filter(|it| it.0 != (0, 0)).collect();
        let best = open.iter().map(|it| it.0).max();
        let among: Vec<BucketId> = open.iter().filter(|it| Some(it.0) == best).map(|it| it.1).collect();
        if let Some((free, _)) = best {
            // One of the best by chance: members who know the same do not all go to the same register.
            let no = among[self.below(among.len())];
            // Free ones first: a change that only takes these waits for no lease.
            let expired = if free > 0 { 0 } else { count };
            self.change(now, no, out, |it, me| it.expire(expired, &gone).acquire(count, me));
            return;
        }
        let all: Vec<BucketId> = self.terms.buckets().collect();
        let unknown: Vec<BucketId> = all.iter().filter(|it| !self.books.contains_key(it)).copied().collect();
        let among = if unknown.is_empty() { &all } else { &unknown };
        if among.is_empty() {
            return;
        }
        let no = among[self.below(among.len())];
        self.looked = unknown.is_empty();
        self.asked = Some((no, Timestamp(now)));
        out.read(no);
    }

    fn change(
        &mut self,
        now: Ms,
        no: BucketId,
        out: &mut dyn Effects,
        by: impl FnOnce(&Bucket, (MemberId, InstanceId)) -> Bucket,
    ) {
        self.asked = Some((no, Timestamp(now)));
        let Some(book) = self.books.get(&no) else { return out.read(no) };
        match by(&book.bucket, self.me).encode() {
            Ok(body) => {
                out.note(LeaseEvent::Proposed);
                out.propose(no, book.revision, body);
            }
            // Cannot be: 834 bytes at most. Waited for like an answer that stays out.
            Err(_) => self.act_at = Timestamp(now + self.patience()),
        }
    }
}
