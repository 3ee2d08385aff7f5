//! What a player expects of a playlist that it reloads.

use crate::players::world::World;
use m3u8_rs::MediaPlaylist;
use ottersail_invariants::Event;
use std::collections::BTreeMap;

/// What a player remembers of its playlist.
#[derive(Default)]
pub(super) struct Reading {
    pub next: u64,
    pub first: u64,
    pub map: Option<String>,
    pub rung: Option<usize>,
    pub seen: BTreeMap<u64, String>,
}

/// What RFC 8216 wants of a playlist that is reloaded.
pub(super) fn check(world: &World, ask: u64, reading: &mut Reading, list: &MediaPlaylist, segment: f64) {
    let flaw = |what: String| world.note(Event::Flaw { ask, what });
    if list.media_sequence < reading.first {
        flaw(format!("the media sequence went back from {} to {}", reading.first, list.media_sequence));
    }
    if !list.segments.is_empty() && list.media_sequence + (list.segments.len() as u64) < reading.next {
        flaw("segments that were listed are missing at the end".into());
    }
    reading.first = list.media_sequence;
    let mut map: Option<String> = None;
    let mut rung_before: Option<usize> = None;
    for (ix, it) in list.segments.iter().enumerate() {
        let at = list.media_sequence + ix as u64;
        if f64::from(it.duration).round() > list.target_duration as f64
            || f64::from(it.duration) * 1e3 > segment + 1.0
        {
            flaw(format!("segment {at} is longer than the target"));
        }
        let place = it.uri.split('?').next().unwrap_or("").to_string();
        if let Some(before) = reading.seen.get(&at).filter(|before| **before != place) {
            flaw(format!("segment {at} was {before} and is now {place}"));
        }
        reading.seen.insert(at, place.clone());
        if let Some(told) = &it.map {
            map = Some(told.uri.clone());
        }
        let Some(map) = &map else {
            flaw(format!("segment {at} has no map"));
            continue;
        };
        let rung = place.split('/').nth(5).and_then(|it| it.parse::<usize>().ok());
        let of_map = map.split('/').nth(5).and_then(|it| it.parse::<usize>().ok());
        if rung != of_map {
            flaw(format!("segment {at} of rung {rung:?} has the map of {of_map:?}"));
        }
        if rung_before.is_some() && rung != rung_before && !it.discontinuity {
            flaw(format!("rung {rung_before:?} is followed by {rung:?} without a discontinuity"));
        }
        rung_before = rung;
    }
    (reading.map, reading.rung) = (map, rung_before);
    while reading.seen.len() > 64 {
        reading.seen.pop_first();
    }
}
