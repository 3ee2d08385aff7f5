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
struct AcceptorGuard<'a>(Option<&'a LeaseGrants>, Option<&'a Releases>);

impl Guard for AcceptorGuard<'_> {
    fn allows(&self, now: Ms, key: Key, held: &StoredState, to: &Value) -> bool {
        let no = match key {
            Key::Founding => return true,
            Key::Slots(no) => no,
            Key::Order(_) => return allows(now, self.1, key, held, to),
        };
        let from = held.accepted(key).map_or(&[][..], |value| &value.body);
        // Without the founding configuration, slots cannot be identified.
        self.0.is_some_and(|grants| grants.allows_encoded(now, BucketId(no), from, &to.body))
    }
}

impl Council {
    /// Passes one input to the state machine that it is for.
    pub(super) fn step(&mut self, now: Ms, input: Input, work: &mut PendingWork) {
        let guard =
            AcceptorGuard(self.leases.as_ref().map(|leases| &leases.renewals), self.releases.as_ref());
        match input {
            Input::Timer => {
                self.seat.on_timer(now, &guard, work);
                if let Some(held) = &mut self.leases {
                    held.holder.handle_deadline(now, work);
                }
                if let Some(releases) = &mut self.releases {
                    releases.on_timer(now, work);
                }
            }
            Input::Received(from, CouncilMessage::Council(message)) => {
                self.seat.on_message(now, from, &message, &guard, work)
            }
            Input::Received(from, CouncilMessage::Renew(renew)) => self.renew(now, from, &renew, work),
            Input::Received(from, CouncilMessage::Renewed(renewed)) => {
                if let Some(held) = &mut self.leases {
                    held.holder.renewed(now, from, &renewed, work);
                }
            }
            Input::Received(from, CouncilMessage::Status(instance, status)) => {
                self.on_status(now, from, instance, &status)
            }
            Input::Received(from, CouncilMessage::Release(release)) => {
                if let Some(held) = &mut self.leases {
                    held.renewals.release(now, from, &release);
                }
            }
            Input::Persisted(token) => self.seat.on_persisted(now, token, &guard, work),
            Input::Chosen(key, value) => self.chosen(now, key, &value, work),
            Input::Answered(number, outcome) => self.answered(now, number, outcome, work),
            Input::Read(no) => self.submit_request(now, Request::Read(no), Change::Read, work),
            Input::Propose(no, revision, body) => {
                self.submit_request(now, Request::Propose(no), set(revision, body), work);
            }
            Input::ProposeRelease(key, revision, body) => {
                self.submit_request(now, Request::Order(key), set(revision, body), work);
            }
        }
    }

    /// Submits a request of this member to the council.
    pub(super) fn submit_request(
        &mut self,
        now: Ms,
        request: Request,
        change: Change,
        work: &mut PendingWork,
    ) {
        let guard =
            AcceptorGuard(self.leases.as_ref().map(|leases| &leases.renewals), self.releases.as_ref());
        self.last_request_number += 1;
        self.pending_requests.insert(self.last_request_number, (request, now));
        self.seat.submit(now, self.last_request_number, (request.key(), change), &guard, work);
    }

    /// Only a participating councillor answers, since its answer counts towards a majority.
    fn renew(&mut self, now: Ms, from: MemberId, renew: &Renew, work: &mut PendingWork) {
        let (Some(seat), Some(held)) = (self.seat.participating_councillor(), &mut self.leases) else {
            return;
        };
        let registers = &seat.acceptor().stored().registers;
        let terms = &held.terms;
        let accepted = |slot: Slot| {
            let no = slot.bucket();
            let accepted = registers.get(&Key::Slots(no.0)).and_then(|register| register.accepted.as_ref());
            let bucket =
                accepted.and_then(|accepted| Bucket::decode(no, terms.slots_in(no), &accepted.1.body).ok());
            bucket.map_or(SlotEntry::default(), |bucket| entry_of(terms, &bucket, no, slot))
        };
        let answer = held.renewals.renew(now, from, renew, accepted);
        self.council_metrics.renewals(renew.slots.len() - answer.refused.len(), answer.refused.len());
        work.messages.push((from, CouncilMessage::Renewed(answer)));
    }

    fn chosen(&mut self, now: Ms, key: Key, value: &Value, work: &mut PendingWork) {
        log::chosen(key, value);
        match (key, &mut self.leases) {
            (Key::Founding, _) => self.founded(now, value),
            (Key::Order(_), _) => self.ordered(now, key, value, work),
            (Key::Slots(no), Some(held)) => {
                if let Err(error) =
                    held.holder.register_changed(BucketId(no), value.revision, &value.body, work)
                {
                    log::trouble(&error);
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
        if self.leases.as_ref().is_some_and(|leases| leases.terms == terms) {
            return;
        }
        log::founded(head, self.own);
        self.own = head;
        self.part.set_total_slots(head.slots);
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
        let Some((request, requested_at)) = self.pending_requests.remove(&number) else { return };
        self.council_metrics.answered(request, &outcome, now - requested_at);
        match request {
            Request::FoundingConfig => match outcome {
                Outcome::Chosen(value) | Outcome::Current(Some(value)) => self.founded(now, &value),
                Outcome::Current(None) => {
                    self.submit_request(now, Request::FoundingConfig, set(0, self.own.bytes()), work)
                }
                Outcome::Unanswered | Outcome::Rejected => {}
            },
            Request::Order(key) => self.put(now, key, &outcome, work),
            Request::Read(no) | Request::Propose(no) => {
                let answer = request.answer(outcome);
                // An answer that came after its timeout does not belong to a later request.
                if answer == Answer::Refused && number != self.last_request_number {
                    return;
                }
                if let Some(held) = &mut self.leases {
                    if let Err(error) = held.holder.council_answered(now, no, answer, work) {
                        log::trouble(&error);
                    }
                }
            }
        }
    }
}

/// The entry of a slot in its bucket. All buckets except the last are as long as the first.
fn entry_of(terms: &LeaseConfig, bucket: &Bucket, no: BucketId, slot: Slot) -> SlotEntry {
    let first = usize::from(no.0) * terms.slots_in(BucketId(0));
    bucket.entry(usize::from(slot.0) - first)
}
