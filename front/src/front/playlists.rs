//! Playlists: what is read from a server's, and what is published for a watch.

use super::desk::Desk;
use super::owed::Alarm;
use crate::effects::{Effects, Reply, WatchId};
use crate::presence;
use crate::watch::{Play, Stage, Watch};
use ottersail_hls::{multivariant, read_title_playlist, PlaylistError, TitlePlaylist};
use ottersail_signed_urls::Claim;
use std::rc::Rc;

impl Desk {
    /// The same playlist is read and kept once, however many viewings play it.
    pub(super) fn source(
        &mut self,
        key: (String, usize),
        text: &[u8],
    ) -> Result<Rc<TitlePlaylist>, PlaylistError> {
        if let Some((known, source)) = self.sources.get(&key) {
            if let Some(source) = source.upgrade().filter(|_| known == text) {
                return Ok(source);
            }
        }
        let source = Rc::new(read_title_playlist(text)?);
        if self.sources.len() >= self.sweep_sources_at {
            self.sources.retain(|_, it| it.1.strong_count() > 0);
            self.sweep_sources_at = (self.sources.len() * 2).max(64);
        }
        self.sources.insert(key, (text.to_vec(), Rc::downgrade(&source)));
        Ok(source)
    }

    /// It plays: those who wait are answered, by the way to the playlist or by the playlist itself.
    pub(super) fn play(&mut self, id: &WatchId, play: Play, out: &mut dyn Effects) {
        let now = self.now;
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        let rate = self.ladder_kb.get(play.rung.0).copied().unwrap_or(1.0) * self.scales[watch.package.0];
        let first = watch.viewings == 1;
        let asks = match &mut watch.stage {
            Stage::Waiting { asks, .. } => std::mem::take(asks),
            _ => Vec::new(),
        };
        watch.play(now, play);
        let target = watch.target();
        let text = if first {
            let path = Watch::path(id);
            let claim = Claim { viewing: &id.0, what: &path, rung: 0, expires: self.expires() };
            let uri = format!("{}{path}?{}", self.house.url, self.house.keys.ticket(&claim));
            self.timers.set(Alarm::Silent(id.clone()), presence::silent_until(now, target, true));
            String::from_utf8_lossy(&multivariant(&uri, (rate * 8e3) as u64)).into_owned()
        } else {
            self.publish(id)
        };
        for ask in asks {
            self.asks.remove(&ask);
            out.reply(ask, Reply::Playlist(text.clone()));
        }
    }

    fn expires(&self) -> u64 {
        (self.now.0 / 1e3) as u64 + self.house.ticket_lifetime_s
    }

    pub(super) fn publish(&mut self, id: &WatchId) -> String {
        let (now, expires) = (self.now, self.expires());
        let Some(watch) = self.watches.get_mut(id) else {
            return String::new();
        };
        let target = watch.target();
        match watch.publish(now, &self.house.keys, expires) {
            Some(left) => {
                self.timers.cancel(&Alarm::Silent(id.clone()));
                self.timers.set(Alarm::Over(id.clone()), presence::over_at(now, left, target));
            }
            None => self.timers.set(Alarm::Silent(id.clone()), presence::silent_until(now, target, false)),
        }
        String::from_utf8_lossy(&watch.edition.write()).into_owned()
    }
}
