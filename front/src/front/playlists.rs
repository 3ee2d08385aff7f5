//! Playlists: those read from servers, and those published for watches.

use super::state::{FrontState, MIN_SOURCE_SWEEP};
use super::viewing::TimerKey;
use crate::effects::{Effects, Reply, WatchId};
use crate::presence;
use crate::watch::{Play, Stage, Watch};
use ottersail_hls::{multivariant, read_title_playlist, PlaylistError, TitlePlaylist};
use ottersail_signed_urls::Claim;
use std::rc::Rc;

impl FrontState {
    /// Parses a server's playlist of a title and rung. A playlist is parsed and kept once, however many
    /// viewings play it.
    pub(super) fn source(
        &mut self,
        key: (String, usize),
        text: &[u8],
    ) -> Result<Rc<TitlePlaylist>, PlaylistError> {
        if let Some((cached_text, source)) = self.sources.get(&key) {
            if let Some(source) = source.upgrade().filter(|_| cached_text == text) {
                return Ok(source);
            }
        }
        let source = Rc::new(read_title_playlist(text)?);
        if self.sources.len() >= self.sweep_sources_at {
            self.sources.retain(|_, (_, source)| source.strong_count() > 0);
            self.sweep_sources_at = (self.sources.len() * 2).max(MIN_SOURCE_SWEEP);
        }
        self.sources.insert(key, (text.to_vec(), Rc::downgrade(&source)));
        Ok(source)
    }

    /// Starts playing and answers the waiting requests: at the first viewing of a watch with a multivariant
    /// playlist that refers to the watch's playlist, later with that playlist itself.
    pub(super) fn play(&mut self, id: &WatchId, play: Play, effects: &mut dyn Effects) {
        let now = self.now;
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        let ladder_rate = self.ladder_kb.get(play.rung.0).copied().unwrap_or(1.0);
        let rate_kb = ladder_rate * self.rate_scales[watch.package.0];
        let first = watch.viewings == 1;
        let requests = match &mut watch.stage {
            Stage::Waiting { requests, .. } => std::mem::take(requests),
            _ => Vec::new(),
        };
        watch.play(now, play);
        let target = watch.target();
        let text = if first {
            let path = Watch::path(id);
            let claim = Claim { viewing: &id.0, what: &path, rung: 0, expires: self.ticket_expiry() };
            let uri = format!("{}{path}?{}", self.settings.url, self.settings.keys.ticket(&claim));
            self.timers.set(TimerKey::Reload(id.clone()), presence::reload_deadline(now, target, true));
            let bits_per_s = (rate_kb * 8e3) as u64;
            String::from_utf8_lossy(&multivariant(&uri, bits_per_s)).into_owned()
        } else {
            self.publish(id)
        };
        for request in requests {
            self.requests.remove(&request);
            effects.reply(request, Reply::Playlist(text.clone()));
        }
    }

    /// Expiry of a ticket that is issued now, in seconds.
    fn ticket_expiry(&self) -> u64 {
        (self.now.0 / 1e3) as u64 + self.settings.ticket_lifetime_s
    }

    /// Publishes what is due of a watch, and returns its playlist.
    pub(super) fn publish(&mut self, id: &WatchId) -> String {
        let (now, expires) = (self.now, self.ticket_expiry());
        let Some(watch) = self.watches.get_mut(id) else {
            return String::new();
        };
        let target = watch.target();
        match watch.publish(now, &self.settings.keys, expires) {
            Some(left) => {
                self.timers.cancel(&TimerKey::Reload(id.clone()));
                let played_out = presence::played_out_at(now, left, target);
                self.timers.set(TimerKey::PlayedOut(id.clone()), played_out);
            }
            None => {
                let deadline = presence::reload_deadline(now, target, false);
                self.timers.set(TimerKey::Reload(id.clone()), deadline);
            }
        }
        String::from_utf8_lossy(&watch.edition.write()).into_owned()
    }
}
