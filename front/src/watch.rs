//! One viewer watching one title, and the playlist that is published for it.

use crate::effects::{RequestId, TitleRequest, WatchId};
use crate::presence;
use ottersail::ids::{PackageIndex, Rung, TenantIndex, ViewingId};
use ottersail::time::Ms;
use ottersail_hls::{PublishedPlaylist, PublishedSegment, TitlePlaylist};
use ottersail_signed_urls::{Claim, Keys};
use std::rc::Rc;

/// Target duration that is assumed while no source is known.
const DEFAULT_TARGET: Ms = Ms(2e3);

/// The present viewing of a watch while it plays.
#[derive(Debug)]
pub struct Play {
    pub viewing: ViewingId,
    /// Address of the server.
    pub address: String,
    pub rung: Rung,
    pub source: Rc<TitlePlaylist>,
}

/// Stage of the present viewing of a watch.
#[derive(Debug)]
pub enum Stage {
    /// A viewing was accepted; these requests wait for its answer.
    Waiting {
        viewing: ViewingId,
        requests: Vec<RequestId>,
    },
    Playing(Play),
    /// No viewing exists; the player's next reload starts another.
    Interrupted,
}

/// One viewer watching one title, over any number of viewings.
#[derive(Debug)]
pub struct Watch {
    pub request: TitleRequest,
    pub package: PackageIndex,
    pub tenant: Option<TenantIndex>,
    /// Number of viewings so far.
    pub viewings: u32,
    pub stage: Stage,
    /// The published playlist.
    pub edition: PublishedPlaylist,
    /// Nominal time at which the title's start played, as if it had been played without interruption.
    pub title_started: Ms,
    /// Index within the title of the segment to publish next.
    pub next_segment: usize,
    /// Whether the next segment does not continue the previous one, because the rung or the server changed.
    pub discontinuity: bool,
}

impl Watch {
    /// A watch without a viewing.
    pub fn new(now: Ms, request: TitleRequest, package: PackageIndex, tenant: Option<TenantIndex>) -> Watch {
        Watch {
            request,
            package,
            tenant,
            viewings: 0,
            stage: Stage::Interrupted,
            edition: Default::default(),
            title_started: now,
            next_segment: 0,
            discontinuity: false,
        }
    }

    /// Target duration of the segments.
    pub fn target(&self) -> Ms {
        match &self.stage {
            Stage::Playing(play) => Ms(play.source.target as f64 * 1e3),
            _ => DEFAULT_TARGET,
        }
    }

    /// Starts playing at `next_segment`, from which the nominal start of the title follows.
    pub fn play(&mut self, now: Ms, play: Play) {
        let segments = play.source.segments.iter().take(self.next_segment);
        let before_s: f64 = segments.map(|segment| segment.seconds).sum();
        self.title_started = now - Ms(before_s * 1e3);
        self.discontinuity = self.edition.next_sequence_number() > 0;
        self.edition.set_target_duration(play.source.target);
        self.stage = Stage::Playing(play);
    }

    /// Continues at another rung from the next segment on.
    pub fn change_rung(&mut self, rung: Rung, source: Rc<TitlePlaylist>) {
        if let Stage::Playing(play) = &mut self.stage {
            play.rung = rung;
            play.source = source;
            self.discontinuity = true;
        }
    }

    /// Publishes the segments that are due. Once all are published, returns the time that is left to play.
    pub fn publish(&mut self, now: Ms, keys: &Keys, expires: u64) -> Option<Ms> {
        let target = self.target();
        let Stage::Playing(play) = &self.stage else {
            return None;
        };
        let played = now - self.title_started;
        let last = play.source.segment_at_ms(presence::publish_to(played, target).0);
        let rung = play.rung.0;
        let signed_address = |what: &str| {
            let viewing = play.viewing.to_string();
            let ticket = keys.ticket(&Claim { viewing: &viewing, what, rung, expires });
            format!("http://{}/viewings/{viewing}/{rung}/{what}?{ticket}", play.address)
        };
        while self.next_segment <= last && self.next_segment < play.source.segments.len() {
            let segment = &play.source.segments[self.next_segment];
            let needs_map = self.discontinuity || self.edition.last_segment_index().is_none();
            self.edition.publish(PublishedSegment {
                index: self.next_segment,
                uri: signed_address(&segment.uri),
                map: play.source.map.as_deref().filter(|_| needs_map).map(signed_address),
                seconds: segment.seconds,
                discontinuity: self.discontinuity,
            });
            (self.discontinuity, self.next_segment) = (false, self.next_segment + 1);
        }
        self.edition.remove_before(play.source.segment_at_ms((played - target).0.max(0.0)));
        if self.next_segment < play.source.segments.len() {
            return None;
        }
        self.edition.close();
        Some(Ms((play.source.length_ms() - played.0).max(0.0)))
    }

    /// The viewing's server is lost: playing will continue at the nominal position, unless the player says
    /// what it wants next.
    pub fn interrupt(&mut self, now: Ms) {
        if let Stage::Playing(play) = &self.stage {
            let played_ms = (now - self.title_started).0.max(0.0);
            self.next_segment = play.source.segment_at_ms(played_ms).min(self.next_segment);
        }
        self.stage = Stage::Interrupted;
    }

    /// Withdraws published segments from the given media sequence number on, which the player wants next, or
    /// else by the nominal position.
    pub fn resume(&mut self, next_sequence: Option<u64>) {
        if self.edition.last_segment_index().is_some() {
            self.next_segment = self.edition.withdraw_all(next_sequence, self.next_segment);
        }
    }

    /// Path of the watch's playlist.
    pub fn path(id: &WatchId) -> String {
        format!("/viewing/{id}.m3u8")
    }
}
