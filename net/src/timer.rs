use crate::reactor::reactor;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Rings once, on the thread that waits for it.
#[derive(Debug)]
pub struct Timer {
    at: Instant,
    id: Option<u64>,
}

impl Timer {
    pub fn after(span: Duration) -> Timer {
        let now = Instant::now();
        Timer::at(now.checked_add(span).unwrap_or_else(|| now + Duration::from_secs(1 << 30)))
    }

    pub fn at(at: Instant) -> Timer {
        Timer { at, id: None }
    }

    fn forget(&mut self) {
        if let (Some(id), Some(reactor)) = (self.id.take(), reactor()) {
            reactor.drop_timer(self.at, id);
        }
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if Instant::now() >= self.at {
            self.forget();
            return Poll::Ready(());
        }
        let Some(reactor) = reactor() else {
            return Poll::Pending;
        };
        let renewed = self.id.is_some_and(|id| reactor.renew_timer(self.at, id, cx.waker()));
        if !renewed {
            self.id = Some(reactor.set_timer(self.at, cx.waker().clone()));
        }
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.forget();
    }
}

/// For hyper.
pub(crate) struct Timers;

impl hyper::rt::Sleep for Timer {}

impl hyper::rt::Timer for Timers {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::after(span))
    }

    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Timer::at(at))
    }
}
