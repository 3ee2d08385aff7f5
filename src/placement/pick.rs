//! The choice of a holder for a viewing.

use super::*;

impl Placement {
    /// Whether a holder could take the viewing once it is no longer avoided or rate-limited, as opposed to
    /// one that has no room.
    pub(super) fn may_fit_later(&self, viewing: &Viewing) -> bool {
        let fits = |server: &Server| !viewing.may_still_run_at(server) && self.has_room(viewing, server);
        self.seat_free(viewing) && self.holders(&viewing.request).any(fits)
    }

    /// The servers that hold the title and are up.
    pub(super) fn holders<'a>(
        &'a self,
        request: &'a ViewingRequest,
    ) -> impl Iterator<Item = &'a Server> + 'a {
        let cells = (0..request.cell_count.min(self.config.cells.max(1)))
            .map(|offset| self.cell(request.first_cell + offset));
        let ids = cells.flat_map(|cell| self.servers_by_cell.get(&cell)).flatten();
        ids.map(|id| &self.servers[id]).filter(|server| server.entry.availability == Availability::Up)
    }

    /// The holders that may get the viewing now; only those without a tune-in of it so far, if there are any.
    pub(super) fn eligible(&self, viewing: &Viewing) -> Vec<ServerId> {
        let seat_free = self.seat_free(viewing);
        let fits = |server: &&Server| {
            seat_free
                && self.now >= server.avoid_until
                && self.pace_allows(server)
                && self.in_dedup_scope(viewing, server)
                && !viewing.may_still_run_at(server)
                && self.has_room(viewing, server)
        };
        let fitting = self.holders(&viewing.request).filter(fits).map(|server| server.entry.server.clone());
        let mut ids: Vec<ServerId> = fitting.collect();
        keep_preferred(&mut ids, |id| !viewing.tune_ins.iter().any(|tune_in| tune_in.server == *id));
        ids
    }

    /// Whether the viewing's title is the one that the server should concentrate on. Viewers of a live title
    /// at one server share a stream, so each server is preferred for one of the live titles that this manager
    /// holds: the one with the highest hash of both names, on which all managers agree without communication.
    pub(super) fn is_preferred_for(&self, viewing: &Viewing, server: &ServerId) -> bool {
        let is_live =
            |package: PackageIndex| self.config.live_join_share < 1.0 && self.config.packages[package.0].live;
        if !is_live(viewing.request.package) {
            return true;
        }
        let rank = |title: &TitleId| name_hash(&format!("{title}{server}"));
        let own_rank = rank(&viewing.request.title);
        let live_seats = self.seats_taken.keys().filter(|(_, package)| is_live(*package));
        live_seats.map(|(title, _)| rank(title)).all(|other| other <= own_rank)
    }

    /// Whether the viewing fits if all viewings at the server go to their lowest rung. How far the other
    /// managers' viewings can go down is not known; this manager's viewings at all servers serve as an
    /// estimate.
    pub(super) fn has_room(&self, viewing: &Viewing, server: &Server) -> bool {
        let floor = self.package(viewing).floor;
        let floor_rate = self.rate(viewing.request.package, floor);
        let kb = self.demand.kb + self.middle_rung_kb();
        let floor_share = (self.floor_kb + self.ladder_rate(floor)) / kb.max(1e-6);
        let fits = |link: &LinkState, free_load: f64| {
            let (capacity, demand) = (link.capacity_kb(), link.others_kb() + link.demand.kb);
            if viewing.over_share {
                // A viewing in excess of its tenant's allowance only uses free capacity; no other steps down
                // for it.
                demand + floor_rate <= capacity * free_load
            } else {
                let count = 1.0 + demand * floor_share.min(1.0) / floor_rate.max(1e-6);
                floor_rate * (count + RATE_QUANTILE * count.sqrt()) <= capacity * ADMIT_FLOOR_LOAD
            }
        };
        let (link, uplink) = (self.link_state(server), self.uplink_state(server));
        fits(&link, STEP_UP_LOAD)
            && (uplink.listed_kb <= 0.0 || fits(&uplink, self.uplink_load_limit(STEP_UP_LOAD)))
    }

    /// Load of the server's link or uplink, whichever is higher, plus a penalty for another zone.
    pub(super) fn load(&self, server: &Server) -> f64 {
        let same_zone = server.entry.zone == self.config.zone;
        let crossing = if same_zone { 0.0 } else { self.config.cross_zone_price };
        self.link_state(server).load().max(self.uplink_state(server).load())
            + crossing * CROSS_ZONE_LOAD_FACTOR
    }

    /// Draws a holder with a probability in proportion to its capacity, because the loads of most holders are
    /// not known. Where probes report loads, all have the same probability.
    pub(super) fn draw_holder(&mut self, holders: &[ServerId]) -> usize {
        let weight = |id| {
            if self.config.reports_on_probe {
                1.0
            } else {
                self.link_kb(&self.servers[id])
            }
        };
        let weights: Vec<f64> = holders.iter().map(weight).collect();
        let point = self.rng.unit() * weights.iter().sum::<f64>();
        index_at(weights.into_iter(), point).unwrap_or(0)
    }
}

/// Removes all ids that are not preferred, unless none is.
pub(super) fn keep_preferred(ids: &mut Vec<ServerId>, preferred: impl Fn(&ServerId) -> bool) {
    if ids.iter().any(&preferred) {
        ids.retain(preferred);
    }
}
