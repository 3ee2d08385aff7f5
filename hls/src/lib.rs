//! HTTP Live Streaming playlists (RFC 8216): parses the media playlist of a title and maintains the sliding
//! media playlist that is published for a viewing.

mod error;
mod published_playlist;
mod title_playlist;

pub use error::{PlaylistError, MAX_PLAYLIST_BYTES, MAX_SEGMENTS};
pub use published_playlist::{multivariant, PublishedPlaylist, PublishedSegment};
pub use title_playlist::{read_title_playlist, Segment, TitlePlaylist};

#[cfg(test)]
mod tests;
