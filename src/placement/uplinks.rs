//! Estimation of the load of uplinks.

use super::notes::FULL_DELIVERY;
use super::*;

impl Placement {
    /// The load of an uplink by a report or by short delivery. Only this makes playing viewings step down.
    pub(super) fn known_uplink_sample(&self, uplink: &Uplink) -> Option<LoadSample> {
        let is_recent = |sample: &LoadSample| self.now - sample.at < self.config.report_delay * 3.0;
        let is_fresh = |sample: &LoadSample| {
            sample.at > self.fresh_since() && (self.config.uplinks_reported || is_recent(sample))
        };
        uplink.sample.filter(is_fresh).map(|sample| self.extrapolated(self.config.uplink_kb, sample))
    }

    /// The known load of an uplink, or an estimate: the mean of all uplinks where they are reported, else the
    /// load that the rack's links place on it, increased by the shortfall found when delivery was last short.
    pub(super) fn uplink_sample(&self, uplink: &Uplink) -> LoadSample {
        if let Some(known) = self.known_uplink_sample(uplink) {
            return known;
        } else if self.config.uplinks_reported {
            return self.assumed_sample(self.mean_uplink_load, self.config.uplink_kb, uplink.demand);
        }
        let load = self.links_load(uplink) * (1.0 + self.shortfall(uplink));
        LoadSample { load, demand: uplink.demand, at: self.now }
    }

    /// The uplink's shortfall, which decays with time.
    pub(super) fn shortfall(&self, uplink: &Uplink) -> f64 {
        let time_constant = self.note_gap() * SHORTFALL_DECAY_NOTE_GAPS;
        uplink.shortfall.share * (-((self.now - uplink.shortfall.at) / time_constant)).exp()
    }

    /// Records the load of the uplink of a server's rack at that time, unless a later one is known.
    pub(super) fn record_uplink_load(&mut self, server: &ServerId, load: f64, at: Ms) {
        let Some(rack) = self.servers.get(server).map(|server| self.rack(server)) else { return };
        let oldest = (self.now - self.config.report_delay).min(at);
        let servers = &self.servers;
        let Some(uplink) = self.uplinks.get_mut(&rack) else { return };
        uplink.with_demand.retain(|id| !servers[id].without_demand_since(oldest));
        let demands = uplink.with_demand.iter().map(|id| servers[id].demand_at(at));
        let demand = demands.fold(Demand::ZERO, Demand::plus);
        if uplink.sample.is_none_or(|sample| sample.at <= at) {
            uplink.sample = Some(LoadSample { load, demand, at });
            self.uplink_loads.set(&rack, at, load);
        }
        self.mean_uplink_load = self.uplink_loads.mean(self.fresh_since()).unwrap_or(load);
    }

    /// Records the share that a server delivers. A shortage is attributed to the link, unless a note on the
    /// link from after the shortage began does not explain it; then it is attributed to the uplink.
    pub(super) fn record_delivered(&mut self, id: &ServerId, share: f64, at: Ms) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.delivered = Delivered { share, at };
        if share >= FULL_DELIVERY {
            server.short_since = None;
            return;
        }
        let since = *server.short_since.get_or_insert(at);
        let link_explains = server.link_note.at < since || server.link_note.load >= EXPLAINED_SHARE;
        // A short uplink gives every server of the rack at least the share of the best one.
        let rack = self.rack(&self.servers[id]);
        let neighbours = self.uplinks[&rack].servers.iter().map(|id| &self.servers[id]);
        let is_recent = |server: &&Server| at - server.delivered.at < self.config.report_delay * 2.0;
        let shares = neighbours.filter(is_recent).map(|server| server.delivered.share);
        let best = shares.fold(share, f64::max);
        if link_explains || share < best * EXPLAINED_SHARE {
            self.record_link_load(id, 1.0 / share.max(0.05), at);
        } else {
            self.record_uplink_load(id, 1.0 / best, at);
            let previous = self.shortfall(&self.uplinks[&rack]);
            let observed = 1.0 / best / self.links_load(&self.uplinks[&rack]).max(1e-6) - 1.0;
            let shortfall = Shortfall { share: observed.max(previous), at: self.now };
            if let Some(uplink) = self.uplinks.get_mut(&rack) {
                uplink.shortfall = shortfall;
            }
        }
    }

    /// Load that the links of a rack place on its uplink. No link passes more than its capacity.
    pub(super) fn links_load(&self, uplink: &Uplink) -> f64 {
        let passed_kb = |server: &Server| self.link_state(server).load().min(1.0) * self.link_kb(server);
        self.rack_sum(uplink, passed_kb) / self.config.uplink_kb.max(1.0)
    }

    /// Sum of a value over the servers of a rack that are up. It is computed at most once for each time and
    /// then only corrected by this manager's new demand, because thousands of requests may arrive at once.
    fn rack_sum(&self, uplink: &Uplink, value: impl Fn(&Server) -> f64) -> f64 {
        let LinksSum { at, mut kb, own_kb } = uplink.links_sum.get();
        if at != self.now {
            let servers = uplink.servers.iter().map(|id| &self.servers[id]);
            let up = servers.filter(|server| server.entry.availability == Availability::Up);
            kb = up.map(value).sum::<f64>();
            uplink.links_sum.set(LinksSum { at: self.now, kb, own_kb: uplink.demand.kb });
        } else {
            kb += uplink.demand.kb - own_kb;
        }
        kb
    }
}
