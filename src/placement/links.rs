//! What a link gives and is asked, and what part of a link or an uplink this manager may ask.

use super::*;

/// A link or an uplink: what it is told to give, what was seen of it, and what this manager asks of it now.
pub(super) struct Pipe {
    pub told: f64,
    pub seen: Seen,
    pub own: Own,
}

impl Pipe {
    /// More of one's own than the whole that is seen: the link is larger than told, or titles run low.
    pub fn capacity(&self) -> f64 {
        self.told.max(if self.seen.asked > 0.0 { self.seen.own.0 / self.seen.asked } else { 0.0 })
    }

    pub fn others_kb(&self) -> f64 {
        (self.seen.asked * self.capacity() - self.seen.own.0).max(0.0)
    }

    pub fn free_kb(&self, fill: f64) -> f64 {
        self.capacity() * fill - self.others_kb() - self.own.0
    }

    /// Part of it that is asked.
    pub fn used(&self) -> f64 {
        self.seen.asked + (self.own.0 - self.seen.own.0) / self.told.max(1.0)
    }
}

impl Placement {
    pub(super) fn link_kb(&self, server: &Server) -> f64 {
        let places = |kind| self.terms.places_by_kind.get(kind).copied().unwrap_or(1.0);
        let size =
            if self.terms.weights_listed { 1.0 } else { places(&server.entry.kind) / self.mean_places };
        server.entry.weight * size * self.terms.link_unit_kb
    }

    pub(super) fn middle_kb(&self) -> f64 {
        self.terms.ladder_kb.get(self.terms.ladder_kb.len() / 2).copied().unwrap_or(1.0)
    }

    /// What n of this manager's viewings may ask of a link or uplink: their part of its capacity.
    pub(super) fn claim(&self, pipe: &Pipe, n: f64, fill: f64) -> f64 {
        pipe.capacity() * fill * n / (n + self.others(pipe)).max(1e-6)
    }

    /// The others' viewings, whether they belong to one manager or to hundreds: what they ask over the mean
    /// rate of the ladder, that of this manager's viewings there, else of all it holds and a middle one.
    pub(super) fn others(&self, pipe: &Pipe) -> f64 {
        let there = Some(pipe.seen.own).filter(|own| own.1 > 0.0);
        let (kb, n) = there.unwrap_or(added(self.own, (self.middle_kb(), 1.0)));
        pipe.others_kb() / (kb / n).max(1e-6)
    }

    /// An uplink pools the swings of many viewings: where it is reported it may be filled further than a
    /// link, and a shortage of it is sooner more than a swing. One that is not told at all limits nothing.
    pub(super) fn uplink_claim(&self, uplink: &Pipe, n: f64, fill: f64) -> f64 {
        match uplink.told {
            told if told > 0.0 => self.claim(uplink, n, self.pooled(fill)),
            _ => f64::INFINITY,
        }
    }

    /// What was noted after this counts as known.
    pub(super) fn fresh_from(&self) -> Ms {
        self.now - (self.note_gap() * STALE + self.terms.report_delay)
    }

    /// What was seen, carried on to now: with hundreds of managers nearly all that happens since is others',
    /// and what comes to all of them shows in what this one holds.
    pub(super) fn carried(&self, told: f64, seen: Seen) -> Seen {
        let few = ALIKE * (self.own.0 + self.middle_kb()) / (self.own.1 + 1.0);
        let before = if seen.at >= self.whole_since { self.past.at(seen.at, self.own).0 } else { self.own.0 };
        let grown = ((self.own.0 + few) / (before + few).max(1e-6)).min(GROWN);
        let then = Pipe { told, seen, own: seen.own };
        let others = then.others_kb() / then.capacity().max(1e-6);
        Seen { asked: seen.asked + others * (grown - 1.0), ..seen }
    }

    /// The last note on a link; without one, the other managers' part is as elsewhere.
    pub(super) fn link(&self, server: &Server) -> Pipe {
        let (told, own) = (self.link_kb(server), server.own);
        let known = server.seen.filter(|it| it.at > self.fresh_from()).map(|it| self.carried(told, it));
        Pipe { told, seen: known.unwrap_or(self.usually(self.usual_link, told, own)), own }
    }

    pub(super) fn uplink(&self, server: &Server) -> Pipe {
        let it = self.uplink_of(server);
        Pipe { told: self.terms.uplink_kb, seen: self.uplink_seen(it), own: it.own }
    }

    pub(super) fn usually(&self, usual: f64, told: f64, own: Own) -> Seen {
        let asked = usual * (1.0 - 1.0 / self.terms.manager_count.max(1.0)) + own.0 / told.max(1.0);
        Seen { asked, own, at: self.now }
    }

    pub(super) fn pooled(&self, fill: f64) -> f64 {
        let least = if self.terms.uplinks_reported && !self.terms.reports_on_probe { FILL } else { 0.0 };
        fill.clamp(least, DOWN_FILL)
    }

    /// The lesser of the link and the server's share of its rack's uplink.
    pub(super) fn capacity(&self, server: &Server, fill: f64) -> f64 {
        let (link, uplink) = (self.claim(&self.link(server), server.own.1, fill), self.uplink(server));
        if fill >= EASED && self.uplink_known(self.uplink_of(server)).is_none() {
            return link;
        }
        let (claim, own) = (self.uplink_claim(&uplink, uplink.own.1, fill), uplink.own.0);
        link.min(if claim >= own { server.own.0 + claim - own } else { server.own.0 * claim / own })
    }

    pub(super) fn free_kb(&self, server: &Server, fill: f64) -> f64 {
        let link = self.link(server).free_kb(fill);
        if self.terms.uplink_kb <= 0.0 {
            return link;
        }
        link.min(self.uplink(server).free_kb(self.pooled(fill)))
    }
}
