//! State shared by all tasks of the manager: the node, its clock and its sockets.

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

/// Timer delay from which a warning is logged, in milliseconds.
const TIMER_DELAY_WARNING_MS: f64 = 250.0;

/// Maximum duration of one input's handling, and maximum delay of a timer, since the last log line.
#[derive(Default)]
pub(crate) struct TurnTimes {
    pub longest_ms: Cell<f64>,
    pub max_timer_delay_ms: Cell<f64>,
}

impl TurnTimes {
    fn record_max(cell: &Cell<f64>, ms: f64) {
        cell.set(cell.get().max(ms));
    }
}

/// Shared state. Every task holds a reference; none keeps a part of it borrowed across an await.
pub(crate) struct Hub {
    pub executor: Executor,
    pub clock: Clock,
    pub node: RefCell<Node>,
    pub sockets: RefCell<Sockets>,
    /// Address of the command channel.
    pub channel: RefCell<String>,
    /// Wakes the command channel's task when its address changes.
    pub channel_changed: RefCell<Option<Waker>>,
    pub turn_times: TurnTimes,
    /// Time for which the timer task waits, in milliseconds of the clock.
    pub next_timer: Cell<f64>,
    /// Wakes the timer task when an earlier timer is set.
    pub timer_waker: RefCell<Option<Waker>>,
}

impl Hub {
    /// Returns the current time.
    pub fn now(&self) -> Ms {
        Ms(self.clock.now())
    }

    /// Passes one input to the node with the current time, and wakes the timer task if the node has set an
    /// earlier timer.
    pub fn with_node<T>(&self, handle: impl FnOnce(&mut Node, Ms, &mut Sockets) -> T) -> T {
        let now = self.now();
        let mut node = self.node.borrow_mut();
        let result = handle(&mut node, now, &mut self.sockets.borrow_mut());
        TurnTimes::record_max(&self.turn_times.longest_ms, (self.now() - now).0);
        if node.next_timer().is_some_and(|due| due.0 < self.next_timer.get()) {
            self.timer_waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
        result
    }

    /// Runs the node's timers when they are due, as long as the program runs.
    pub async fn run_timers(self: Rc<Hub>) {
        loop {
            self.with_node(|node, now, sockets| {
                let due = node.next_timer().filter(|due| *due < now);
                let delay = due.map_or(0.0, |due| (now - due).0);
                TurnTimes::record_max(&self.turn_times.max_timer_delay_ms, delay);
                if delay > TIMER_DELAY_WARNING_MS {
                    let busy = self.turn_times.longest_ms.get();
                    warn!(
                        late = delay,
                        busy,
                        "the event loop was delayed; if busy is as long, check the process's share of processor time"
                    );
                }
                node.run_timers(now, sockets);
            });
            let next = self.node.borrow().next_timer().map_or(f64::INFINITY, |due| due.0);
            self.next_timer.set(next);
            let mut timer = pin!(Timer::at(self.clock.instant(next)));
            let mut first = true;
            poll_fn(|context| {
                if timer.as_mut().poll(context).is_ready() || (!first && self.timer_waker.borrow().is_none())
                {
                    return Poll::Ready(());
                }
                first = false;
                *self.timer_waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            })
            .await;
        }
    }
}
