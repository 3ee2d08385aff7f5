//! Capacity and load of links and uplinks, and the part of them that this manager's viewings may use.

use super::*;

/// State of a link or an uplink.
pub(super) struct LinkState {
    /// Capacity by the list and the settings.
    pub listed_kb: f64,
    pub sample: LoadSample,
    /// This manager's present demand.
    pub demand: Demand,
}

impl LinkState {
    /// The listed capacity, or more if this manager's own demand exceeded the whole observed load: then the
    /// link is larger than listed, or titles need less than their nominal rates.
    pub fn capacity_kb(&self) -> f64 {
        let sample = &self.sample;
        self.listed_kb.max(if sample.load > 0.0 { sample.demand.kb / sample.load } else { 0.0 })
    }

    /// Demand of the other managers.
    pub fn others_kb(&self) -> f64 {
        (self.sample.load * self.capacity_kb() - self.sample.demand.kb).max(0.0)
    }

    /// Rate that is left up to this load; negative if the load is exceeded.
    pub fn free_kb(&self, load: f64) -> f64 {
        self.capacity_kb() * load - self.others_kb() - self.demand.kb
    }

    /// The present load.
    pub fn load(&self) -> f64 {
        self.sample.load + (self.demand.kb - self.sample.demand.kb) / self.listed_kb.max(1.0)
    }
}

impl Placement {
    /// Listed capacity of a server's link.
    pub(super) fn link_kb(&self, server: &Server) -> f64 {
        let places = |kind| self.config.places_by_kind.get(kind).copied().unwrap_or(1.0);
        let size =
            if self.config.weights_listed { 1.0 } else { places(&server.entry.kind) / self.mean_places };
        server.entry.weight * size * self.config.link_unit_kb
    }

    /// Rate of the middle rung of the ladder.
    pub(super) fn middle_rung_kb(&self) -> f64 {
        self.config.ladder_kb.get(self.config.ladder_kb.len() / 2).copied().unwrap_or(1.0)
    }

    /// Rate that `units` of this manager's viewings may use of a link or uplink filled up to `load`: a part
    /// of the capacity in proportion to their number.
    pub(super) fn fair_share_kb(&self, link: &LinkState, units: f64, load: f64) -> f64 {
        link.capacity_kb() * load * units / (units + self.others_count(link)).max(1e-6)
    }

    /// Estimated number of the other managers' viewings, however many managers there are: their demand over
    /// the mean ladder rate of this manager's viewings at the link or, if it has none there, of all its
    /// viewings and one at the middle rung.
    pub(super) fn others_count(&self, link: &LinkState) -> f64 {
        let at_link = Some(link.sample.demand).filter(|demand| demand.units > 0.0);
        let middle = Demand { kb: self.middle_rung_kb(), units: 1.0 };
        let demand = at_link.unwrap_or(self.demand.plus(middle));
        link.others_kb() / (demand.kb / demand.units).max(1e-6)
    }

    /// Like `fair_share_kb` for an uplink. An uplink averages over many viewings: where it is reported it may
    /// be filled further than a link, and a shortage is less likely to be a fluctuation. An uplink of unknown
    /// capacity limits nothing.
    pub(super) fn uplink_share_kb(&self, uplink: &LinkState, units: f64, load: f64) -> f64 {
        match uplink.listed_kb {
            listed if listed > 0.0 => self.fair_share_kb(uplink, units, self.uplink_load_limit(load)),
            _ => f64::INFINITY,
        }
    }

    /// Reports from after this time count as known.
    pub(super) fn fresh_since(&self) -> Ms {
        self.now - (self.note_gap() * STALE_NOTE_GAPS + self.config.report_delay)
    }

    /// A sample extrapolated to the present. With hundreds of managers nearly all changes since are due to
    /// the others, and this manager's own demand indicates how theirs has grown.
    pub(super) fn extrapolated(&self, listed_kb: f64, sample: LoadSample) -> LoadSample {
        let prior =
            GROWTH_PRIOR_VIEWINGS * (self.demand.kb + self.middle_rung_kb()) / (self.demand.units + 1.0);
        let before = if sample.at >= self.history_valid_from {
            self.demand_history.at(sample.at, self.demand).kb
        } else {
            self.demand.kb
        };
        let growth = ((self.demand.kb + prior) / (before + prior).max(1e-6)).min(MAX_GROWTH);
        let link = LinkState { listed_kb, sample, demand: sample.demand };
        let others_load = link.others_kb() / link.capacity_kb().max(1e-6);
        LoadSample { load: sample.load + others_load * (growth - 1.0), ..sample }
    }

    /// State of a server's link by the last report; without one, the other managers' load is assumed to be
    /// the mean of the known links.
    pub(super) fn link_state(&self, server: &Server) -> LinkState {
        let (listed_kb, demand) = (self.link_kb(server), server.demand);
        let known = server
            .sample
            .filter(|sample| sample.at > self.fresh_since())
            .map(|sample| self.extrapolated(listed_kb, sample));
        let sample = known.unwrap_or(self.assumed_sample(self.mean_link_load, listed_kb, demand));
        LinkState { listed_kb, sample, demand }
    }

    /// State of the uplink of a server's rack.
    pub(super) fn uplink_state(&self, server: &Server) -> LinkState {
        let uplink = self.uplink_of(server);
        LinkState {
            listed_kb: self.config.uplink_kb,
            sample: self.uplink_sample(uplink),
            demand: uplink.demand,
        }
    }

    /// A sample in which the other managers cause their part of the mean load.
    pub(super) fn assumed_sample(&self, mean_load: f64, listed_kb: f64, demand: Demand) -> LoadSample {
        let others_load = mean_load * (1.0 - 1.0 / self.config.manager_count.max(1.0));
        LoadSample { load: others_load + demand.kb / listed_kb.max(1.0), demand, at: self.now }
    }

    /// The load up to which an uplink is filled where a link is filled up to `load`.
    pub(super) fn uplink_load_limit(&self, load: f64) -> f64 {
        let least =
            if self.config.uplinks_reported && !self.config.reports_on_probe { ADMIT_LOAD } else { 0.0 };
        load.clamp(least, STEP_DOWN_LOAD)
    }

    /// Rate that this manager's viewings may use at a server: the lesser of its share of the link and the
    /// server's part of its share of the uplink.
    pub(super) fn capacity_kb(&self, server: &Server, load: f64) -> f64 {
        let link = self.fair_share_kb(&self.link_state(server), server.demand.units, load);
        let uplink = self.uplink_state(server);
        if load >= RELIEVED_LOAD && self.known_uplink_sample(self.uplink_of(server)).is_none() {
            return link;
        }
        let share = self.uplink_share_kb(&uplink, uplink.demand.units, load);
        let demand = uplink.demand.kb;
        link.min(if share >= demand {
            server.demand.kb + share - demand
        } else {
            server.demand.kb * share / demand
        })
    }

    /// Rate that is left at a server up to this load, on its link and its uplink.
    pub(super) fn free_kb(&self, server: &Server, load: f64) -> f64 {
        let link = self.link_state(server).free_kb(load);
        if self.config.uplink_kb <= 0.0 {
            return link;
        }
        link.min(self.uplink_state(server).free_kb(self.uplink_load_limit(load)))
    }
}
