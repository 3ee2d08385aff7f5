//! A request is put by the core that holds its connection, taken by the owner of placement, and answered
//! once, by whichever core comes first: the one that holds it, or another in its place if that one stands
//! still.

#[cfg(loom)]
use loom::sync::atomic::{AtomicU8, Ordering};
#[cfg(not(loom))]
use std::sync::atomic::{AtomicU8, Ordering};

const PUT: u8 = 0;
const TAKEN: u8 = 1;
const ANSWERED: u8 = 2;

/// How far a request had come when the right to answer it was won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The owner never saw it: no set-up of it can have run, and none will.
    Pending,
    /// The owner had taken it: a set-up of it may have run.
    Taken,
}

#[derive(Debug)]
pub struct Claim(AtomicU8);

impl Claim {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Claim {
        Claim(AtomicU8::new(PUT))
    }

    /// The owner takes it; false if it was answered before, and then nothing may be done for it.
    pub fn take(&self) -> bool {
        self.0.compare_exchange(PUT, TAKEN, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Wins the right to answer, once over all cores; `None` if another has it.
    pub fn answer(&self) -> Option<Stage> {
        match self.0.swap(ANSWERED, Ordering::AcqRel) {
            PUT => Some(Stage::Pending),
            TAKEN => Some(Stage::Taken),
            _ => None,
        }
    }

    pub fn is_answered(&self) -> bool {
        self.0.load(Ordering::Acquire) == ANSWERED
    }
}

#[cfg(test)]
#[cfg(not(loom))]
mod tests {
    use super::*;

    #[test]
    fn one_answer() {
        let claim = Claim::new();
        assert!(claim.take() && !claim.take());
        assert_eq!([claim.answer(), claim.answer()], [Some(Stage::Taken), None]);
        let claim = Claim::new();
        assert_eq!(claim.answer(), Some(Stage::Pending));
        assert!(!claim.take(), "what was answered untaken is never set up");
    }
}

/// Every interleaving, by a model checker: `RUSTFLAGS="--cfg loom" cargo test -p ottersail-cores --release`.
#[cfg(test)]
#[cfg(loom)]
mod model {
    use super::*;
    use loom::sync::Arc;
    use loom::thread;

    /// The owner takes and answers; one or two other cores answer in its place.
    fn cores(others: usize) {
        loom::model(move || {
            let (claim, set_up) = (Arc::new(Claim::new()), Arc::new(AtomicU8::new(0)));
            let (owned, ran) = (claim.clone(), set_up.clone());
            let owner = thread::spawn(move || {
                if owned.take() {
                    // A set-up goes out.
                    ran.store(1, Ordering::SeqCst);
                }
                owned.answer()
            });
            let others: Vec<_> = (0..others)
                .map(|_| {
                    let claim = claim.clone();
                    thread::spawn(move || claim.answer())
                })
                .collect();
            let mut answers = vec![owner.join().unwrap()];
            answers.extend(others.into_iter().map(|it| it.join().unwrap()));
            let won: Vec<Stage> = answers.into_iter().flatten().collect();
            assert_eq!(won.len(), 1, "one answer, whoever comes first");
            if won[0] == Stage::Pending {
                assert_eq!(set_up.load(Ordering::SeqCst), 0, "called never set up, and never set up");
            }
        });
    }

    #[test]
    fn two_cores() {
        cores(1);
    }

    #[test]
    fn three_cores() {
        cores(2);
    }
}
