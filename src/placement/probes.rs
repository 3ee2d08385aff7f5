//! Probes, where servers report their load only when asked.

use super::*;

impl Placement {
    /// Probes a server unless it was probed within `gap`. Returns whether an answer is pending.
    pub(super) fn request_probe(&mut self, id: &ServerId, gap: Ms, actions: Actions) -> bool {
        let (now, reports_on_probe) = (self.now, self.config.reports_on_probe);
        let may_probe =
            |server: &&mut Server| reports_on_probe && server.entry.availability == Availability::Up;
        let Some(server) = self.servers.get_mut(id).filter(may_probe) else { return false };
        if !server.probe_pending && now - server.probed_at >= gap {
            (server.probe_pending, server.probed_at) = (true, now);
            actions.probe(id);
        }
        server.probe_pending
    }

    /// Estimated number of viewings, this manager's one included, that act on reports of the server's link or
    /// uplink before a report shows the effect of each other's steps. Managers probe at different times.
    pub(super) fn concurrent_viewings(&self, server: &Server) -> f64 {
        let link_count = self.others_count(&self.link_state(server));
        let most = link_count.max(self.others_count(&self.uplink_state(server)));
        1.0 + most * (self.config.report_delay * PROBE_REPORT_AGE_DELAYS / self.note_gap())
    }
}
