//! What a run showed, and the laws that it must keep.

use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// First requests and how each ended.
    pub asked: u64,
    pub played: u64,
    pub blocked: u64,
    pub aborted: u64,
    /// The viewer left before the answer, or had none in time.
    pub left: u64,
    pub gave_up: u64,
    /// Its manager died first.
    pub broken: u64,
    pub in_hand: u64,
    pub reloads: u64,
    pub steps_up: u64,
    pub steps_down: u64,
    pub set_ups: u64,
    pub turned_away: u64,
    /// Set-ups at cold servers, and cold servers that fell.
    pub cold_set_ups: u64,
    pub fell: u64,
    /// Set-ups that all managers together would send to cold servers at most, by the rule's pace.
    pub cold_allowed: f64,
    /// Worth of what was watched, over that of the best that each device could use; seconds.
    pub offered: f64,
    pub earned: f64,
    pub stalled_ms: f64,
    /// Milliseconds from the first request to the first segment, summed over those who played.
    pub start_ms: f64,
    /// Server-seconds sampled, and of those short of what viewings there asked.
    pub sampled: u64,
    pub short: u64,
    pub most_at_once: u64,
    pub events: u64,
    /// Viewings that were at two servers at once.
    pub twice: u64,
}

impl Figures {
    /// What was earned over what was offered by those who watched.
    pub fn value(&self) -> f64 {
        self.earned / self.offered.max(1e-9)
    }

    /// As [`Figures::value`], over what would have been offered had all played: a viewing that was blocked,
    /// aborted or given up would have been offered as much as one that played. Who left by himself is not
    /// counted.
    pub fn value_asked(&self) -> f64 {
        let lost = self.blocked + self.aborted + self.gave_up + self.broken;
        self.value() * self.played as f64 / (self.played + lost).max(1) as f64
    }

    /// Complaints where the laws do not hold; none is good.
    pub fn broken_laws(&self, drift: f64) -> Vec<String> {
        let mut broken = Vec::new();
        let ended = self.played + self.blocked + self.aborted + self.left + self.gave_up + self.broken;
        if self.asked != ended + self.in_hand {
            broken.push(format!("{} asked, {ended} ended, {} in hand", self.asked, self.in_hand));
        }
        if self.twice > 0 {
            broken.push(format!("{} viewings were in two places", self.twice));
        }
        if drift > 1.0 {
            broken.push(format!("sums over links are {drift} kB/s off"));
        }
        broken
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let part = |it: u64| 100.0 * it as f64 / self.asked.max(1) as f64;
        writeln!(f, "asked                {:>10}", self.asked)?;
        for (name, count) in [
            ("played", self.played),
            ("blocked", self.blocked),
            ("aborted", self.aborted),
            ("left", self.left),
            ("gave up", self.gave_up),
            ("broken", self.broken),
            ("in hand", self.in_hand),
        ] {
            writeln!(f, "{name:<20} {count:>10}   {:>5.1} in 100", part(count))?;
        }
        writeln!(f, "value played         {:>10.4}", self.value())?;
        writeln!(f, "start, mean ms       {:>10.0}", self.start_ms / self.played.max(1) as f64)?;
        writeln!(f, "stalled, s a viewing {:>10.2}", self.stalled_ms / 1e3 / self.played.max(1) as f64)?;
        writeln!(f, "steps up, down       {:>10} {}", self.steps_up, self.steps_down)?;
        writeln!(f, "set-ups, turned away {:>10} {}", self.set_ups, self.turned_away)?;
        writeln!(f, "cold set-ups, falls  {:>10} {}", self.cold_set_ups, self.fell)?;
        let short = 100.0 * self.short as f64 / self.sampled.max(1) as f64;
        writeln!(f, "short delivery       {short:>10.2} in 100 server-seconds")?;
        writeln!(f, "most at once         {:>10}", self.most_at_once)?;
        write!(f, "events               {:>10}", self.events)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Ten asked: six played, two blocked, one left, one in hand.
    fn good() -> Figures {
        Figures { asked: 10, played: 6, blocked: 2, left: 1, in_hand: 1, ..Figures::default() }
    }

    #[test_case(good(), 0.0 => 0; "all hold")]
    #[test_case(Figures { asked: 11, ..good() }, 0.0 => 1; "one had no answer")]
    #[test_case(Figures { aborted: 1, ..good() }, 0.0 => 1; "one had two")]
    #[test_case(Figures { twice: 1, ..good() }, 0.0 => 1; "one in two places")]
    #[test_case(good(), 5.0 => 1; "sums that drifted")]
    fn laws(it: Figures, drift: f64) -> usize {
        it.broken_laws(drift).len()
    }
}
