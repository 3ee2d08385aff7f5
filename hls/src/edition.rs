use m3u8_rs::{Map, MasterPlaylist, MediaPlaylist, MediaSegment, VariantStream};
use std::collections::VecDeque;

/// One published segment.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedSegment {
    /// Its number in the title.
    pub index: usize,
    pub uri: String,
    /// The map that holds from here on; told where it changes.
    pub map: Option<String>,
    pub seconds: f64,
    /// It does not follow from the piece before: another rung or another server.
    pub discontinuity: bool,
}

/// The media playlist that one viewing is given: it slides (RFC 8216, 6.2.2). Pieces go in at the end; they
/// go out at the front, each counted in the media sequence, each lost discontinuity in its own.
#[derive(Clone, Debug, Default)]
pub struct PublishedPlaylist {
    target: u64,
    first: u64,
    discontinuities: u64,
    pieces: VecDeque<PublishedSegment>,
    over: bool,
    /// The map in force at the first piece, if it was told by a piece that went out.
    map: Option<String>,
}

impl PublishedPlaylist {
    /// Number in the media sequence of the next piece to be published.
    pub fn next_sequence_number(&self) -> u64 {
        self.first + self.pieces.len() as u64
    }

    /// The title's number of the last piece in the list.
    pub fn last_segment_index(&self) -> Option<usize> {
        self.pieces.back().map(|it| it.index)
    }

    pub fn publish(&mut self, piece: PublishedSegment) {
        // The target may never change in a playlist (6.2.1), so that it is taken from the first title's list;
        // rungs of a title are cut alike.
        self.pieces.push_back(piece);
    }

    /// Seconds; told once, before the first piece.
    pub fn set_target_duration(&mut self, target: u64) {
        self.target = self.target.max(target);
    }

    pub fn close(&mut self) {
        self.over = true;
    }

    pub fn is_closed(&self) -> bool {
        self.over
    }

    /// Takes out old pieces, but keeps as much behind that number as 6.2.2 wants: three targets' worth stay.
    pub fn remove_before(&mut self, keep_from: usize) {
        let mut left: f64 = self.pieces.iter().map(|it| it.seconds).sum();
        while let Some(piece) = self.pieces.front() {
            left -= piece.seconds;
            if piece.index >= keep_from || left < 3.0 * self.target as f64 {
                return;
            }
            self.take_first();
        }
    }

    /// The server of what is pending is lost: pieces from that number on are unread, and can't be had any
    /// more. All that is listed goes out; the title's number to go on from is returned.
    pub fn withdraw_all(&mut self, unread: Option<u64>, by_time: usize) -> usize {
        let next = self.last_segment_index().map_or(0, |it| it + 1);
        let at = unread.and_then(|no| no.checked_sub(self.first)).map(|it| it as usize);
        let from = match at {
            Some(at) if at < self.pieces.len() => self.pieces[at].index,
            Some(_) => next,
            None => by_time.min(next),
        };
        while !self.pieces.is_empty() {
            self.take_first();
        }
        self.map = None;
        from
    }

    fn take_first(&mut self) {
        if let Some(piece) = self.pieces.pop_front() {
            self.first += 1;
            self.discontinuities += u64::from(piece.discontinuity);
            self.map = piece.map.or(self.map.take());
        }
    }

    /// The playlist's text.
    pub fn write(&self) -> Vec<u8> {
        let map = |uri: &String| Map { uri: uri.clone(), ..Map::default() };
        let mut segments: Vec<MediaSegment> = self
            .pieces
            .iter()
            .map(|it| MediaSegment {
                uri: it.uri.clone(),
                duration: it.seconds as f32,
                discontinuity: it.discontinuity,
                map: it.map.as_ref().map(map),
                ..MediaSegment::empty()
            })
            .collect();
        if let Some(first) = segments.first_mut() {
            first.map = first.map.take().or(self.map.as_ref().map(map));
        }
        let list = MediaPlaylist {
            version: Some(6),
            target_duration: self.target,
            media_sequence: self.first,
            discontinuity_sequence: self.discontinuities,
            segments,
            end_list: self.over,
            ..MediaPlaylist::default()
        };
        let mut text = Vec::new();
        // Writing to memory can't fail.
        _ = list.write_to(&mut text);
        text
    }
}

/// A multivariant playlist with the one media playlist that this viewing reloads.
pub fn multivariant(uri: &str, bits_per_s: u64) -> Vec<u8> {
    let stream = VariantStream { uri: uri.into(), bandwidth: bits_per_s, ..VariantStream::default() };
    let list = MasterPlaylist { version: Some(6), variants: vec![stream], ..MasterPlaylist::default() };
    let mut text = Vec::new();
    _ = list.write_to(&mut text);
    text
}
