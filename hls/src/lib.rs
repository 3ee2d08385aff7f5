//! Playlists (RFC 8216): reads a title's media playlist, and keeps the one that is published for a viewing.

mod edition;
mod source;

pub use edition::{multivariant, Edition, Piece};
pub use source::{read_source, Segment, Source, Trouble, MOST_BYTES, MOST_SEGMENTS};

#[cfg(test)]
mod tests;
