//! Delays between requests that fail.

use std::time::Duration;

/// First delay after a success.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay. Two seconds after the channel broke off the manager is expected to know of its updates, so the
/// channel is asked again well before that.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Delays that double up to a limit. Each is drawn between half and all of its upper bound, so that managers
/// that lose the same channel at once do not all return at once.
pub(crate) struct Backoff {
    random: fastrand::Rng,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff that draws with this seed.
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: fastrand::Rng::with_seed(seed), next: INITIAL_DELAY }
    }

    /// Starts again from the initial delay, after a successful request.
    pub fn reset(&mut self) {
        self.next = INITIAL_DELAY;
    }

    /// Returns the delay before the next request.
    pub fn next(&mut self) -> Duration {
        let upper_bound = self.next;
        self.next = (self.next * 2).min(MAX_DELAY);
        upper_bound.mul_f64(0.5 + 0.5 * self.random.f64())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delays_double_up_to_the_limit_and_restart_after_a_success() {
        let mut backoff = Backoff::new(7);
        for upper_bound_ms in [100, 200, 400, 400] {
            let delay = backoff.next();
            assert!(
                delay >= Duration::from_millis(upper_bound_ms / 2)
                    && delay <= Duration::from_millis(upper_bound_ms),
                "{delay:?}"
            );
        }
        backoff.reset();
        assert!(backoff.next() <= INITIAL_DELAY);
    }

    #[test]
    fn three_hundred_managers_do_not_retry_at_once() {
        let mut delays: Vec<Duration> = (1..=300).map(|seed| Backoff::new(seed).next()).collect();
        delays.sort();
        // The 300 delays spread over 50 ms; no window of a tenth of that may hold more than a third of them.
        let crowded = delays.iter().map(|start| {
            delays
                .iter()
                .filter(|delay| **delay >= *start && **delay < *start + Duration::from_millis(5))
                .count()
        });
        assert!(crowded.max().unwrap() < 100);
    }
}
