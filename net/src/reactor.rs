//! The event loop of a thread. Each thread waits for its own sockets and timers and shares neither with
//! another, so that the work of one core costs the others nothing (docs/several-cores.md compares it with one
//! reactor for all threads).

mod sources;

pub(crate) use sources::{Side, Source};

use crate::error::NoReactor;
use ottersail_cores::WakeFlag;
use rustix::event::{epoll, eventfd, EventfdFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use sources::Sources;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Events taken from the system at once.
const MAX_EVENTS: usize = 256;
/// The epoll data of the eventfd that wakes the thread.
const WAKE_EVENT: u64 = u64::MAX;

thread_local! {
    static REACTOR: Rc<Reactor> = Rc::new(
        Reactor::new().unwrap_or_else(|error| panic!("{}", NoReactor::current(error)))
    );
}

/// Sockets and timers of one thread.
pub(crate) struct Reactor {
    waker: Arc<ThreadWaker>,
    sources: Rc<Sources>,
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_timer: Cell<u64>,
    events: RefCell<Vec<epoll::Event>>,
    idle: Cell<Duration>,
}

/// Wakes the thread; can be used on any thread.
struct ThreadWaker {
    flag: WakeFlag,
    eventfd: OwnedFd,
}

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.flag.notify() {
            // The write fails only if the eventfd's counter is full, and then the thread is woken anyway.
            _ = rustix::io::write(&self.eventfd, &1u64.to_ne_bytes());
        }
    }
}

/// The reactor of the calling thread; `None` while the thread shuts down.
pub(crate) fn reactor() -> Option<Rc<Reactor>> {
    REACTOR.try_with(Rc::clone).ok()
}

impl Reactor {
    fn new() -> io::Result<Reactor> {
        // Timer ids differ between threads, so that a timer that is dropped on another thread removes no
        // timer there.
        static THREADS: AtomicU64 = AtomicU64::new(0);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let wake_fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(
            &epoll,
            &wake_fd,
            epoll::EventData::new_u64(WAKE_EVENT),
            epoll::EventFlags::IN | epoll::EventFlags::ET,
        )?;
        // Linux before 5.11 has no timeouts below a millisecond: fails here rather than at each wait.
        let none = Timespec { tv_sec: 0, tv_nsec: 0 };
        epoll::wait(
            &epoll,
            &mut [epoll::Event { flags: epoll::EventFlags::empty(), data: epoll::EventData::new_u64(0) }][..],
            Some(&none),
        )?;
        Ok(Reactor {
            waker: Arc::new(ThreadWaker { flag: WakeFlag::new(), eventfd: wake_fd }),
            sources: Rc::new(Sources::new(epoll)),
            timers: RefCell::default(),
            next_timer: Cell::new(THREADS.fetch_add(1, Ordering::Relaxed) << 40),
            events: RefCell::new(Vec::with_capacity(MAX_EVENTS)),
            idle: Cell::default(),
        })
    }

    /// See [`Sources::watch`].
    pub(crate) fn watch(&self, socket: impl AsFd) -> io::Result<Source> {
        self.sources.watch(socket)
    }

    pub(crate) fn add_timer(&self, at: Instant, waker: Waker) -> u64 {
        let id = self.next_timer.get();
        self.next_timer.set(id + 1);
        self.timers.borrow_mut().insert((at, id), waker);
        id
    }

    /// Replaces the timer's waker; false if the timer has fired or is not of this thread.
    pub(crate) fn update_timer(&self, at: Instant, id: u64, waker: &Waker) -> bool {
        match self.timers.borrow_mut().get_mut(&(at, id)) {
            Some(old) => {
                old.clone_from(waker);
                true
            }
            None => false,
        }
    }

    pub(crate) fn remove_timer(&self, at: Instant, id: u64) {
        self.timers.borrow_mut().remove(&(at, id));
    }

    #[cfg(test)]
    pub(crate) fn timer_count(&self) -> usize {
        self.timers.borrow().len()
    }

    /// Wakes the tasks whose timers are due; returns the time until the next timer.
    fn fire_timers(&self) -> Option<Duration> {
        let mut timers = self.timers.borrow_mut();
        let mut now = None;
        while let Some(entry) = timers.first_entry() {
            let now = *now.get_or_insert_with(Instant::now);
            let at = entry.key().0;
            if at > now {
                return Some(at - now);
            }
            // Waking only puts a task into its executor's queue.
            entry.remove().wake();
        }
        None
    }

    /// Waits for socket events up to the timeout, and wakes the tasks that wait for them.
    fn wait(&self, timeout: Option<Duration>) {
        let timeout = timeout.map(|span| Timespec {
            tv_sec: span.as_secs().min(1 << 30) as i64,
            tv_nsec: span.subsec_nanos().into(),
        });
        let mut events = self.events.borrow_mut();
        events.clear();
        // An interrupted wait counts as one without events.
        _ = epoll::wait(self.sources.epoll(), rustix::buffer::spare_capacity(&mut events), timeout.as_ref());
        // Before any task is woken, so that wakes by this thread itself cost no system call.
        self.waker.flag.end_sleep();
        self.sources.wake(&events);
    }
}

/// Wakes a task after the sockets and timers of this thread have been looked at once more. A task that always has
/// more to do gives way by it; a task that wakes itself keeps its place among those that are ready, and the
/// executor looks at the sockets only after hundreds of turns.
pub fn wake_after_events(waker: &Waker) {
    match reactor() {
        Some(reactor) => {
            reactor.add_timer(Instant::now(), waker.clone());
        }
        None => waker.wake_by_ref(),
    }
}

/// The total time that this thread has waited with nothing to do.
pub fn idle_time() -> Duration {
    reactor().map_or(Duration::ZERO, |reactor| reactor.idle.get())
}

/// Runs a future on this thread, together with the thread's sockets and timers, until it completes.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let reactor = REACTOR.with(Rc::clone);
    let thread_waker = reactor.waker.clone();
    let waker = Waker::from(thread_waker.clone());
    let mut cx = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        if let Poll::Ready(done) = future.as_mut().poll(&mut cx) {
            return done;
        }
        let next = reactor.fire_timers();
        // There is more to run: only polls the sockets.
        if thread_waker.flag.take_notification() {
            reactor.wait(Some(Duration::ZERO));
            continue;
        }
        let may_sleep = thread_waker.flag.begin_sleep();
        if may_sleep {
            let began = Instant::now();
            reactor.wait(next);
            reactor.idle.set(reactor.idle.get() + began.elapsed());
        } else {
            reactor.wait(Some(Duration::ZERO));
        }
        reactor.fire_timers();
        thread_waker.flag.take_notification();
    }
}
