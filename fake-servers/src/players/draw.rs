//! Who comes next, by chance and the day's shares.

use crate::day::FaultKind;
use crate::players::world::World;

pub(super) struct Viewer {
    pub package: usize,
    pub title: String,
    pub best: usize,
    pub zone: String,
    pub tenant: Option<String>,
    /// Milliseconds after which it leaves, if it leaves early.
    pub leaves: f64,
}

impl World {
    pub fn draw(&self, second: f64) -> Viewer {
        let day = &self.crowd.day;
        let mut left = self.part() * day.packages.iter().map(|it| it.share).sum::<f64>();
        let package = day.packages.iter().position(|it| {
            left -= it.share;
            left < 0.0
        });
        let package = package.unwrap_or(0);
        let crowded = day.faults_of(FaultKind::Crowd, second).map(|it| it.part).fold(0.0, f64::max);
        let number = if self.part() < crowded {
            0
        } else {
            // A skewed popularity: the part raised to the skew leans to the first titles.
            (self.part().powf(1.0 + day.skew) * day.titles as f64) as usize
        };
        let rungs = day.rates_kb.len();
        let best = if self.part() < 0.25 { rungs.saturating_sub(2) } else { rungs - 1 };
        let zone = day.zones[(self.part() * day.zones.len() as f64) as usize % day.zones.len()].clone();
        let tenants = day.tenants.len();
        let tenant =
            (tenants > 0).then(|| day.tenants[(self.part() * tenants as f64) as usize % tenants].clone());
        let length = day.packages[package].length.1 * 1e3;
        let leaves = if self.part() < day.leave_early { self.part() * length } else { f64::INFINITY };
        let title = format!("{}-{number}", day.packages[package].name);
        Viewer { package, title, best, zone, tenant, leaves }
    }
}
