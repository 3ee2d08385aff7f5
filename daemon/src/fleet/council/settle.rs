//! From one input to all that follows from it, and what is to be done outside.

use super::post::{Out, Post};
use super::wants::{Input, Wants};
use super::{lines, Council, Outs};
use ottersail::time::Ms;
use ottersail_membership::MemberId;
use std::collections::VecDeque;

/// Inputs that follow from one at most. Guards viewers against machines that go on and on: it never was 100.
const MOST_STEPS: usize = 10_000;

impl Council {
    /// Goes through all that follows.
    pub(super) fn settle(&mut self, now: Ms, mut wants: Wants, out: &mut Outs) {
        let mut queue: VecDeque<Input> = VecDeque::new();
        for _ in 0..MOST_STEPS {
            self.sort(wants, &mut queue, out);
            wants = Wants::default();
            let Some(input) = queue.pop_front() else { break };
            self.step(now, input, &mut wants);
        }
        if let Some(it) = self.seat.turned() {
            lines::sound(it);
            if let (true, Some(held)) = (it, &mut self.held) {
                held.renewals.restart_quiet_period(now);
            }
        }
        let holder = self.held.as_ref().map(|it| &it.holder);
        out.part = self.share.look(now, holder, out.shrunk).or(out.part.take());
    }

    /// Own messages come back in; the rest goes out.
    fn sort(&mut self, wants: Wants, queue: &mut VecDeque<Input>, out: &mut Outs) {
        let mut posts = wants.posts;
        wants.notes.into_iter().for_each(|it| self.figures.count(it));
        wants.told.iter().for_each(lines::note);
        for stand in wants.stands {
            let post = |to: &MemberId| (*to, Post::Stand(self.me.1, stand.clone()));
            posts.extend(self.terms.councillors.iter().map(post));
        }
        for (to, post) in posts {
            if to == self.me.0 {
                queue.push_back(Input::Heard(to, post));
            } else if let Some(bytes) = post.bytes() {
                out.tells.push(Out { to, topic: post.topic(), bytes });
            }
        }
        out.keeps.extend(wants.keeps);
        out.shrunk |= wants.shrunk;
        queue.extend(wants.inputs);
    }
}
