//! What is learnt of the uplinks of racks.

use super::*;

impl Placement {
    /// What was told of an uplink, or shown by short delivery. Only this takes from viewings that play.
    pub(super) fn uplink_known(&self, uplink: &Uplink) -> Option<Seen> {
        let short = |it: &Seen| self.now - it.at < self.terms.report_delay * 3.0;
        let fresh = |it: &Seen| it.at > self.fresh_from() && (self.terms.uplinks_reported || short(it));
        uplink.seen.filter(fresh).map(|it| self.carried(self.terms.uplink_kb, it))
    }

    /// Else what is usual; where none is reported, what the links of its rack ask of it, times what short
    /// delivery lately showed to be missing from that.
    pub(super) fn uplink_seen(&self, uplink: &Uplink) -> Seen {
        if let Some(known) = self.uplink_known(uplink) {
            return known;
        } else if self.terms.uplinks_reported {
            return self.usually(self.usual_uplink, self.terms.uplink_kb, uplink.own);
        }
        let asked = self.counted(uplink) * (1.0 + self.missing(uplink));
        Seen { asked, own: uplink.own, at: self.now }
    }

    pub(super) fn missing(&self, uplink: &Uplink) -> f64 {
        uplink.missing.0 * (-((self.now - uplink.missing.1) / (self.note_gap() * TRUST))).exp()
    }

    pub(super) fn note_uplink(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(rack) = self.servers.get(server).map(|it| self.rack(it)) else { return };
        let old = (self.now - self.terms.report_delay).min(at);
        let servers = &self.servers;
        let Some(uplink) = self.uplinks.get_mut(&rack) else { return };
        uplink.asked.retain(|id| !servers[id].unasked_since(old));
        let there = uplink.asked.iter().map(|id| servers[id].own_at(at));
        let own = there.fold((0.0, 0.0), added);
        if let Some(uplink) = self.uplinks.get_mut(&rack) {
            if uplink.seen.is_none_or(|it| it.at <= at) {
                uplink.seen = Some(Seen { asked, own, at });
                self.shared.note(&rack, at, asked);
            }
        }
        self.usual_uplink = self.shared.mean(self.fresh_from()).unwrap_or(asked);
    }

    /// Short delivery is the link's, unless a note on the link that is no older than the shortage does not
    /// explain it: then it is the uplink's.
    pub(super) fn note_delivered(&mut self, server: &ServerId, share: f64, at: Ms) {
        let Some(it) = self.servers.get_mut(server) else { return };
        it.delivered = (share, at);
        if share >= 0.98 {
            it.short_since = None;
            return;
        }
        let since = *it.short_since.get_or_insert(at);
        let explained = it.link_note.1 < since || it.link_note.0 >= EXPLAINED;
        // An uplink gives each of its servers no less than the best of them gets.
        let rack = self.rack(&self.servers[server]);
        let there = self.uplinks[&rack].servers.iter().map(|id| &self.servers[id]);
        let told = |it: &Server| at - it.delivered.1 < self.terms.report_delay * 2.0;
        let best = there.filter(|it| told(it)).map(|it| it.delivered.0).fold(share, f64::max);
        if explained || share < best * EXPLAINED {
            self.note_link(server, 1.0 / share.max(0.05), at);
        } else {
            self.note_uplink(server, 1.0 / best, at);
            let before = self.missing(&self.uplinks[&rack]);
            let missing = 1.0 / best / self.counted(&self.uplinks[&rack]).max(1e-6) - 1.0;
            let lasting = (missing.max(before), self.now);
            self.uplinks.get_mut(&rack).into_iter().for_each(|it| it.missing = lasting);
        }
    }

    /// What the links of a rack pass of what is asked of them: none more than it has.
    pub(super) fn counted(&self, uplink: &Uplink) -> f64 {
        let passes = |it: &Server| self.link(it).used().min(1.0) * self.link_kb(it);
        self.summed(uplink, passes) / self.terms.uplink_kb.max(1.0)
    }
}
