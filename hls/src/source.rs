use crate::trouble::{Trouble, MOST_BYTES, MOST_SEGMENTS};
use m3u8_rs::MediaPlaylist;

/// One media segment; the address is relative to the viewing's place at its server.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    pub uri: String,
    pub seconds: f64,
}

/// A title at one rung, whole, as its server lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// Seconds; no segment is longer, when rounded (RFC 8216, 4.3.3.1).
    pub target: u64,
    pub map: Option<String>,
    pub segments: Vec<Segment>,
}

/// Reads the media playlist of a recorded title.
///
/// # Errors
/// What makes it unfit to be rewritten: nothing of it is used then.
pub fn read_source(text: &[u8]) -> Result<Source, Trouble> {
    if text.len() > MOST_BYTES {
        return Err(Trouble::TooLarge);
    }
    let list: MediaPlaylist = m3u8_rs::parse_media_playlist_res(text).map_err(|_| Trouble::NotAPlaylist)?;
    if list.segments.len() > MOST_SEGMENTS {
        return Err(Trouble::TooLarge);
    }
    if !list.end_list {
        return Err(Trouble::NotWhole);
    }
    let map = list.segments.first().and_then(|it| it.map.as_ref()).map(|it| it.uri.clone());
    if map.as_deref().is_some_and(|uri| !relative(uri)) {
        return Err(Trouble::BadAddress(0));
    }
    let target = list.target_duration;
    let segments = list.segments.into_iter().enumerate().map(|(ix, it)| {
        let seconds = f64::from(it.duration);
        if !seconds.is_finite() || seconds <= 0.0 || seconds.round() > target as f64 {
            return Err(Trouble::BadDuration(ix));
        }
        if !relative(&it.uri) {
            return Err(Trouble::BadAddress(ix));
        }
        Ok(Segment { uri: it.uri, seconds })
    });
    let segments: Vec<Segment> = segments.collect::<Result<_, _>>()?;
    if segments.is_empty() {
        return Err(Trouble::Empty);
    }
    Ok(Source { target, map, segments })
}

/// A path below where the viewing is served; nothing that could lead a player elsewhere.
fn relative(uri: &str) -> bool {
    let plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.' | '/');
    !uri.is_empty()
        && !uri.starts_with('/')
        && uri.chars().all(plain)
        && uri.split('/').all(|it| !it.is_empty() && it != "..")
}

impl Source {
    /// Length in milliseconds.
    pub fn length_ms(&self) -> f64 {
        self.segments.iter().map(|it| it.seconds).sum::<f64>() * 1e3
    }

    /// Number of the segment in which that many milliseconds from the title's start lie.
    pub fn at_ms(&self, ms: f64) -> usize {
        let mut left = ms;
        let passed = self.segments.iter().take_while(|it| {
            left -= it.seconds * 1e3;
            left >= 0.0
        });
        passed.count()
    }
}
