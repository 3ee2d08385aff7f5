//! A player's buffer: when segments come, what was worth watching, and how long it stood still. No events, no
//! chance.

use crate::links::ServerNo;

/// One segment that a playlist names.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    pub at: u64,
    pub server: ServerNo,
    pub vw: String,
    pub rung: usize,
    pub seconds: f64,
}

/// What a playlist says, as far as a player here needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    pub segments: Vec<Segment>,
    pub ended: bool,
}

/// A server's address in the model: its number is the port.
pub fn address(it: ServerNo) -> String {
    format!("10.0.0.1:{}", it.0 + 1)
}

/// Reads a rewritten playlist; `None` if it is none of ours.
pub fn read(text: &str) -> Option<Listing> {
    let mut listing = Listing::default();
    let (mut at, mut seconds) = (0, 0.0);
    for line in text.lines() {
        if let Some(first) = line.strip_prefix("#EXT-X-MEDIA-SEQUENCE:") {
            at = first.parse().ok()?;
        } else if let Some(span) = line.strip_prefix("#EXTINF:") {
            seconds = span.split(',').next()?.parse().ok()?;
        } else if line == "#EXT-X-ENDLIST" {
            listing.ended = true;
        } else if let Some(rest) = line.strip_prefix("http://10.0.0.1:") {
            let mut parts = rest.split('/');
            let port: usize = parts.next()?.parse().ok()?;
            let (vw, rung) = (parts.nth(1)?.to_string(), parts.next()?.parse().ok()?);
            listing.segments.push(Segment { at, server: ServerNo(port.checked_sub(1)?), vw, rung, seconds });
            at += 1;
        }
    }
    Some(listing)
}

/// Segments kept ahead of what is shown.
const AHEAD: f64 = 3.0;

#[derive(Clone, Debug, Default)]
pub struct Buffer {
    /// What has come plays until then, in milliseconds; `None` before the first segment.
    until: Option<f64>,
    pub next: u64,
    /// Seconds, each worth what its rung is.
    pub offered: f64,
    pub earned: f64,
    /// Milliseconds without a picture.
    pub stalled: f64,
    pub rung: Option<usize>,
    pub changes: u32,
}

impl Buffer {
    /// When the next segment is wanted.
    pub fn wants_at(&self, now: f64, segment: f64) -> f64 {
        self.until.map_or(now, |until| (until - AHEAD * segment).max(now))
    }

    /// A segment is there; `worth` of its rung, and of the best.
    pub fn takes(&mut self, now: f64, segment: &Segment, worth: f64, best: f64) {
        let until = self.until.unwrap_or(now);
        self.stalled += (now - until).max(0.0);
        self.until = Some(until.max(now) + segment.seconds * 1e3);
        self.offered += best * segment.seconds;
        self.earned += worth * segment.seconds;
        self.next = segment.at + 1;
        self.changes += u32::from(self.rung.is_some_and(|it| it != segment.rung));
        self.rung = Some(segment.rung);
    }

    pub fn until(&self, now: f64) -> f64 {
        self.until.unwrap_or(now).max(now)
    }

    /// When the playlist is read again after all of it was fetched: before the last two segments are shown.
    pub fn reloads_at(&self, now: f64, segment: f64) -> f64 {
        now + (self.until(now) - now - 2.0 * segment).clamp(50.0, segment)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn segment(at: u64, rung: usize) -> Segment {
        Segment { at, server: ServerNo(6), vw: "v.1".into(), rung, seconds: 2.0 }
    }

    #[test]
    fn a_rewritten_playlist_is_read() {
        let text = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:4\n\
            #EXT-X-MAP:URI=\"http://10.0.0.1:7/viewings/v.1/1/init.mp4?t=x\"\n#EXTINF:2,\n\
            http://10.0.0.1:7/viewings/v.1/1/s4.m4s?t=x\n#EXTINF:2,\n\
            http://10.0.0.1:7/viewings/v.1/1/s5.m4s?t=x\n#EXT-X-ENDLIST\n";
        let listing = read(text).unwrap();
        assert_eq!(listing, Listing { segments: vec![segment(4, 1), segment(5, 1)], ended: true });
    }

    #[test]
    fn a_late_segment_stalls_and_an_early_one_does_not() {
        let mut it = Buffer::default();
        assert_eq!(it.wants_at(100.0, 2000.0), 100.0);
        it.takes(100.0, &segment(0, 0), 0.2, 1.0);
        it.takes(1000.0, &segment(1, 1), 0.5, 1.0);
        assert_eq!((it.stalled, it.until(0.0), it.changes), (0.0, 4100.0, 1));
        it.takes(4600.0, &segment(2, 1), 0.5, 1.0);
        assert_eq!((it.stalled, it.until(0.0)), (500.0, 6600.0));
        assert_eq!((it.offered, it.earned), (6.0, 2.4));
        it.takes(4600.0, &segment(3, 1), 0.5, 1.0);
        it.takes(4600.0, &segment(4, 1), 0.5, 1.0);
        assert_eq!(it.wants_at(4600.0, 2000.0), 4600.0, "three ahead are at most kept");
        it.takes(4600.0, &segment(5, 1), 0.5, 1.0);
        assert_eq!(it.wants_at(4600.0, 2000.0), 6600.0);
    }
}
