//! Whether a thread that waits for its sockets must be woken for something that another thread put before it.

#[cfg(loom)]
use loom::sync::atomic::{AtomicU8, Ordering};
#[cfg(not(loom))]
use std::sync::atomic::{AtomicU8, Ordering};

const RUNS: u8 = 0;
const RUNG: u8 = 1;
const SLEEPS: u8 = 2;

/// A thread that runs hears the bell by itself before it sleeps; only one that sleeps costs a system call.
#[derive(Debug)]
pub struct WakeFlag(AtomicU8);

impl WakeFlag {
    #[allow(clippy::new_without_default)]
    pub fn new() -> WakeFlag {
        WakeFlag(AtomicU8::new(RUNS))
    }

    /// True if the thread sleeps, or is about to, and the caller must wake it; of several ringers one is told
    /// so.
    pub fn notify(&self) -> bool {
        self.0.swap(RUNG, Ordering::AcqRel) == SLEEPS
    }

    /// True if it was rung since; the thread sees what was put down before, and goes on.
    pub fn take_notification(&self) -> bool {
        self.0.swap(RUNS, Ordering::AcqRel) == RUNG
    }

    /// The thread lies down; false if it was rung and must not sleep.
    pub fn begin_sleep(&self) -> bool {
        self.0.compare_exchange(RUNS, SLEEPS, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// It woke, for whatever reason. What was rung stays rung.
    pub fn end_sleep(&self) {
        _ = self.0.compare_exchange(SLEEPS, RUNS, Ordering::AcqRel, Ordering::Acquire);
    }
}

#[cfg(test)]
#[cfg(not(loom))]
mod tests {
    use super::*;

    #[test]
    fn only_one_that_sleeps_is_woken_and_once() {
        let bell = WakeFlag::new();
        assert!(!bell.notify(), "it runs");
        assert!(!bell.begin_sleep(), "it was rung");
        bell.end_sleep();
        assert!(bell.take_notification() && !bell.take_notification());
        assert!(bell.begin_sleep());
        assert_eq!([bell.notify(), bell.notify()], [true, false]);
    }
}

#[cfg(test)]
#[cfg(loom)]
mod model {
    use super::*;
    use loom::sync::atomic::AtomicUsize;
    use loom::sync::Arc;
    use loom::thread;

    /// Ringers put something down and ring. The sleeper either sees all of it or has been woken after it lay
    /// down.
    fn ringers(count: usize) {
        loom::model(move || {
            let (bell, put, woken) =
                (Arc::new(WakeFlag::new()), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
            let threads: Vec<_> = (0..count)
                .map(|_| {
                    let (bell, put, woken) = (bell.clone(), put.clone(), woken.clone());
                    thread::spawn(move || {
                        put.fetch_add(1, Ordering::SeqCst);
                        if bell.notify() {
                            woken.fetch_add(1, Ordering::SeqCst);
                        }
                    })
                })
                .collect();
            let mut seen = 0;
            if bell.take_notification() {
                seen = put.load(Ordering::SeqCst);
            }
            let sleeps = bell.begin_sleep();
            threads.into_iter().for_each(|it| it.join().unwrap());
            let woken = woken.load(Ordering::SeqCst);
            assert!(woken <= usize::from(sleeps), "one waking a sleep");
            if sleeps && seen < count {
                assert_eq!(woken, 1, "it would sleep on what it has not seen");
            }
        });
    }

    #[test]
    fn two_cores() {
        ringers(1);
    }

    #[test]
    fn three_cores() {
        ringers(2);
    }
}
