//! One viewer watching one title, and the playlist that is published for it.

use crate::effects::{RequestId, TitleRequest, WatchId};
use crate::presence;
use ottersail::ids::{PackageIndex, Rung, TenantIndex, ViewingId};
use ottersail::time::Ms;
use ottersail_hls::{PublishedPlaylist, PublishedSegment, TitlePlaylist};
use ottersail_signed_urls::{Claim, Keys};
use std::rc::Rc;

/// Where its present viewing plays.
#[derive(Debug)]
pub struct Play {
    pub vw: ViewingId,
    pub address: String,
    pub rung: Rung,
    pub source: Rc<TitlePlaylist>,
}

#[derive(Debug)]
pub enum Stage {
    /// A viewing was taken; these requests wait for its answer.
    Waiting {
        vw: ViewingId,
        asks: Vec<RequestId>,
    },
    Playing(Play),
    /// Its viewing broke off; the next reload is the viewer's coming again.
    Broken,
}

#[derive(Debug)]
pub struct Watch {
    pub asked: TitleRequest,
    pub package: PackageIndex,
    pub tenant: Option<TenantIndex>,
    /// Viewings so far.
    pub viewings: u32,
    pub stage: Stage,
    pub edition: PublishedPlaylist,
    /// When the title's start would have played, had it played from there without a break.
    pub began: Ms,
    /// The title's number of the segment to publish next.
    pub next: usize,
    /// The next piece does not follow from the last.
    pub seam: bool,
    pub reloaded: bool,
}

impl Watch {
    pub fn target(&self) -> Ms {
        match &self.stage {
            Stage::Playing(play) => Ms(play.source.target as f64 * 1e3),
            _ => Ms(2e3),
        }
    }

    /// It plays from `self.next` on; what that is by the clock is set anew.
    pub fn play(&mut self, now: Ms, play: Play) {
        let before: f64 = play.source.segments.iter().take(self.next).map(|it| it.seconds).sum();
        self.began = now - Ms(before * 1e3);
        self.seam = self.edition.next_sequence_number() > 0;
        self.edition.set_target_duration(play.source.target);
        self.stage = Stage::Playing(play);
    }

    /// Another rung holds from the next piece on.
    pub fn step(&mut self, rung: Rung, source: Rc<TitlePlaylist>) {
        if let Stage::Playing(play) = &mut self.stage {
            play.rung = rung;
            play.source = source;
            self.seam = true;
        }
    }

    /// Publishes what is due by now; returns what is left to play once all is published.
    pub fn publish(&mut self, now: Ms, keys: &Keys, expires: u64) -> Option<Ms> {
        let target = self.target();
        let Stage::Playing(play) = &self.stage else {
            return None;
        };
        let played = now - self.began;
        let upto = play.source.segment_at_ms(presence::publish_to(played, target).0);
        let rung = play.rung.0;
        let address = |what: &str| {
            let viewing = play.vw.to_string();
            let ticket = keys.ticket(&Claim { viewing: &viewing, what, rung, expires });
            format!("http://{}/viewings/{viewing}/{rung}/{what}?{ticket}", play.address)
        };
        while self.next <= upto && self.next < play.source.segments.len() {
            let segment = &play.source.segments[self.next];
            let new = self.seam || self.edition.last_segment_index().is_none();
            self.edition.publish(PublishedSegment {
                index: self.next,
                uri: address(&segment.uri),
                map: play.source.map.as_deref().filter(|_| new).map(address),
                seconds: segment.seconds,
                discontinuity: self.seam,
            });
            (self.seam, self.next) = (false, self.next + 1);
        }
        self.edition.remove_before(play.source.segment_at_ms((played - target).0.max(0.0)));
        if self.next < play.source.segments.len() {
            return None;
        }
        self.edition.close();
        Some(Ms((play.source.length_ms() - played.0).max(0.0)))
    }

    /// Its server is lost: what the player has not read is taken back.
    pub fn break_off(&mut self, now: Ms) {
        if let Stage::Playing(play) = &self.stage {
            // Where it is by the clock, until the player says what it wants next.
            self.next = play.source.segment_at_ms((now - self.began).0.max(0.0)).min(self.next);
        }
        self.stage = Stage::Broken;
    }

    /// The viewer comes again, and may tell the number in the media sequence that it wants next.
    pub fn resume(&mut self, unread: Option<u64>) {
        if self.edition.last_segment_index().is_some() {
            self.next = self.edition.withdraw_all(unread, self.next);
        }
    }

    pub fn path(id: &WatchId) -> String {
        format!("/viewing/{id}.m3u8")
    }
}
