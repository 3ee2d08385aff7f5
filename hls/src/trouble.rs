//! What is wrong with a playlist from a server, and how large it may be.

use thiserror::Error;

/// A title's playlist may be so large.
pub const MAX_PLAYLIST_BYTES: usize = 1 << 20;
/// Segments that a title may have.
pub const MAX_SEGMENTS: usize = 20_000;

/// What is wrong with a playlist from a server; segments are counted from 0.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlaylistError {
    #[error(
        "the playlist is over {MAX_PLAYLIST_BYTES} bytes or {MAX_SEGMENTS} segments; cut the title into longer ones"
    )]
    TooLarge,
    #[error("the playlist is no media playlist (RFC 8216); see that the server lists one rung alone")]
    NotAPlaylist,
    #[error("the playlist has no EXT-X-ENDLIST; list the title whole, live titles can't be played yet")]
    NotWhole,
    #[error("the playlist has no segments; see that the server has the title at this rung")]
    Empty,
    #[error("segment {0} of the playlist: its duration is not in (0, target]; package the title again")]
    BadDuration(usize),
    #[error(
        "segment {0} of the playlist: its address must be a relative path; list it below the playlist's own"
    )]
    BadAddress(usize),
}
