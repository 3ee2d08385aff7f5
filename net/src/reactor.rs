//! Each thread waits for its own sockets and timers, and shares neither with another: what one core does
//! costs the others nothing (docs/several-cores.md has the figures beside one reactor for all threads).

mod sources;

pub(crate) use sources::{Side, Source};

use crate::trouble::NoReactor;
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
const MOST_EVENTS: usize = 256;
const BELL: u64 = u64::MAX;

thread_local! {
    static REACTOR: Rc<Reactor> = Rc::new(
        Reactor::new().unwrap_or_else(|it| panic!("{}", NoReactor::here(it)))
    );
}

pub(crate) struct Reactor {
    wakes: Arc<Wakes>,
    sources: Rc<Sources>,
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_timer: Cell<u64>,
    events: RefCell<Vec<epoll::Event>>,
    slept: Cell<Duration>,
}

struct Wakes {
    bell: WakeFlag,
    wire: OwnedFd,
}

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.bell.notify() {
            // It fails only if the count is full, and then the thread is woken anyway.
            _ = rustix::io::write(&self.wire, &1u64.to_ne_bytes());
        }
    }
}

/// The reactor of the calling thread; `None` while the thread ends.
pub(crate) fn reactor() -> Option<Rc<Reactor>> {
    REACTOR.try_with(Rc::clone).ok()
}

impl Reactor {
    fn new() -> io::Result<Reactor> {
        // Timers of different threads are never taken for one another, should one be dropped away from home.
        static THREADS: AtomicU64 = AtomicU64::new(0);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let wire = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(
            &epoll,
            &wire,
            epoll::EventData::new_u64(BELL),
            epoll::EventFlags::IN | epoll::EventFlags::ET,
        )?;
        // Linux before 5.11 can't wait for parts of a millisecond: better said now than at each wait.
        let none = Timespec { tv_sec: 0, tv_nsec: 0 };
        epoll::wait(
            &epoll,
            &mut [epoll::Event { flags: epoll::EventFlags::empty(), data: epoll::EventData::new_u64(0) }][..],
            Some(&none),
        )?;
        Ok(Reactor {
            wakes: Arc::new(Wakes { bell: WakeFlag::new(), wire }),
            sources: Rc::new(Sources::new(epoll)),
            timers: RefCell::default(),
            next_timer: Cell::new(THREADS.fetch_add(1, Ordering::Relaxed) << 40),
            events: RefCell::new(Vec::with_capacity(MOST_EVENTS)),
            slept: Cell::default(),
        })
    }

    /// See [`Sources::watch`].
    pub(crate) fn watch(&self, socket: impl AsFd) -> io::Result<Source> {
        self.sources.watch(socket)
    }

    pub(crate) fn set_timer(&self, at: Instant, waker: Waker) -> u64 {
        let id = self.next_timer.get();
        self.next_timer.set(id + 1);
        self.timers.borrow_mut().insert((at, id), waker);
        id
    }

    /// The timer's waker is another from now on; false if it has rung or is not of this thread.
    pub(crate) fn renew_timer(&self, at: Instant, id: u64, waker: &Waker) -> bool {
        match self.timers.borrow_mut().get_mut(&(at, id)) {
            Some(old) => {
                old.clone_from(waker);
                true
            }
            None => false,
        }
    }

    pub(crate) fn drop_timer(&self, at: Instant, id: u64) {
        self.timers.borrow_mut().remove(&(at, id));
    }

    #[cfg(test)]
    pub(crate) fn timers(&self) -> usize {
        self.timers.borrow().len()
    }

    /// Wakes whoever's time has come; how long until the next.
    fn ring_timers(&self) -> Option<Duration> {
        let mut timers = self.timers.borrow_mut();
        let mut now = None;
        while let Some(entry) = timers.first_entry() {
            let now = *now.get_or_insert_with(Instant::now);
            let at = entry.key().0;
            if at > now {
                return Some(at - now);
            }
            // It only puts a task in its executor's queue.
            entry.remove().wake();
        }
        None
    }

    /// Waits for sockets, at most so long, and wakes who waits for them.
    fn wait(&self, most: Option<Duration>) {
        let most = most.map(|it| Timespec {
            tv_sec: it.as_secs().min(1 << 30) as i64,
            tv_nsec: it.subsec_nanos().into(),
        });
        let mut events = self.events.borrow_mut();
        events.clear();
        // Interrupted: as if nothing had come.
        _ = epoll::wait(self.sources.epoll(), rustix::buffer::spare_capacity(&mut events), most.as_ref());
        // Before anyone is woken, so that this thread's own wakes cost no call.
        self.wakes.bell.end_sleep();
        self.sources.wake(&events);
    }
}

/// How long this thread has waited in all with nothing to do.
pub fn idle_time() -> Duration {
    reactor().map_or(Duration::ZERO, |it| it.slept.get())
}

/// Runs a future on this thread, with its sockets and timers, until it is done.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let reactor = REACTOR.with(Rc::clone);
    let wakes = reactor.wakes.clone();
    let waker = Waker::from(wakes.clone());
    let mut cx = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        if let Poll::Ready(done) = future.as_mut().poll(&mut cx) {
            return done;
        }
        let next = reactor.ring_timers();
        // There is more to do: sockets are looked at in passing.
        if wakes.bell.take_notification() {
            reactor.wait(Some(Duration::ZERO));
            continue;
        }
        let sleeps = wakes.bell.begin_sleep();
        if sleeps {
            let began = Instant::now();
            reactor.wait(next);
            reactor.slept.set(reactor.slept.get() + began.elapsed());
        } else {
            reactor.wait(Some(Duration::ZERO));
        }
        reactor.ring_timers();
        wakes.bell.take_notification();
    }
}
