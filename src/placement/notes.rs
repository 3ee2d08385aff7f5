//! What is made of notes and reports on load.

use super::*;

impl Placement {
    /// Time between two notes on a server, where any come; else between two probes.
    pub(super) fn note_gap(&self) -> Ms {
        if self.terms.reports_on_probe {
            return (self.terms.report_delay * PROBE_GAP).max(self.join_target());
        }
        self.terms.report_interval.max(self.terms.report_delay).max(self.beat())
    }

    pub(super) fn join_target(&self) -> Ms {
        self.terms.packages.iter().map(|it| it.join_target).min().unwrap_or(Ms(1e3))
    }

    pub(super) fn beat(&self) -> Ms {
        (self.join_target() * BEAT).max(self.terms.tick).max(Ms(1.0))
    }

    /// A lot decides what is made of a note. One of a time before the last lot adds to what was known then
    /// and is weighed with that lot; one of soon after it shows only a part of what all managers made of
    /// that.
    pub(super) fn draw_lot(&mut self, server: &ServerId, at: Ms, smoothing: Ms) {
        let (lot, next) = (self.chance.part(), self.now + self.beat());
        if let Some(it) = self.servers.get_mut(server) {
            let sooner = it.look_at.min(next);
            if it.lot_at + smoothing <= at {
                (it.lot, it.lot_at) = (lot, self.now);
                self.look(server, next);
            } else if at < it.lot_at {
                self.look(server, sooner);
            }
        }
    }

    /// Reports are noisy, and short delivery is told: where viewings play and none was, no more is asked than
    /// is given.
    pub(super) fn not_short(&self, server: &ServerId, load: Load) -> Load {
        let whole = |it: &Server| it.delivered.0 >= 0.98 && it.census.playing().next().is_some();
        if !self.servers.get(server).is_some_and(whole) {
            return load;
        }
        let most = |asked: f64| asked.min(1.0);
        Load { link_uncapped: load.link_uncapped.map(most), uplink: load.uplink.map(most), ..load }
    }

    pub(super) fn note_link(&mut self, server: &ServerId, asked: f64, at: Ms) {
        let Some(it) = self.servers.get_mut(server) else { return };
        if it.seen.is_none_or(|it| it.at <= at) {
            it.seen = Some(Seen { asked, own: it.own_at(at), at });
            self.links.note(server, at, asked);
        }
        self.usual_link = self.links.mean(self.fresh_from()).unwrap_or(asked);
    }

    /// Reports in answers are rougher than notes and stand in only where those are old.
    pub(super) fn note_load(&mut self, server: &ServerId, load: Load, at: Ms) {
        let old = |seen: Option<Seen>| seen.is_none_or(|it| self.now - it.at > self.terms.report_interval);
        let Some(it) = self.servers.get(server) else { return };
        let uplink_old = old(self.uplink_of(it).seen);
        if let Some(asked) = load.link_uncapped.or(load.link).filter(|_| old(it.seen)) {
            self.note_link(server, asked, at);
        }
        if let Some(asked) = load.uplink.filter(|_| uplink_old) {
            self.note_uplink(server, asked, at);
        }
    }
}
