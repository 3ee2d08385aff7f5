//! What all tasks of the manager share: the node, its clock and its sockets.

use super::output::Sockets;
use ottersail::time::Ms;
use ottersail_net::{Clock, Executor, Timer};
use ottersail_platform::node::Node;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use tracing::warn;

/// Timers that are later than this are told in the log.
const STOOD_STILL_MS: f64 = 250.0;

/// How long the loop was busy with one input, and how late it was for what was due, at most.
#[derive(Default)]
pub(crate) struct TurnTimes {
    pub longest: Cell<f64>,
    pub latest: Cell<f64>,
}

impl TurnTimes {
    fn note(cell: &Cell<f64>, ms: f64) {
        cell.set(cell.get().max(ms));
    }
}

/// All tasks of the manager hold it; none holds it across a wait.
pub(crate) struct Hub {
    pub exec: Executor,
    pub clock: Clock,
    pub node: RefCell<Node>,
    pub sockets: RefCell<Sockets>,
    pub channel: RefCell<String>,
    /// Wakes the command channel's task when its address changes.
    pub moved: RefCell<Option<Waker>>,
    pub turns: TurnTimes,
    pub next_timer: Cell<f64>,
    pub timer_waker: RefCell<Option<Waker>>,
}

impl Hub {
    pub fn now(&self) -> Ms {
        Ms(self.clock.now())
    }

    /// One input of the node, at this moment.
    pub fn with<T>(&self, what: impl FnOnce(&mut Node, Ms, &mut Sockets) -> T) -> T {
        let now = self.now();
        let mut node = self.node.borrow_mut();
        let done = what(&mut node, now, &mut self.sockets.borrow_mut());
        TurnTimes::note(&self.turns.longest, (self.now() - now).0);
        if node.next().is_some_and(|it| it.0 < self.next_timer.get()) {
            self.timer_waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
        done
    }

    /// Rings the node whenever something is due.
    pub async fn ring(self: Rc<Hub>) {
        loop {
            self.with(|node, now, sockets| {
                let due = node.next().filter(|due| *due < now);
                let late = due.map_or(0.0, |due| (now - due).0);
                TurnTimes::note(&self.turns.latest, late);
                if late > STOOD_STILL_MS {
                    let busy = self.turns.longest.get();
                    warn!(late, busy, "the loop stood still; see the processor's share if busy is as long");
                }
                node.run_timers(now, sockets);
            });
            let next = self.node.borrow().next().map_or(f64::INFINITY, |it| it.0);
            self.next_timer.set(next);
            let mut timer = pin!(Timer::at(self.clock.instant(next)));
            let mut first = true;
            poll_fn(|cx| {
                if timer.as_mut().poll(cx).is_ready() || (!first && self.timer_waker.borrow().is_none()) {
                    return Poll::Ready(());
                }
                first = false;
                *self.timer_waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            })
            .await;
        }
    }
}
