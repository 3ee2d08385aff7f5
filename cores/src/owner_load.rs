//! Decides which core sends a viewing's requests to its server. The owner of placement sends them itself
//! while it has spare time, since passing them to another core costs two wake-ups. When it has none, the core
//! that holds the viewer's connection sends them.

/// Above this share of busy time, requests go to other cores; the owner keeps the rest for decisions.
const BUSY_LIMIT: f64 = 0.5;
/// Decay time of the busy share in milliseconds: the time of several decisions, and well within a burst.
const DECAY_MS: f64 = 250.0;
/// Samples closer together than this, in milliseconds, are ignored.
const MIN_INTERVAL_MS: f64 = 5.0;

/// The share of the owner's time that is busy.
#[derive(Clone, Debug)]
pub struct OwnerLoad {
    last_sample: f64,
    slept: f64,
    busy: f64,
}

impl OwnerLoad {
    /// An owner that starts at `now`, in milliseconds.
    pub fn new(now: f64) -> OwnerLoad {
        OwnerLoad { last_sample: now, slept: 0.0, busy: 0.0 }
    }

    /// Samples how long the owner has slept in all, in milliseconds. Time in which the system ran other
    /// processes while the owner had work counts as busy, since the owner has no spare time then either.
    pub fn sample(&mut self, now: f64, slept: f64) {
        let span = now - self.last_sample;
        if span < MIN_INTERVAL_MS {
            return;
        }
        let share = (1.0 - (slept - self.slept) / span).clamp(0.0, 1.0);
        self.busy += (share - self.busy) * (1.0 - (-span / DECAY_MS).exp());
        (self.last_sample, self.slept) = (now, slept);
    }

    /// The share of its time that the owner has been busy.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// The core that sends a new viewing's requests, if `connection_core` holds the viewer's connection.
    pub fn core_for(&self, connection_core: usize) -> usize {
        if self.busy < BUSY_LIMIT {
            0
        } else {
            connection_core
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// The owner's busy share after `span`, if each set-up costs it `placing`, and `sending` more where it
    /// sends the requests itself; and the share of set-ups whose requests it sent. Times are in milliseconds.
    fn simulate(span: f64, per_second: f64, placing: f64, sending: f64) -> (f64, f64) {
        let mut load = OwnerLoad::new(0.0);
        let (mut now, mut slept, mut own, mut all) = (0.0, 0.0, 0.0, 0.0);
        while now < span {
            let gap = 1e3 / per_second;
            let mut work = placing;
            if load.core_for(1) == 0 {
                work += sending;
                own += 1.0;
            }
            all += 1.0;
            slept += (gap - work).max(0.0);
            now += gap.max(work);
            load.sample(now, slept);
        }
        (load.busy(), own / all)
    }

    #[test_case(1_000.0 => true; "with spare time it sends all")]
    #[test_case(3_000.0 => true; "and up to its share")]
    fn the_owner_sends_requests_while_it_has_spare_time(per_second: f64) -> bool {
        simulate(4_000.0, per_second, 0.08, 0.06).1 > 0.99
    }

    #[test]
    fn above_the_limit_requests_go_to_other_cores() {
        let (busy, own) = simulate(4_000.0, 5_000.0, 0.08, 0.06);
        assert!((0.45..0.6).contains(&busy), "{busy}");
        // Placing takes 0.4 of its time; a third of the requests fits into the rest.
        assert!((0.2..0.5).contains(&own), "{own}");
        let (busy, own) = simulate(4_000.0, 9_000.0, 0.08, 0.06);
        assert!(busy > 0.7 && own < 0.1, "{busy} {own}");
    }

    #[test]
    fn a_burst_is_detected_within_half_a_second() {
        let mut load = OwnerLoad::new(0.0);
        (1..=100).for_each(|index| load.sample(f64::from(index) * 10.0, f64::from(index) * 9.0));
        assert!(load.busy() < 0.12 && load.core_for(3) == 0);
        let mut now = 1_000.0;
        while load.core_for(3) == 0 {
            now += 10.0;
            load.sample(now, 900.0);
        }
        assert!(now < 1_300.0, "{now}");
        (1..=50).for_each(|index| load.sample(now + f64::from(index) * 10.0, 900.0 + f64::from(index) * 9.5));
        assert_eq!(load.core_for(3), 0, "the end of the burst is detected soon after");
    }
}
