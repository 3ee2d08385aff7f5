//! Which holders may have a viewing, and which two of them are drawn.

use super::*;

impl Placement {
    /// A holder that is only shunned or paced may be had again soon; one without room refuses.
    pub(super) fn may_hope(&self, viewing: &Viewing) -> bool {
        let may_be_had = |it: &Server| !viewing.may_run_on_at(it) && self.has_room(viewing, it);
        self.seat_free(viewing) && self.holders(&viewing.wish).any(may_be_had)
    }

    /// The servers that hold the title and are up.
    pub(super) fn holders<'a>(&'a self, wish: &'a ViewingRequest) -> impl Iterator<Item = &'a Server> + 'a {
        let cells = (0..wish.cell_count.min(self.terms.cells.max(1))).map(|j| self.cell(wish.first_cell + j));
        let all = cells.flat_map(|cell| self.cells.get(&cell)).flatten();
        all.map(|id| &self.servers[id]).filter(|it| it.entry.availability == Availability::Up)
    }

    /// Holders that may get this viewing now; those not tried yet, where there are any.
    pub(super) fn eligible(&self, viewing: &Viewing) -> Vec<ServerId> {
        let seat_free = self.seat_free(viewing);
        let fits = |it: &&Server| {
            seat_free
                && self.now >= it.shunned_until
                && self.pace_allows(it)
                && self.same_group(viewing, it)
                && !viewing.may_run_on_at(it)
                && self.has_room(viewing, it)
        };
        let all = self.holders(&viewing.wish).filter(fits).map(|it| it.entry.server.clone());
        let mut all: Vec<ServerId> = all.collect();
        prefer(&mut all, |id| !viewing.tune_ins.iter().any(|it| it.server == *id));
        all
    }

    /// Viewers of a live title at one server share a stream, so each server gathers one of the live titles
    /// that this manager holds; all managers see the same names, and so scatter them less without a word.
    pub(super) fn gathers(&self, viewing: &Viewing, server: &ServerId) -> bool {
        let live =
            |package: PackageIndex| self.terms.live_join_share < 1.0 && self.terms.packages[package.0].live;
        if !live(viewing.wish.package) {
            return true;
        }
        let rank = |title: &TitleId| name_hash(&format!("{title}{server}"));
        let mine = rank(&viewing.wish.title);
        self.seated.keys().filter(|it| live(it.1)).all(|it| rank(&it.0) <= mine)
    }

    /// False if even the lowest rung for all who are there breaks a bound. How far others can go down is not
    /// seen: the manager's own viewings, wherever they play, stand for them.
    pub(super) fn has_room(&self, viewing: &Viewing, server: &Server) -> bool {
        let floor = self.package(viewing).floor;
        let lowest = self.rate(viewing.wish.package, floor);
        let kb = self.own.0 + self.middle_kb();
        let least = (self.least_kb + self.plain_rate(floor)) / kb.max(1e-6);
        let fits = |pipe: &Pipe, free: f64| {
            let (capacity, asked) = (pipe.capacity(), pipe.others_kb() + pipe.own.0);
            if viewing.over_share {
                // Past its share a viewing takes only what is free: none of the others steps down for it.
                asked + lowest <= capacity * free
            } else {
                let n = 1.0 + asked * least.min(1.0) / lowest.max(1e-6);
                lowest * (n + PHI * n.sqrt()) <= capacity * ROOM
            }
        };
        let (link, uplink) = (self.link(server), self.uplink(server));
        fits(&link, UP_FILL) && (uplink.told <= 0.0 || fits(&uplink, self.pooled(UP_FILL)))
    }

    /// Part of a holder's link or uplink that is asked, whichever is fuller.
    pub(super) fn used(&self, server: &Server) -> f64 {
        let crossing = if server.entry.zone == self.terms.zone { 0.0 } else { self.terms.cross_zone_price };
        self.link(server).used().max(self.uplink(server).used()) + crossing * CROSS_HANDICAP
    }

    /// Most holders a manager has not heard of lately: they are drawn by what they can give.
    pub(super) fn draw_holder(&mut self, holders: &[ServerId]) -> usize {
        let told = |id| if self.terms.reports_on_probe { 1.0 } else { self.link_kb(&self.servers[id]) };
        let gives: Vec<f64> = holders.iter().map(told).collect();
        let drawn = self.chance.part() * gives.iter().sum::<f64>();
        along(gives.into_iter(), drawn).unwrap_or(0)
    }
}

/// Leaves only those that are better, where any is.
pub(super) fn prefer(all: &mut Vec<ServerId>, better: impl Fn(&ServerId) -> bool) {
    if all.iter().any(&better) {
        all.retain(better);
    }
}
