//! Processes one input and everything that follows from it, and collects what the caller has to carry out.

use super::messages::{CouncilMessage, Out};
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
        if let Some(it) = self.seat.turned() {
            log::sound(it);
            if let (true, Some(held)) = (it, &mut self.leases) {
                held.renewals.restart_quiet_period(now);
            }
        }
        let holder = self.leases.as_ref().map(|it| &it.holder);
        out.part = self.part.look(now, holder, out.shrunk).or(out.part.take());
    }

    /// Queues messages to this member as inputs and passes the others out.
    fn sort(&mut self, work: PendingWork, queue: &mut VecDeque<Input>, out: &mut Outputs) {
        let mut posts = work.posts;
        work.notes.into_iter().for_each(|it| self.lease_counters.count(it));
        work.told.iter().for_each(log::note);
        for stand in work.stands {
            let post = |to: &MemberId| (*to, CouncilMessage::Stand(self.me.1, stand.clone()));
            posts.extend(self.terms.councillors.iter().map(post));
        }
        for (to, post) in posts {
            if to == self.me.0 {
                queue.push_back(Input::Heard(to, post));
            } else if let Some(bytes) = post.bytes() {
                out.messages.push(Out { to, topic: post.topic(), bytes });
            }
        }
        out.writes.extend(work.writes);
        out.shrunk |= work.shrunk;
        queue.extend(work.inputs);
    }
}
