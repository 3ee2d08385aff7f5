//! Who comes, when, and what they want. The same laws as the players on sockets (`standins`).

use ottersail_fake_servers::{Day, FaultKind};

#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    pub package: usize,
    pub title: usize,
    pub best: usize,
    pub zone: usize,
    pub tenant: Option<String>,
    /// Milliseconds after which the viewer leaves, if early.
    pub leaves: f64,
}

/// Part of the viewers whose device can't use the highest rung.
const SMALL_SCREENS: f64 = 0.25;

/// Milliseconds to the next arrival: by chance, at the rate of that second.
pub fn gap(day: &Day, rng: &mut fastrand::Rng, second: f64) -> f64 {
    let burst = day.faults_of(FaultKind::Burst, second).map(|it| it.size).fold(1.0, f64::max);
    let gap = -(1.0 - rng.f64()).ln() / (day.per_second * burst);
    gap.clamp(0.0, 10.0) * 1e3
}

pub fn draw(day: &Day, rng: &mut fastrand::Rng, second: f64) -> Wanted {
    let mut left = rng.f64() * day.packages.iter().map(|it| it.share).sum::<f64>();
    let package = day.packages.iter().position(|it| {
        left -= it.share;
        left < 0.0
    });
    let package = package.unwrap_or(0);
    let crowded = day.faults_of(FaultKind::Crowd, second).map(|it| it.part).fold(0.0, f64::max);
    let title = if rng.f64() < crowded {
        0
    } else {
        // A skewed popularity: the part raised to the skew leans to the first titles.
        (rng.f64().powf(1.0 + day.skew) * day.titles as f64) as usize
    };
    let rungs = day.rates_kb.len();
    let best = if rng.f64() < SMALL_SCREENS { rungs.saturating_sub(2) } else { rungs - 1 };
    let zone = rng.usize(..day.zones.len());
    let tenant = (!day.tenants.is_empty()).then(|| day.tenants[rng.usize(..day.tenants.len())].clone());
    let length = day.packages[package].length.1 * 1e3;
    let leaves = if rng.f64() < day.leave_early { rng.f64() * length } else { f64::INFINITY };
    Wanted { package, title, best, zone, tenant, leaves }
}

/// Segments of a title; titles differ in length, the same at every server.
pub fn segments(day: &Day, package: usize, title: usize) -> usize {
    let (from, to) = day.packages[package].length;
    let part = (title * 37 % 100) as f64 / 100.0;
    ((from + (to - from) * part) * 1e3 / day.segment).ceil().max(1.0) as usize
}

/// A title's playlist as a server gives it.
pub fn playlist(day: &Day, package: usize, title: usize) -> String {
    let seconds = day.segment / 1e3;
    let mut text = format!(
        "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:{}\n#EXT-X-PLAYLIST-TYPE:VOD\n\
         #EXT-X-MAP:URI=\"init.mp4\"\n",
        seconds.ceil()
    );
    for ix in 0..segments(day, package, title) {
        text += &format!("#EXTINF:{seconds:.3},\ns{ix}.m4s\n");
    }
    text + "#EXT-X-ENDLIST\n"
}
