//! Passes inputs to the state machines one by one.

use super::messages::CouncilMessage;
use super::outputs::{Input, PendingWork};
use super::release_guard::allows;
use super::releases::Releases;
use super::requests::{set, FoundingConfig, Request};
use super::{log, Council, LeaseState};
use ottersail::time::Ms;
use ottersail_consensus::{Change, Guard, Key, MemberId, Outcome, StoredState, Value};
use ottersail_leases::{
    Answer, Bucket, BucketId, Holder, LeaseConfig, LeaseGrants, Renew, Slot, SlotBalancer, SlotEntry,
};

/// The acceptor's guard: leases refuse slots that are given to another member too early, and what the councillor sees
/// of the fleet limits permits.
struct Leases<'a>(Option<&'a LeaseGrants>, Option<&'a Releases>);

impl Guard for Leases<'_> {
    fn allows(&self, now: Ms, key: Key, held: &StoredState, to: &Value) -> bool {
        let no = match key {
            Key::Founding => return true,
            Key::Slots(no) => no,
            Key::Order(_) => return allows(now, self.1, key, held, to),
        };
        let from = held.accepted(key).map_or(&[][..], |it| &it.body);
        // Without the founding configuration, slots cannot be identified.
        self.0.is_some_and(|it| it.allows_encoded(now, BucketId(no), from, &to.body))
    }
}

impl Council {
    pub(super) fn step(&mut self, now: Ms, input: Input, work: &mut PendingWork) {
        let guard = Leases(self.leases.as_ref().map(|it| &it.renewals), self.releases.as_ref());
        match input {
            Input::Timer => {
                self.seat.on_timer(now, &guard, work);
                if let Some(held) = &mut self.leases {
                    held.holder.handle_deadline(now, work);
                }
                if let Some(it) = &mut self.releases {
                    it.on_timer(now, work);
                }
            }
            Input::Heard(from, CouncilMessage::Council(it)) => {
                self.seat.on_message(now, from, &it, &guard, work)
            }
            Input::Heard(from, CouncilMessage::Renew(it)) => self.renew(now, from, &it, work),
            Input::Heard(from, CouncilMessage::Renewed(it)) => {
                if let Some(held) = &mut self.leases {
                    held.holder.renewed(now, from, &it, work);
                }
            }
            Input::Heard(from, CouncilMessage::Stand(life, it)) => self.stood(now, from, life, &it),
            Input::Heard(from, CouncilMessage::Release(it)) => {
                if let Some(held) = &mut self.leases {
                    held.renewals.release(now, from, &it);
                }
            }
            Input::Kept(token) => self.seat.on_persisted(now, token, &guard, work),
            Input::Chosen(key, value) => self.chosen(now, key, &value, work),
            Input::Answered(number, outcome) => self.answered(now, number, outcome, work),
            Input::Read(no) => self.ask(now, Request::Read(no), Change::Read, work),
            Input::Propose(no, revision, body) => {
                self.ask(now, Request::Propose(no), set(revision, body), work);
            }
            Input::Put(key, revision, body) => {
                self.ask(now, Request::Order(key), set(revision, body), work);
            }
        }
    }

    pub(super) fn ask(&mut self, now: Ms, what: Request, change: Change, work: &mut PendingWork) {
        let guard = Leases(self.leases.as_ref().map(|it| &it.renewals), self.releases.as_ref());
        self.number += 1;
        self.asked.insert(self.number, (what, now));
        self.seat.submit(now, self.number, (what.key(), change), &guard, work);
    }

    /// Only a participating councillor answers, since its answer counts towards a majority.
    fn renew(&mut self, now: Ms, from: MemberId, ask: &Renew, work: &mut PendingWork) {
        let (Some(seat), Some(held)) = (self.seat.participating_councillor(), &mut self.leases) else {
            return;
        };
        let registers = &seat.acceptor().stored().registers;
        let terms = &held.terms;
        let accepted = |slot: Slot| {
            let no = slot.bucket();
            let body = registers.get(&Key::Slots(no.0)).and_then(|it| it.accepted.as_ref());
            let bucket = body.and_then(|it| Bucket::decode(no, terms.slots_in(no), &it.1.body).ok());
            bucket.map_or(SlotEntry::default(), |it| seat_of(terms, &it, no, slot))
        };
        let answer = held.renewals.renew(now, from, ask, accepted);
        self.council_metrics.renewals(ask.slots.len() - answer.refused.len(), answer.refused.len());
        work.posts.push((from, CouncilMessage::Renewed(answer)));
    }

    fn chosen(&mut self, now: Ms, key: Key, value: &Value, work: &mut PendingWork) {
        log::chosen(key, value);
        match (key, &mut self.leases) {
            (Key::Founding, _) => self.founded(now, value),
            (Key::Order(_), _) => self.ordered(now, key, value, work),
            (Key::Slots(no), Some(held)) => {
                if let Err(trouble) =
                    held.holder.register_changed(BucketId(no), value.revision, &value.body, work)
                {
                    log::trouble(&trouble);
                }
            }
            _ => {}
        }
    }

    /// Uses the configuration of the founding, whatever this member's settings say.
    fn founded(&mut self, now: Ms, value: &Value) {
        let Some(head) = FoundingConfig::read(&value.body) else {
            return log::unknown_head(value.body.len());
        };
        let terms = head.terms(&self.terms.councillors);
        if self.leases.as_ref().is_some_and(|it| it.terms == terms) {
            return;
        }
        log::founded(head, self.own);
        self.own = head;
        self.part.cut(head.slots);
        self.leases = Some(self.holding(now, terms));
    }

    fn holding(&self, now: Ms, terms: LeaseConfig) -> LeaseState {
        LeaseState {
            holder: Holder::new(now, self.seed, self.me, terms.clone()),
            needs: SlotBalancer::new(now, self.me.0, terms.clone()),
            renewals: LeaseGrants::new(now, terms.clone()),
            terms,
        }
    }

    fn answered(&mut self, now: Ms, number: u64, outcome: Outcome, work: &mut PendingWork) {
        let Some((ask, asked)) = self.asked.remove(&number) else { return };
        self.council_metrics.answered(ask, &outcome, now - asked);
        match ask {
            Request::FoundingConfig => match outcome {
                Outcome::Chosen(value) | Outcome::Current(Some(value)) => self.founded(now, &value),
                Outcome::Current(None) => {
                    self.ask(now, Request::FoundingConfig, set(0, self.own.bytes()), work)
                }
                Outcome::Unanswered | Outcome::Rejected => {}
            },
            Request::Order(key) => self.put(now, key, &outcome, work),
            Request::Read(no) | Request::Propose(no) => {
                let answer = ask.answer(outcome);
                // An answer that came after its timeout does not belong to a later request.
                if answer == Answer::Refused && number != self.number {
                    return;
                }
                if let Some(held) = &mut self.leases {
                    if let Err(trouble) = held.holder.council_answered(now, no, answer, work) {
                        log::trouble(&trouble);
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
