use crate::trouble::{PlaylistError, MAX_PLAYLIST_BYTES, MAX_SEGMENTS};
use m3u8_rs::MediaPlaylist;

/// One media segment; the address is relative to the viewing's place at its server.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    pub uri: String,
    pub seconds: f64,
}

/// A title at one rung, whole, as its server lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TitlePlaylist {
    /// Seconds; no segment is longer, when rounded (RFC 8216, 4.3.3.1).
    pub target: u64,
    pub map: Option<String>,
    pub segments: Vec<Segment>,
}

/// Reads the media playlist of a recorded title.
///
/// # Errors
/// What makes it unfit to be rewritten: nothing of it is used then.
pub fn read_title_playlist(text: &[u8]) -> Result<TitlePlaylist, PlaylistError> {
    if text.len() > MAX_PLAYLIST_BYTES {
        return Err(PlaylistError::TooLarge);
    }
    let list: MediaPlaylist =
        m3u8_rs::parse_media_playlist_res(text).map_err(|_| PlaylistError::NotAPlaylist)?;
    if list.segments.len() > MAX_SEGMENTS {
        return Err(PlaylistError::TooLarge);
    }
    if !list.end_list {
        return Err(PlaylistError::NotWhole);
    }
    let map = list.segments.first().and_then(|it| it.map.as_ref()).map(|it| it.uri.clone());
    if map.as_deref().is_some_and(|uri| !relative(uri)) {
        return Err(PlaylistError::BadAddress(0));
    }
    let target = list.target_duration;
    let segments = list.segments.into_iter().enumerate().map(|(ix, it)| {
        let seconds = f64::from(it.duration);
        if !seconds.is_finite() || seconds <= 0.0 || seconds.round() > target as f64 {
            return Err(PlaylistError::BadDuration(ix));
        }
        if !relative(&it.uri) {
            return Err(PlaylistError::BadAddress(ix));
        }
        Ok(Segment { uri: it.uri, seconds })
    });
    let segments: Vec<Segment> = segments.collect::<Result<_, _>>()?;
    if segments.is_empty() {
        return Err(PlaylistError::Empty);
    }
    Ok(TitlePlaylist { target, map, segments })
}

/// A path below where the viewing is served; nothing that could lead a player elsewhere.
fn relative(uri: &str) -> bool {
    let plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.' | '/');
    !uri.is_empty()
        && !uri.starts_with('/')
        && uri.chars().all(plain)
        && uri.split('/').all(|it| !it.is_empty() && it != "..")
}

impl TitlePlaylist {
    /// Length in milliseconds.
    pub fn length_ms(&self) -> f64 {
        self.segments.iter().map(|it| it.seconds).sum::<f64>() * 1e3
    }

    /// Number of the segment in which that many milliseconds from the title's start lie.
    pub fn segment_at_ms(&self, ms: f64) -> usize {
        let mut left = ms;
        let passed = self.segments.iter().take_while(|it| {
            left -= it.seconds * 1e3;
            left >= 0.0
        });
        passed.count()
    }
}
