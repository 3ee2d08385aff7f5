//! Evaluation of notes and load reports.

use super::*;

/// From this delivered share on, delivery does not count as short.
pub(super) const FULL_DELIVERY: f64 = 0.98;

impl Placement {
    /// Time between two notes about a server, or between two probes where load is reported only to those.
    pub(super) fn note_gap(&self) -> Ms {
        if self.config.reports_on_probe {
            return (self.config.report_delay * PROBE_VALIDITY_DELAYS).max(self.join_target());
        }
        self.config.report_interval.max(self.config.report_delay).max(self.review_interval())
    }

    /// The shortest join target of all packages.
    pub(super) fn join_target(&self) -> Ms {
        self.config.packages.iter().map(|package| package.join_target).min().unwrap_or(Ms(1e3))
    }

    /// Time between two reviews of a server or a waiting viewing.
    pub(super) fn review_interval(&self) -> Ms {
        (self.join_target() * REVIEW_INTERVAL_SHARE).max(self.config.tick).max(Ms(1.0))
    }

    /// Draws a new step threshold of the server for a note about the time `at`. A note from before the last
    /// draw completes what was known then, so it is reviewed with that threshold. One from within `smoothing`
    /// after it reflects the managers' reaction only in part, and is not acted on.
    pub(super) fn draw_step_threshold(&mut self, id: &ServerId, at: Ms, smoothing: Ms) {
        let (threshold, next) = (self.rng.unit(), self.now + self.review_interval());
        if let Some(server) = self.servers.get_mut(id) {
            let sooner = server.next_review.min(next);
            if server.threshold_drawn_at + smoothing <= at {
                (server.step_threshold, server.threshold_drawn_at) = (threshold, self.now);
                self.review_at(id, next);
            } else if at < server.threshold_drawn_at {
                self.review_at(id, sooner);
            }
        }
    }

    /// Limits reported loads to 1 at a server that plays viewings and delivers in full: reports are noisy,
    /// whereas short delivery would have been noted.
    pub(super) fn capped_by_delivery(&self, id: &ServerId, load: Load) -> Load {
        let delivers_in_full = |server: &Server| {
            server.delivered.share >= FULL_DELIVERY && server.viewings.playing().next().is_some()
        };
        if !self.servers.get(id).is_some_and(delivers_in_full) {
            return load;
        }
        let capped = |load: f64| load.min(1.0);
        Load { link_uncapped: load.link_uncapped.map(capped), uplink: load.uplink.map(capped), ..load }
    }

    /// Records the load that a server's link had at that time, unless a later one is known.
    pub(super) fn record_link_load(&mut self, id: &ServerId, load: f64, at: Ms) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.sample.is_none_or(|sample| sample.at <= at) {
            server.sample = Some(LoadSample { load, demand: server.demand_at(at), at });
            self.link_loads.set(id, at, load);
        }
        self.mean_link_load = self.link_loads.mean(self.fresh_since()).unwrap_or(load);
    }

    /// Records a load report from an answer. Such reports are less precise than notes, and are used only
    /// where the last sample is old.
    pub(super) fn record_report(&mut self, id: &ServerId, load: Load, at: Ms) {
        let is_old = |sample: Option<LoadSample>| {
            sample.is_none_or(|sample| self.now - sample.at > self.config.report_interval)
        };
        let Some(server) = self.servers.get(id) else { return };
        let uplink_old = is_old(self.uplink_of(server).sample);
        if let Some(link_load) = load.link_uncapped.or(load.link).filter(|_| is_old(server.sample)) {
            self.record_link_load(id, link_load, at);
        }
        if let Some(uplink_load) = load.uplink.filter(|_| uplink_old) {
            self.record_uplink_load(id, uplink_load, at);
        }
    }
}
