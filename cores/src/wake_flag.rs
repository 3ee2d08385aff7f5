//! Tells whether a thread that waits for its sockets must be woken by a system call for work that another
//! thread has queued.

#[cfg(loom)]
use loom::sync::atomic::{AtomicU8, Ordering};
#[cfg(not(loom))]
use std::sync::atomic::{AtomicU8, Ordering};

const RUNNING: u8 = 0;
const NOTIFIED: u8 = 1;
const SLEEPING: u8 = 2;

/// The state of a thread. A running thread checks for notifications before it sleeps, so only a notification
/// of a sleeping thread costs a system call.
#[derive(Debug)]
pub struct WakeFlag(AtomicU8);

impl WakeFlag {
    /// The flag of a running thread.
    #[allow(clippy::new_without_default)]
    pub fn new() -> WakeFlag {
        WakeFlag(AtomicU8::new(RUNNING))
    }

    /// Notifies the thread. True if it sleeps, or is about to, and the caller must wake it; of several
    /// callers only one gets true.
    pub fn notify(&self) -> bool {
        self.0.swap(NOTIFIED, Ordering::AcqRel) == SLEEPING
    }

    /// True if there was a notification since the last call. The thread then sees what was queued before it,
    /// and goes on running.
    pub fn take_notification(&self) -> bool {
        self.0.swap(RUNNING, Ordering::AcqRel) == NOTIFIED
    }

    /// The thread is about to sleep; false if it was notified and must not.
    pub fn begin_sleep(&self) -> bool {
        self.0.compare_exchange(RUNNING, SLEEPING, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The thread has woken, for whatever reason. A notification is kept.
    pub fn end_sleep(&self) {
        _ = self.0.compare_exchange(SLEEPING, RUNNING, Ordering::AcqRel, Ordering::Acquire);
    }
}

#[cfg(test)]
#[cfg(not(loom))]
mod tests {
    use super::*;

    #[test]
    fn only_a_sleeping_thread_is_woken_and_only_once() {
        let flag = WakeFlag::new();
        assert!(!flag.notify(), "the thread runs");
        assert!(!flag.begin_sleep(), "the thread was notified");
        flag.end_sleep();
        assert!(flag.take_notification() && !flag.take_notification());
        assert!(flag.begin_sleep());
        assert_eq!([flag.notify(), flag.notify()], [true, false]);
    }
}

#[cfg(test)]
#[cfg(loom)]
mod model {
    use super::*;
    use loom::sync::atomic::AtomicUsize;
    use loom::sync::Arc;
    use loom::thread;

    /// Notifiers queue something and notify. The sleeping thread has either seen all of it or is woken after
    /// it began to sleep.
    fn check_notifiers(count: usize) {
        loom::model(move || {
            let (flag, queued, woken) =
                (Arc::new(WakeFlag::new()), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
            let threads: Vec<_> = (0..count)
                .map(|_| {
                    let (flag, queued, woken) = (flag.clone(), queued.clone(), woken.clone());
                    thread::spawn(move || {
                        queued.fetch_add(1, Ordering::SeqCst);
                        if flag.notify() {
                            woken.fetch_add(1, Ordering::SeqCst);
                        }
                    })
                })
                .collect();
            let mut seen = 0;
            if flag.take_notification() {
                seen = queued.load(Ordering::SeqCst);
            }
            let sleeping = flag.begin_sleep();
            threads.into_iter().for_each(|thread| thread.join().unwrap());
            let woken = woken.load(Ordering::SeqCst);
            assert!(woken <= usize::from(sleeping), "at most one wake per sleep");
            if sleeping && seen < count {
                assert_eq!(woken, 1, "the thread would sleep without having seen all");
            }
        });
    }

    #[test]
    fn two_cores() {
        check_notifiers(1);
    }

    #[test]
    fn three_cores() {
        check_notifiers(2);
    }
}
