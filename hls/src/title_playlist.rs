//! The media playlist of a title at one rung, as a streaming server lists it.

use crate::error::{PlaylistError, MAX_PLAYLIST_BYTES, MAX_SEGMENTS};
use m3u8_rs::MediaPlaylist;

/// One media segment of a title.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// Relative to the path under which the server serves the viewing.
    pub uri: String,
    /// Duration in seconds.
    pub seconds: f64,
}

/// The complete playlist of a title at one rung.
#[derive(Clone, Debug, PartialEq)]
pub struct TitlePlaylist {
    /// Target duration in seconds: no segment is longer when rounded (RFC 8216, section 4.3.3.1).
    pub target: u64,
    /// URI of the media initialization section (`EXT-X-MAP`) of the first segment.
    pub map: Option<String>,
    /// The segments in the order of playback; at least one.
    pub segments: Vec<Segment>,
}

/// Parses the media playlist of a recorded title.
///
/// # Errors
/// Returns the reason why the playlist can't be used; no part of it is used then.
pub fn read_title_playlist(text: &[u8]) -> Result<TitlePlaylist, PlaylistError> {
    if text.len() > MAX_PLAYLIST_BYTES {
        return Err(PlaylistError::TooLarge);
    }
    let playlist: MediaPlaylist =
        m3u8_rs::parse_media_playlist_res(text).map_err(|_| PlaylistError::NotAMediaPlaylist)?;
    if playlist.segments.len() > MAX_SEGMENTS {
        return Err(PlaylistError::TooLarge);
    }
    if !playlist.end_list {
        return Err(PlaylistError::NotEnded);
    }
    let map = playlist.segments.first().and_then(|segment| segment.map.as_ref()).map(|map| map.uri.clone());
    if map.as_deref().is_some_and(|uri| !is_safe_relative_path(uri)) {
        return Err(PlaylistError::InvalidUri(0));
    }
    let target = playlist.target_duration;
    let segments = playlist.segments.into_iter().enumerate().map(|(index, segment)| {
        let seconds = f64::from(segment.duration);
        if !seconds.is_finite() || seconds <= 0.0 || seconds.round() > target as f64 {
            return Err(PlaylistError::InvalidDuration(index));
        }
        if !is_safe_relative_path(&segment.uri) {
            return Err(PlaylistError::InvalidUri(index));
        }
        Ok(Segment { uri: segment.uri, seconds })
    });
    let segments: Vec<Segment> = segments.collect::<Result<_, _>>()?;
    if segments.is_empty() {
        return Err(PlaylistError::Empty);
    }
    Ok(TitlePlaylist { target, map, segments })
}

/// Whether the URI is a relative path that stays below the viewing's own path, so that it can't direct a player
/// to another host or directory. Only ASCII letters, digits and `-_./` are allowed.
fn is_safe_relative_path(uri: &str) -> bool {
    let allowed = |symbol: char| symbol.is_ascii_alphanumeric() || matches!(symbol, '-' | '_' | '.' | '/');
    !uri.is_empty()
        && !uri.starts_with('/')
        && uri.chars().all(allowed)
        && uri.split('/').all(|part| !part.is_empty() && part != "..")
}

impl TitlePlaylist {
    /// Duration of the title in milliseconds.
    pub fn length_ms(&self) -> f64 {
        self.segments.iter().map(|segment| segment.seconds).sum::<f64>() * 1e3
    }

    /// Index of the segment that plays `ms` milliseconds after the start of the title; the number of segments if
    /// the title has ended by then.
    pub fn segment_at_ms(&self, ms: f64) -> usize {
        let mut remaining_ms = ms;
        let elapsed = self.segments.iter().take_while(|segment| {
            remaining_ms -= segment.seconds * 1e3;
            remaining_ms >= 0.0
        });
        elapsed.count()
    }
}
