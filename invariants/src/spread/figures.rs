//! The figures of a day's spread, and which of them miss its bounds.

use crate::record::Even;
use crate::standing::Evenness;
use serde::Serialize;

/// The window that is looked at after something that all managers hear of.
pub(super) const AFTER: f64 = 1_000.0;

/// Set-ups in windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Swing {
    pub window: f64,
    /// Variance of a server's set-ups in a window over what independent picks with each server's usual part
    /// would give.
    pub herd: f64,
    /// Largest count of a server in a window over the mean of its window, the mean of all windows.
    pub largest: f64,
}

/// How it was, and how the same viewings would have stood with other picks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Compared {
    pub as_it_was: Evenness,
    pub oracle: Evenness,
    /// The emptier of two random holders, by loads that are fresh, or as old as the day's reports.
    pub two_fresh: Evenness,
    pub two_old: Evenness,
    pub random: Evenness,
}

/// Milliseconds from a request to its answer, of viewings that played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub half: f64,
    pub nine_of_ten: f64,
    pub most: f64,
    pub thousandth: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    pub servers: usize,
    pub swings: Vec<Swing>,
    /// The herd index in the second after a server's note, for that server; after each change of the list,
    /// and after a fault's end; `None` where there was none.
    pub after_notes: Option<f64>,
    pub after_changes: Option<f64>,
    pub after_returns: Option<f64>,
    /// Part of the time in which a server waits for longer than three of its mean gaps.
    pub idle: f64,
    /// Turned away while another holder of the title had room, and turned away in all.
    pub wasted: Option<(usize, usize)>,
    pub standing: Evenness,
    pub compared: Option<Compared>,
    pub times: Times,
    /// Of a manager at rest: memory in kB, wake-ups a second, milliseconds of processor time a second.
    pub rest: Option<(f64, f64, f64)>,
    /// Milliseconds of the managers' processor time for each set-up.
    pub cpu_a_set_up: Option<f64>,
}

impl Spread {
    /// What is less even than that; nothing if all is as it should be.
    pub fn misses(&self, even: Even) -> Vec<String> {
        let mut misses = Vec::new();
        let second = self.swings.iter().find(|it| it.window == AFTER).map_or(0.0, |it| it.herd);
        if second > even.herd {
            misses.push(format!("herd index {second:.2} in windows of a second, over {}", even.herd));
        }
        if self.idle > even.idle {
            misses.push(format!("servers idle for {:.3} of the time, over {}", self.idle, even.idle));
        }
        if let Some(it) = &self.compared {
            let over = it.as_it_was.largest / it.oracle.largest.max(1e-9);
            if over > even.over_oracle {
                misses.push(format!("fullest server {over:.2} times an oracle's, over {}", even.over_oracle));
            }
        }
        // What hundreds of managers do at rest, a machine does hundreds of times a second.
        if let (Some(most), Some((_, wakes, _))) = (even.wakes, self.rest) {
            if wakes > most {
                misses.push(format!("a manager at rest is woken {wakes:.1} times a second, over {most}"));
            }
        }
        misses
    }
}
