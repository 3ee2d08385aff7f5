//! Playlists (RFC 8216): reads a title's media playlist, and keeps the one that is published for a viewing.

mod edition;
mod source;
mod trouble;

pub use edition::{multivariant, Edition, Piece};
pub use source::{read_source, Segment, Source};
pub use trouble::{Trouble, MOST_BYTES, MOST_SEGMENTS};

#[cfg(test)]
mod tests;
