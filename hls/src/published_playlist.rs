//! The playlists that a player receives for a viewing.

use m3u8_rs::{Map, MasterPlaylist, MediaPlaylist, MediaSegment, VariantStream};
use std::collections::VecDeque;

/// One segment of a [`PublishedPlaylist`].
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedSegment {
    /// Index of the segment in the title.
    pub index: usize,
    /// Address that the player fetches.
    pub uri: String,
    /// URI of the media initialization section (`EXT-X-MAP`) from this segment on; `None` where it
    /// does not change.
    pub map: Option<String>,
    /// Duration in seconds.
    pub seconds: f64,
    /// Whether the segment does not continue the one before, because the rung or the server changed.
    pub discontinuity: bool,
}

/// The sliding media playlist of one viewing (RFC 8216, section 6.2.2). Segments are appended at the end and
/// removed at the front. Each removal raises the media sequence number, and the removal of a discontinuity
/// raises the discontinuity sequence number.
#[derive(Clone, Debug, Default)]
pub struct PublishedPlaylist {
    target_duration_s: u64,
    media_sequence: u64,
    discontinuity_sequence: u64,
    segments: VecDeque<PublishedSegment>,
    ended: bool,
    /// The map that applies to the first segment, if a removed segment set it.
    inherited_map: Option<String>,
}

impl PublishedPlaylist {
    /// Media sequence number of the next segment to be published.
    pub fn next_sequence_number(&self) -> u64 {
        self.media_sequence + self.segments.len() as u64
    }

    /// Index in the title of the last listed segment.
    pub fn last_segment_index(&self) -> Option<usize> {
        self.segments.back().map(|segment| segment.index)
    }

    /// Appends a segment.
    pub fn publish(&mut self, segment: PublishedSegment) {
        self.segments.push_back(segment);
    }

    /// Sets the target duration, in seconds; a lower value than before is ignored. It is set before the first
    /// segment is published, because the target duration of a playlist must not change (RFC 8216, section
    /// 6.2.1). The value of the first title playlist is enough, since all rungs of a title are segmented alike.
    pub fn set_target_duration(&mut self, seconds: u64) {
        self.target_duration_s = self.target_duration_s.max(seconds);
    }

    /// Ends the playlist: it is written with `EXT-X-ENDLIST`.
    pub fn close(&mut self) {
        self.ended = true;
    }

    /// Whether the playlist has ended.
    pub fn is_closed(&self) -> bool {
        self.ended
    }

    /// Removes segments with an index below `keep_from` at the front, but never so many that less than three
    /// target durations remain (RFC 8216, section 6.2.2).
    pub fn remove_before(&mut self, keep_from: usize) {
        let mut remaining_s: f64 = self.segments.iter().map(|segment| segment.seconds).sum();
        while let Some(segment) = self.segments.front() {
            remaining_s -= segment.seconds;
            if segment.index >= keep_from || remaining_s < 3.0 * self.target_duration_s as f64 {
                return;
            }
            self.remove_first();
        }
    }

    /// Removes all segments after their server was lost, and returns the index in the title from which playback
    /// goes on. Segments from the media sequence number `unread` on have not been read and can't be fetched any
    /// more. Without that number, playback goes on from the index `by_time`, which follows from the clock.
    pub fn withdraw_all(&mut self, unread: Option<u64>, by_time: usize) -> usize {
        let next = self.last_segment_index().map_or(0, |index| index + 1);
        let position = unread
            .and_then(|number| number.checked_sub(self.media_sequence))
            .map(|position| position as usize);
        let resume_from = match position {
            Some(position) if position < self.segments.len() => self.segments[position].index,
            Some(_) => next,
            None => by_time.min(next),
        };
        while !self.segments.is_empty() {
            self.remove_first();
        }
        self.inherited_map = None;
        resume_from
    }

    fn remove_first(&mut self) {
        if let Some(segment) = self.segments.pop_front() {
            self.media_sequence += 1;
            self.discontinuity_sequence += u64::from(segment.discontinuity);
            self.inherited_map = segment.map.or(self.inherited_map.take());
        }
    }

    /// Formats the playlist.
    pub fn write(&self) -> Vec<u8> {
        let map = |uri: &String| Map { uri: uri.clone(), ..Map::default() };
        let mut segments: Vec<MediaSegment> = self
            .segments
            .iter()
            .map(|segment| MediaSegment {
                uri: segment.uri.clone(),
                duration: segment.seconds as f32,
                discontinuity: segment.discontinuity,
                map: segment.map.as_ref().map(map),
                ..MediaSegment::empty()
            })
            .collect();
        if let Some(first) = segments.first_mut() {
            first.map = first.map.take().or(self.inherited_map.as_ref().map(map));
        }
        let playlist = MediaPlaylist {
            version: Some(6),
            target_duration: self.target_duration_s,
            media_sequence: self.media_sequence,
            discontinuity_sequence: self.discontinuity_sequence,
            segments,
            end_list: self.ended,
            ..MediaPlaylist::default()
        };
        let mut text = Vec::new();
        // Writing to memory can't fail.
        _ = playlist.write_to(&mut text);
        text
    }
}

/// Formats a multivariant playlist whose only variant is the media playlist at `uri`, which the player reloads.
/// `bits_per_s` is the bandwidth stated for it.
pub fn multivariant(uri: &str, bits_per_s: u64) -> Vec<u8> {
    let stream = VariantStream { uri: uri.into(), bandwidth: bits_per_s, ..VariantStream::default() };
    let playlist = MasterPlaylist { version: Some(6), variants: vec![stream], ..MasterPlaylist::default() };
    let mut text = Vec::new();
    _ = playlist.write_to(&mut text);
    text
}
