//! Errors in a playlist from a streaming server, and limits of its size.

use thiserror::Error;

/// Maximum size of a title's playlist, in bytes.
pub const MAX_PLAYLIST_BYTES: usize = 1 << 20;
/// Maximum number of segments of a title.
pub const MAX_SEGMENTS: usize = 20_000;

/// Reason to reject a playlist from a streaming server. Segments are counted from 0.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlaylistError {
    /// The playlist exceeds [`MAX_PLAYLIST_BYTES`] or [`MAX_SEGMENTS`].
    #[error(
        "the playlist is over {MAX_PLAYLIST_BYTES} bytes or {MAX_SEGMENTS} segments; divide the title into \
         longer ones"
    )]
    TooLarge,
    /// The text can't be parsed as a media playlist.
    #[error("the playlist is not a media playlist (RFC 8216); check that the server lists one rung alone")]
    NotAMediaPlaylist,
    /// The playlist can still grow.
    #[error("the playlist has no EXT-X-ENDLIST; list the title whole, live titles are not supported")]
    NotEnded,
    /// The playlist has no segments.
    #[error("the playlist has no segments; check that the server has the title at this rung")]
    Empty,
    /// The duration of a segment is not positive, or exceeds the target duration when rounded.
    #[error("segment {0} of the playlist: its duration is not in (0, target]; package the title again")]
    InvalidDuration(usize),
    /// The URI of a segment or of the map is not a plain relative path.
    #[error(
        "segment {0} of the playlist: its address must be a relative path; list it below the playlist's own"
    )]
    InvalidUri(usize),
}
