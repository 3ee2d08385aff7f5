//! Viewers: how they come, ask anew and leave.

use super::event::{Event, Step};
use super::kept::Viewer;
use super::{Model, START};
use crate::crowd::{draw, gap};
use crate::links::Manager;
use crate::player::Buffer;
use std::collections::VecDeque;

/// A viewer asks so often at most.
const MOST_TRIES: u8 = 3;

impl Model {
    pub(super) fn second(&self) -> f64 {
        (self.now - START) / 1e3
    }

    pub(super) fn arrive(&mut self) {
        let second = self.second();
        let gap = gap(&self.plan.day, &mut self.rng, second);
        if self.now + gap < self.end {
            self.after(gap, Event::Arrive);
        }
        let wanted = draw(&self.plan.day, &mut self.rng, second);
        let viewer = Viewer {
            wanted,
            life: 0,
            tries: 0,
            manager: Manager(0),
            ask: None,
            watch: None,
            buffer: Buffer::default(),
            fetch: VecDeque::new(),
            fetched: false,
            ended: false,
            began: 0.0,
            asked_at: 0.0,
            failures: 0,
        };
        self.watching += 1;
        let ix = match self.free.pop() {
            Some(ix) => {
                // Its numbers go on, so that nothing meant for who had the seat before reaches it.
                let life = self.viewers[ix].life + 1;
                self.viewers[ix] = Viewer { life, ..viewer };
                ix
            }
            None => {
                self.viewers.push(viewer);
                self.viewers.len() - 1
            }
        };
        self.step(ix, Step::Ask);
    }

    pub(super) fn next(&mut self, viewer: usize, span: f64, step: Step) {
        let life = self.viewers[viewer].life;
        self.after(span, Event::Step { viewer, life, step });
    }

    /// The viewer is gone for good.
    pub(super) fn leaves(&mut self, viewer: usize) {
        let it = &mut self.viewers[viewer];
        it.life += 1;
        it.ask = None;
        it.watch = None;
        self.figures.stalled_ms += it.buffer.stalled;
        let worst = it.buffer.stalled / 1e3 * self.plan.day.worth.get(it.wanted.best).copied().unwrap_or(1.0);
        self.figures.offered += it.buffer.offered;
        self.figures.earned += (it.buffer.earned - worst).max(0.0);
        it.buffer = Buffer::default();
        self.watching -= 1;
        self.free.push(viewer);
    }

    /// After a pause it may ask anew.
    pub(super) fn again(&mut self, viewer: usize, pause: f64) {
        let may = self.rng.f64() <= self.plan.day.come_again && self.viewers[viewer].tries < MOST_TRIES;
        if !may {
            return self.leaves(viewer);
        }
        let pause = pause + 200.0 + 800.0 * self.rng.f64();
        self.next(viewer, pause, Step::Ask);
    }
}
