//! Who does a viewing's errands at its server. The owner of placement does them itself while it has room:
//! each hand to another core costs two wakings. When it has none, the core that holds the viewer's connection
//! does them.

/// The owner keeps the rest of its time for decisions: past this share of it, errands go to other cores.
const BUSY: f64 = 0.5;
/// What was seen of its time decays in so many milliseconds: several decisions' time, and well within a
/// burst.
const MEMORY: f64 = 250.0;
/// Looks closer together than this tell nothing, in milliseconds.
const CLOSE: f64 = 5.0;

#[derive(Clone, Debug)]
pub struct OwnerLoad {
    looked: f64,
    slept: f64,
    busy: f64,
}

impl OwnerLoad {
    /// The owner at its start, `now` in milliseconds.
    pub fn new(now: f64) -> OwnerLoad {
        OwnerLoad { looked: now, slept: 0.0, busy: 0.0 }
    }

    /// A look at how long the owner has slept in all, in milliseconds. Time that the machine gave to others
    /// while the owner had work counts as work: it has no room then either.
    pub fn sample(&mut self, now: f64, slept: f64) {
        let span = now - self.looked;
        if span < CLOSE {
            return;
        }
        let share = (1.0 - (slept - self.slept) / span).clamp(0.0, 1.0);
        self.busy += (share - self.busy) * (1.0 - (-span / MEMORY).exp());
        (self.looked, self.slept) = (now, slept);
    }

    /// The share of its time that the owner has had work.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// The core that does a new viewing's errands, if that one holds its viewer's connection.
    pub fn core_for(&self, asker: usize) -> usize {
        if self.busy < BUSY {
            0
        } else {
            asker
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// The owner's share of work after `ms`, if a set-up costs it `placing` and, done by itself, `doing`
    /// more, in milliseconds; and the share of set-ups that it did itself.
    fn after(ms: f64, per_s: f64, placing: f64, doing: f64) -> (f64, f64) {
        let mut room = OwnerLoad::new(0.0);
        let (mut now, mut slept, mut own, mut all) = (0.0, 0.0, 0.0, 0.0);
        while now < ms {
            let gap = 1e3 / per_s;
            let mut work = placing;
            if room.core_for(1) == 0 {
                work += doing;
                own += 1.0;
            }
            all += 1.0;
            slept += (gap - work).max(0.0);
            now += gap.max(work);
            room.sample(now, slept);
        }
        (room.busy(), own / all)
    }

    #[test_case(1_000.0 => true; "with room it does all")]
    #[test_case(3_000.0 => true; "and up to its share")]
    fn the_owner_does_what_it_has_room_for(per_s: f64) -> bool {
        after(4_000.0, per_s, 0.08, 0.06).1 > 0.99
    }

    #[test]
    fn past_its_share_the_rest_goes_to_others() {
        let (busy, own) = after(4_000.0, 5_000.0, 0.08, 0.06);
        assert!((0.45..0.6).contains(&busy), "{busy}");
        // 0.4 of its time goes into placing, a third of the doing fits into the rest.
        assert!((0.2..0.5).contains(&own), "{own}");
        let (busy, own) = after(4_000.0, 9_000.0, 0.08, 0.06);
        assert!(busy > 0.7 && own < 0.1, "{busy} {own}");
    }

    #[test]
    fn a_burst_is_seen_within_its_first_half_second() {
        let mut room = OwnerLoad::new(0.0);
        (1..=100).for_each(|ix| room.sample(f64::from(ix) * 10.0, f64::from(ix) * 9.0));
        assert!(room.busy() < 0.12 && room.core_for(3) == 0);
        let mut now = 1_000.0;
        while room.core_for(3) == 0 {
            now += 10.0;
            room.sample(now, 900.0);
        }
        assert!(now < 1_300.0, "{now}");
        (1..=50).for_each(|ix| room.sample(now + f64::from(ix) * 10.0, 900.0 + f64::from(ix) * 9.5));
        assert_eq!(room.core_for(3), 0, "and past soon after");
    }
}
