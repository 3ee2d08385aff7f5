//! One input of the machines after the other.

use super::keys::{set, Ask, Head};
use super::post::Post;
use super::release_guard::allows;
use super::releases::Releases;
use super::wants::{Input, Wants};
use super::{lines, Council, Held};
use ottersail::time::Ms;
use ottersail_consensus::{Change, Guard, Key, MemberId, Outcome, StoredState, Value};
use ottersail_leases::{
    Answer, Bucket, BucketId, Holder, LeaseConfig, LeaseGrants, Renew, Slot, SlotBalancer, SlotEntry,
};

/// The leases stand in the way of slots that would be given to another too early, and what a councillor sees in
/// the way of permits.
struct Leases<'a>(Option<&'a LeaseGrants>, Option<&'a Releases>);

impl Guard for Leases<'_> {
    fn allows(&self, now: Ms, key: Key, held: &StoredState, to: &Value) -> bool {
        let no = match key {
            Key::Founding => return true,
            Key::Slots(no) => no,
            Key::Order(_) => return allows(now, self.1, key, held, to),
        };
        let from = held.accepted(key).map_or(&[][..], |it| &it.body);
        // Without the founding's figures no slots can be told apart.
        self.0.is_some_and(|it| it.allows_encoded(now, BucketId(no), from, &to.body))
    }
}

impl Council {
    pub(super) fn step(&mut self, now: Ms, input: Input, wants: &mut Wants) {
        let guard = Leases(self.held.as_ref().map(|it| &it.renewals), self.releases.as_ref());
        match input {
            Input::Bell => {
                self.seat.on_timer(now, &guard, wants);
                if let Some(held) = &mut self.held {
                    held.holder.handle_deadline(now, wants);
                }
                if let Some(it) = &mut self.releases {
                    it.bell(now, wants);
                }
            }
            Input::Heard(from, Post::Council(it)) => self.seat.on_message(now, from, &it, &guard, wants),
            Input::Heard(from, Post::Renew(it)) => self.renew(now, from, &it, wants),
            Input::Heard(from, Post::Renewed(it)) => {
                if let Some(held) = &mut self.held {
                    held.holder.renewed(now, from, &it, wants);
                }
            }
            Input::Heard(from, Post::Stand(life, it)) => self.stood(now, from, life, &it),
            Input::Heard(from, Post::Release(it)) => {
                if let Some(held) = &mut self.held {
                    held.renewals.release(now, from, &it);
                }
            }
            Input::Kept(token) => self.seat.on_persisted(now, token, &guard, wants),
            Input::Chosen(key, value) => self.chosen(now, key, &value, wants),
            Input::Answered(number, outcome) => self.answered(now, number, outcome, wants),
            Input::Read(no) => self.ask(now, Ask::Read(no), Change::Read, wants),
            Input::Propose(no, revision, body) => {
                self.ask(now, Ask::Propose(no), set(revision, body), wants);
            }
            Input::Put(key, revision, body) => {
                self.ask(now, Ask::Order(key), set(revision, body), wants);
            }
        }
    }

    pub(super) fn ask(&mut self, now: Ms, what: Ask, change: Change, wants: &mut Wants) {
        let guard = Leases(self.held.as_ref().map(|it| &it.renewals), self.releases.as_ref());
        self.number += 1;
        self.asked.insert(self.number, (what, now));
        self.seat.submit(now, self.number, (what.key(), change), &guard, wants);
    }

    /// Only a councillor that takes part answers: another's word would count towards a majority.
    fn renew(&mut self, now: Ms, from: MemberId, ask: &Renew, wants: &mut Wants) {
        let (Some(seat), Some(held)) = (self.seat.participating_councillor(), &mut self.held) else { return };
        let registers = &seat.acceptor().stored().registers;
        let terms = &held.terms;
        let accepted = |slot: Slot| {
            let no = slot.bucket();
            let body = registers.get(&Key::Slots(no.0)).and_then(|it| it.accepted.as_ref());
            let bucket = body.and_then(|it| Bucket::decode(no, terms.slots_in(no), &it.1.body).ok());
            bucket.map_or(SlotEntry::default(), |it| seat_of(terms, &it, no, slot))
        };
        let answer = held.renewals.renew(now, from, ask, accepted);
        self.tally.renewals(ask.slots.len() - answer.refused.len(), answer.refused.len());
        wants.posts.push((from, Post::Renewed(answer)));
    }

    fn chosen(&mut self, now: Ms, key: Key, value: &Value, wants: &mut Wants) {
        lines::chosen(key, value);
        match (key, &mut self.held) {
            (Key::Founding, _) => self.founded(now, value),
            (Key::Order(_), _) => self.ordered(now, key, value, wants),
            (Key::Slots(no), Some(held)) => {
                if let Err(trouble) =
                    held.holder.register_changed(BucketId(no), value.revision, &value.body, wants)
                {
                    lines::trouble(&trouble);
                }
            }
            _ => {}
        }
    }

    /// The figures of the founding stand, whatever this member's settings say.
    fn founded(&mut self, now: Ms, value: &Value) {
        let Some(head) = Head::read(&value.body) else {
            return lines::unknown_head(value.body.len());
        };
        let terms = head.terms(&self.terms.councillors);
        if self.held.as_ref().is_some_and(|it| it.terms == terms) {
            return;
        }
        lines::founded(head, self.own);
        self.own = head;
        self.share.cut(head.slots);
        self.held = Some(self.holding(now, terms));
    }

    fn holding(&self, now: Ms, terms: LeaseConfig) -> Held {
        Held {
            holder: Holder::new(now, self.seed, self.me, terms.clone()),
            needs: SlotBalancer::new(now, self.me.0, terms.clone()),
            renewals: LeaseGrants::new(now, terms.clone()),
            terms,
        }
    }

    fn answered(&mut self, now: Ms, number: u64, outcome: Outcome, wants: &mut Wants) {
        let Some((ask, asked)) = self.asked.remove(&number) else { return };
        self.tally.answered(ask, &outcome, now - asked);
        match ask {
            Ask::Head => match outcome {
                Outcome::Chosen(value) | Outcome::Current(Some(value)) => self.founded(now, &value),
                Outcome::Current(None) => self.ask(now, Ask::Head, set(0, self.own.bytes()), wants),
                Outcome::Unanswered | Outcome::Rejected => {}
            },
            Ask::Order(key) => self.put(now, key, &outcome, wants),
            Ask::Read(no) | Ask::Propose(no) => {
                let answer = ask.answer(outcome);
                // What came too late to be waited for is no answer to what was asked since.
                if answer == Answer::Refused && number != self.number {
                    return;
                }
                if let Some(held) = &mut self.held {
                    if let Err(trouble) = held.holder.council_answered(now, no, answer, wants) {
                        lines::trouble(&trouble);
                    }
                }
            }
        }
    }
}

/// All buckets but the last are as long as the first.
fn seat_of(terms: &LeaseConfig, bucket: &Bucket, no: BucketId, slot: Slot) -> SlotEntry {
    let first = usize::from(no.0) * terms.slots_in(BucketId(0));
    bucket.entry(usize::from(slot.0) - first)
}
