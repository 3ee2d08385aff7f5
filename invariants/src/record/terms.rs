//! What a record's day is judged by.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the rules are judged by; the first line of a record. Times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub drain_grace: f64,
    pub cold: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall: f64,
    /// Further tune-ins of a manager: so many, plus so many a viewing taken, in any such span.
    pub budget: Option<(f64, f64, f64)>,
    pub packages: BTreeMap<String, PackageTerms>,
    /// Managers of two shapes before the same servers, where the day has both.
    #[serde(default)]
    pub shapes: Option<Shapes>,
    #[serde(default)]
    pub even: Option<Even>,
    /// Where titles lie, if it was told.
    #[serde(default)]
    pub titles: Option<Titles>,
    /// Rates of the ladder, in kB a second.
    #[serde(default)]
    pub rates_kb: Vec<f64>,
    /// Milliseconds between two reports of a server, and until they are seen.
    #[serde(default)]
    pub reports: (f64, f64),
}

/// How even set-ups have to go over the servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Even {
    /// The most that the herd index may be in windows of a second.
    pub herd: f64,
    /// The most of the time in which servers may be idle.
    pub idle: f64,
    /// Standing viewings at the fullest server over the mean, over what they would be for an oracle.
    pub over_oracle: f64,
    /// The most that a manager at rest may be woken in a second, where the day has a rest.
    #[serde(default)]
    pub wakes: Option<f64>,
}

/// Title number n of each package lies in `copies` cells from `n x stride` on, counted around all cells.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Titles {
    pub cells: u64,
    pub copies: u64,
    pub stride: u64,
}

impl Titles {
    /// The cells of a title by its name, which ends in its number.
    pub fn cells_of(&self, title: &str) -> impl Iterator<Item = u64> {
        let number = title.rsplit_once('-').and_then(|it| it.1.parse::<u64>().ok()).unwrap_or(0);
        let (cells, base) = (self.cells.max(1), number * self.stride);
        (0..self.copies).map(move |it| (base + it) % cells)
    }
}

/// Managers from this number on are of the new shape; neither shape may get more than `factor` times what the
/// other gets for each viewing asked, nor be blocked that much more often.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shapes {
    pub new_from: usize,
    pub factor: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PackageTerms {
    pub may_repeat: bool,
    pub floor: usize,
    /// 0 is no limit.
    pub seats: usize,
    /// What its rates are over those of the ladder.
    #[serde(default)]
    pub scale: f64,
}
