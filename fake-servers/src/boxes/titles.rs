//! Titles, and the playlists that a server makes of them.

use crate::world::Shared;

/// The title's number in its package, and the package's.
pub(super) fn title_of(world: &Shared, title: &str, package: &str) -> Option<(usize, usize)> {
    let day = world.borrow().day.clone();
    let ix = day.packages.iter().position(|it| it.name == package)?;
    let number = title.strip_prefix(package)?.strip_prefix('-')?.parse::<usize>().ok()?;
    (number < day.titles).then_some((number, ix))
}

pub(super) fn playlist(world: &Shared, title: usize, package: usize) -> String {
    let day = world.borrow().day.clone();
    let (from, to) = day.packages[package].length;
    // Titles differ in length, the same at every server.
    let part = (title * 37 % 100) as f64 / 100.0;
    let count = ((from + (to - from) * part) * 1e3 / day.segment).ceil().max(1.0) as usize;
    let seconds = day.segment / 1e3;
    let mut text = format!(
        "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:{}\n\
         #EXT-X-PLAYLIST-TYPE:VOD\n#EXT-X-MAP:URI=\"init.mp4\"\n",
        seconds.ceil()
    );
    for ix in 0..count {
        text += &format!("#EXTINF:{seconds:.3},\ns{ix}.m4s\n");
    }
    text + "#EXT-X-ENDLIST\n"
}

pub(super) fn rate(world: &Shared, package: usize, rung: usize) -> f64 {
    let day = &world.borrow().day;
    day.rates_kb.get(rung).copied().unwrap_or(1.0) * day.packages[package].scale
}
