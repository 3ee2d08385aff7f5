//! Processes one input and everything that follows from it, and collects what the caller has to carry out.

use super::messages::{CouncilMessage, OutgoingMessage};
use super::outputs::{Input, PendingWork};
use super::{log, Council, Outputs};
use ottersail::time::Ms;
use ottersail_membership::MemberId;
use std::collections::VecDeque;

/// Maximum number of inputs that may follow from one. It protects viewers against an endless loop of the state
/// machines; fewer than 100 have ever been seen.
const MAX_STEPS: usize = 10_000;

impl Council {
    /// Processes the pending work and everything that follows from it.
    pub(super) fn process(&mut self, now: Ms, mut work: PendingWork, out: &mut Outputs) {
        let mut queue: VecDeque<Input> = VecDeque::new();
        for _ in 0..MAX_STEPS {
            self.sort(work, &mut queue, out);
            work = PendingWork::default();
            let Some(input) = queue.pop_front() else { break };
            self.step(now, input, &mut work);
        }
        if let Some(participates) = self.seat.participation_change() {
            log::participation(participates);
            if let (true, Some(held)) = (participates, &mut self.leases) {
                held.renewals.restart_quiet_period(now);
            }
        }
        let holder = self.leases.as_ref().map(|leases| &leases.holder);
        out.part = self.part.update(now, holder, out.shrunk).or(out.part.take());
    }

    /// Queues messages to this member as inputs and passes the others out.
    fn sort(&mut self, work: PendingWork, queue: &mut VecDeque<Input>, out: &mut Outputs) {
        let mut messages = work.messages;
        work.lease_events.into_iter().for_each(|event| self.lease_counters.count(event));
        work.release_events.iter().for_each(log::note);
        for status in work.statuses {
            let message = |to: &MemberId| (*to, CouncilMessage::Status(self.me.1, status.clone()));
            messages.extend(self.terms.councillors.iter().map(message));
        }
        for (to, message) in messages {
            if to == self.me.0 {
                queue.push_back(Input::Received(to, message));
            } else if let Some(bytes) = message.bytes() {
                out.messages.push(OutgoingMessage { to, topic: message.topic(), bytes });
            }
        }
        out.writes.extend(work.writes);
        out.shrunk |= work.shrunk;
        queue.extend(work.inputs);
    }
}
