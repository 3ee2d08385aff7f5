//! Viewers that watch: segments are fetched, shown, or stay out.

use super::event::Step;
use super::{Model, WAY};
use crate::player::Buffer;

/// A segment that takes longer counts as lost, in milliseconds.
const SEGMENT_PATIENCE: f64 = 15_000.0;

impl Model {
    /// A watch is over, another begins: what was seen of it counts.
    pub(super) fn count(&mut self, viewer: usize, done: &Buffer) {
        let best = self.plan.day.worth.get(self.viewers[viewer].wanted.best).copied().unwrap_or(1.0);
        self.figures.offered += done.offered;
        self.figures.earned += (done.earned - done.stalled / 1e3 * best).max(0.0);
        self.figures.stalled_ms += done.stalled;
    }

    pub(super) fn fetch(&mut self, viewer: usize) {
        let (now, segment) = (self.now, self.plan.day.segment);
        let it = &mut self.viewers[viewer];
        if now - it.began > it.wanted.leaves {
            return self.leaves(viewer);
        }
        let Some(first) = it.fetch.front() else {
            if it.ended {
                return self.leaves(viewer);
            }
            let span = if it.fetched { it.buffer.reloads_at(now, segment) - now } else { segment / 2.0 };
            return self.next(viewer, span, Step::Reload);
        };
        let wants = it.buffer.wants_at(now, segment);
        if wants > now {
            return self.next(viewer, wants - now, Step::Fetch);
        }
        let server = first.server;
        let share = self.links.report(server).delivered.unwrap_or(1.0);
        let there = self.links.servers[server.0].alive;
        let held = self.links.servers[server.0].held.get_mut(&first.vw).filter(|_| there);
        let Some(held) = held else {
            return self.broke(viewer);
        };
        held.seen = now;
        // A segment comes at once where all is given. On a short link each viewing gets its share of its rate
        // and no more, so that a segment takes longer to come than to be shown.
        let wait = if share < 1.0 { segment / share.max(0.01) } else { 0.0 };
        if wait > SEGMENT_PATIENCE {
            return self.broke(viewer);
        }
        self.next(viewer, wait + 2.0 * WAY, Step::Fetched);
    }

    pub(super) fn broke(&mut self, viewer: usize) {
        let it = &mut self.viewers[viewer];
        it.failures += 1;
        it.fetch.clear();
        if it.failures > 8 {
            it.watch = None;
            return self.again(viewer, 0.0);
        }
        self.next(viewer, 250.0, Step::Reload);
    }

    pub(super) fn fetched(&mut self, viewer: usize) {
        let now = self.now;
        let worth = |rung: usize| self.plan.day.worth.get(rung).copied().unwrap_or(1.0);
        let it = &mut self.viewers[viewer];
        let Some(segment) = it.fetch.pop_front() else {
            return;
        };
        if it.buffer.rung.is_none() {
            self.figures.start_ms += now - it.asked_at;
        }
        it.buffer.takes(now, &segment, worth(segment.rung), worth(it.wanted.best));
        (it.fetched, it.failures) = (true, 0);
        self.fetch(viewer);
    }
}
