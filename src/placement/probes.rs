//! Where load is told to probes only.

use super::*;

impl Placement {
    /// Asks a server for its load, once in a gap; true while the report is out.
    pub(super) fn probe(&mut self, id: &ServerId, gap: Ms, out: Out) -> bool {
        let (now, asks) = (self.now, self.terms.reports_on_probe);
        let may = |it: &&mut Server| asks && it.entry.availability == Availability::Up;
        let Some(it) = self.servers.get_mut(id).filter(may) else { return false };
        if !it.probe_out && now - it.probed_at >= gap {
            (it.probe_out, it.probed_at) = (true, now);
            out.probe(id);
        }
        it.probe_out
    }

    /// Each manager probes at times of its own: so many viewings on the link or uplink, with one's own, act
    /// on a report before it shows what the others made of theirs.
    pub(super) fn seen_together(&self, server: &Server) -> f64 {
        let most = self.others(&self.link(server)).max(self.others(&self.uplink(server)));
        1.0 + most * (self.terms.report_delay * REPORT_AGE / self.note_gap())
    }
}
