//! Playlists (RFC 8216): reads a title's media playlist, and keeps the one that is published for a viewing.

mod edition;
mod source;
mod trouble;

pub use edition::{multivariant, PublishedPlaylist, PublishedSegment};
pub use source::{read_title_playlist, Segment, TitlePlaylist};
pub use trouble::{PlaylistError, MAX_PLAYLIST_BYTES, MAX_SEGMENTS};

#[cfg(test)]
mod tests;
