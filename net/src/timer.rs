//! Timers of the thread's reactor.

use crate::reactor::reactor;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A future that completes at a given time, on the thread that awaits it.
#[derive(Debug)]
pub struct Timer {
    at: Instant,
    /// The id at the reactor, once it was polled.
    id: Option<u64>,
}

impl Timer {
    /// A timer that completes after this time.
    pub fn after(span: Duration) -> Timer {
        let now = Instant::now();
        Timer::at(now.checked_add(span).unwrap_or_else(|| now + Duration::from_secs(1 << 30)))
    }

    /// A timer that completes at this time.
    pub fn at(at: Instant) -> Timer {
        Timer { at, id: None }
    }

    fn deregister(&mut self) {
        if let (Some(id), Some(reactor)) = (self.id.take(), reactor()) {
            reactor.remove_timer(self.at, id);
        }
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if Instant::now() >= self.at {
            self.deregister();
            return Poll::Ready(());
        }
        let Some(reactor) = reactor() else {
            return Poll::Pending;
        };
        let updated = self.id.is_some_and(|id| reactor.update_timer(self.at, id, cx.waker()));
        if !updated {
            self.id = Some(reactor.add_timer(self.at, cx.waker().clone()));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.deregister();
    }
}

/// The timers as hyper uses them.
pub(crate) struct HyperTimers;

impl hyper::rt::Sleep for Timer {}

impl hyper::rt::Timer for HyperTimers {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::after(span))
    }

    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::at(at))
    }
}
