//! The right to answer a request. The core that holds the connection queues the request, the owner of
//! placement takes it, and the first core to claim it answers it, once: the one that holds the connection, or
//! another if that one is stalled.

#[cfg(loom)]
use loom::sync::atomic::{AtomicU8, Ordering};
#[cfg(not(loom))]
use std::sync::atomic::{AtomicU8, Ordering};

const PENDING: u8 = 0;
const TAKEN: u8 = 1;
const ANSWERED: u8 = 2;

/// How far a request had come when the right to answer it was won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The owner has not taken it: no set-up of it has run, and none will.
    Pending,
    /// The owner had taken it: a set-up of it may have run.
    Taken,
}

/// The state of one request, shared by the cores.
#[derive(Debug)]
pub struct Claim(AtomicU8);

impl Claim {
    /// A pending request.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Claim {
        Claim(AtomicU8::new(PENDING))
    }

    /// The owner takes the request; false if it was answered before, and then it must not be processed.
    pub fn take(&self) -> bool {
        self.0.compare_exchange(PENDING, TAKEN, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Claims the right to answer, which only one core gets; `None` if another has it.
    pub fn answer(&self) -> Option<Stage> {
        match self.0.swap(ANSWERED, Ordering::AcqRel) {
            PENDING => Some(Stage::Pending),
            TAKEN => Some(Stage::Taken),
            _ => None,
        }
    }

    /// Whether a core has claimed the answer.
    pub fn is_answered(&self) -> bool {
        self.0.load(Ordering::Acquire) == ANSWERED
    }
}

#[cfg(test)]
#[cfg(not(loom))]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_answered_once() {
        let claim = Claim::new();
        assert!(claim.take() && !claim.take());
        assert_eq!([claim.answer(), claim.answer()], [Some(Stage::Taken), None]);
        let claim = Claim::new();
        assert_eq!(claim.answer(), Some(Stage::Pending));
        assert!(!claim.take(), "a request that was answered before it was taken is never set up");
    }
}

/// Checks every interleaving with loom: `RUSTFLAGS="--cfg loom" cargo test -p ottersail-cores --release`.
#[cfg(test)]
#[cfg(loom)]
mod model {
    use super::*;
    use loom::sync::Arc;
    use loom::thread;

    /// The owner takes and answers a request, while one or two other cores try to answer it in its place.
    fn check_cores(others: usize) {
        loom::model(move || {
            let (claim, set_up) = (Arc::new(Claim::new()), Arc::new(AtomicU8::new(0)));
            let (owner_claim, owner_set_up) = (claim.clone(), set_up.clone());
            let owner = thread::spawn(move || {
                if owner_claim.take() {
                    // The set-up is sent.
                    owner_set_up.store(1, Ordering::SeqCst);
                }
                owner_claim.answer()
            });
            let others: Vec<_> = (0..others)
                .map(|_| {
                    let claim = claim.clone();
                    thread::spawn(move || claim.answer())
                })
                .collect();
            let mut answers = vec![owner.join().unwrap()];
            answers.extend(others.into_iter().map(|thread| thread.join().unwrap()));
            let won: Vec<Stage> = answers.into_iter().flatten().collect();
            assert_eq!(won.len(), 1, "exactly one core answers");
            if won[0] == Stage::Pending {
                assert_eq!(set_up.load(Ordering::SeqCst), 0, "a pending request has no set-up");
            }
        });
    }

    #[test]
    fn two_cores() {
        check_cores(1);
    }

    #[test]
    fn three_cores() {
        check_cores(2);
    }
}
