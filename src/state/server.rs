//! What is known of servers and of the uplinks of their racks.

use super::inputs::{Availability, ServerEntry};
use crate::demand::{Demand, DemandHistory, ViewingsByClass};
use crate::ids::ServerId;
use crate::time::Ms;
use std::collections::BTreeSet;

/// An observed load of a link or an uplink, with this manager's own demand at that time.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Demand over capacity; above 1 when delivery is short.
    pub load: f64,
    pub demand: Demand,
    pub at: Ms,
}

/// Estimated shortfall of an uplink.
#[derive(Clone, Copy, Debug)]
pub struct Shortfall {
    /// Missing capacity as a fraction of the load that its links place on it.
    pub share: f64,
    pub at: Ms,
}

/// Cached sum of the load that the links of a rack place on its uplink.
#[derive(Clone, Copy, Debug)]
pub struct LinksSum {
    pub at: Ms,
    pub kb: f64,
    /// This manager's own demand at that time, in kB per second.
    pub own_kb: f64,
}

/// The uplink of a rack.
#[derive(Clone, Debug)]
pub struct Uplink {
    /// The servers of the rack.
    pub servers: BTreeSet<ServerId>,
    /// The servers where this manager has viewings or recently had some; only they contribute to its demand.
    pub with_demand: BTreeSet<ServerId>,
    /// This manager's demand.
    pub demand: Demand,
    pub sample: Option<LoadSample>,
    /// Used where the uplink's load is not reported; derived from short delivery.
    pub shortfall: Shortfall,
    pub links_sum: std::cell::Cell<LinksSum>,
}

/// A note on the load of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkNote {
    pub load: f64,
    pub at: Ms,
}

/// A note on delivery.
#[derive(Clone, Copy, Debug)]
pub struct Delivered {
    /// Share of the demanded rate that the server's viewings received.
    pub share: f64,
    pub at: Ms,
}

/// A streaming server.
#[derive(Clone, Debug)]
pub struct Server {
    pub entry: ServerEntry,
    /// Latest known load of its link, from whichever source.
    pub sample: Option<LoadSample>,
    /// The last note about the link itself.
    pub link_note: LinkNote,
    /// Since when delivery has been short.
    pub short_since: Option<Ms>,
    pub delivered: Delivered,
    /// This manager's viewings there, set-ups included.
    pub viewings: ViewingsByClass,
    /// Their present demand, by the rates of the ladder.
    pub demand: Demand,
    pub demand_history: DemandHistory,
    /// Times of the set-ups that this manager recently sent there, newest last.
    pub set_ups_sent: Vec<Ms>,
    pub cold_until: Ms,
    /// Consecutive failures.
    pub failures: u32,
    /// Until when no viewing is placed there, after failures or a refusal.
    pub avoid_until: Ms,
    /// When the rungs of its viewings are reviewed next.
    pub next_review: Ms,
    /// When the rate bound was last found exceeded.
    pub unsettled_at: Ms,
    /// Uniform in (0, 1], drawn for each note: the fraction of a step that must be due to this manager for it
    /// to make the step.
    pub step_threshold: f64,
    pub threshold_drawn_at: Ms,
    /// When it was last probed.
    pub probed_at: Ms,
    /// Whether that probe is still unanswered.
    pub probe_pending: bool,
    /// When it is probed next on behalf of the viewings that play there.
    pub next_probe: Ms,
    /// Since when it has been missing from the list.
    pub gone_since: Option<Ms>,
}

/// Diagnostic view of what is known of a server, to be compared with the actual traffic.
#[derive(Clone, Debug)]
pub struct Belief {
    pub server: ServerId,
    pub availability: Availability,
    /// Number of this manager's viewings there, set-ups included.
    pub held: f64,
    /// Load of its link and the age of that value.
    pub asked: Option<(f64, Ms)>,
    pub failures: u32,
    /// Whether no viewing is placed there at present because it failed or refused.
    pub shunned: bool,
    pub cold: bool,
}

impl Default for Uplink {
    fn default() -> Uplink {
        Uplink {
            servers: BTreeSet::new(),
            with_demand: BTreeSet::new(),
            demand: Demand::ZERO,
            sample: None,
            shortfall: Shortfall { share: 0.0, at: Ms::DISTANT_PAST },
            links_sum: std::cell::Cell::new(LinksSum { at: Ms::DISTANT_PAST, kb: 0.0, own_kb: 0.0 }),
        }
    }
}

impl Server {
    /// A server without viewings of which only the list entry is known.
    pub fn new(entry: ServerEntry, cold_until: Ms) -> Server {
        Server {
            entry,
            sample: None,
            link_note: LinkNote { load: 0.0, at: Ms::DISTANT_PAST },
            short_since: None,
            delivered: Delivered { share: 1.0, at: Ms::DISTANT_PAST },
            viewings: ViewingsByClass::default(),
            demand: Demand::ZERO,
            demand_history: DemandHistory::default(),
            set_ups_sent: Vec::new(),
            cold_until,
            failures: 0,
            avoid_until: Ms::DISTANT_PAST,
            next_review: Ms::DISTANT_PAST,
            unsettled_at: Ms::DISTANT_PAST,
            step_threshold: 1.0,
            threshold_drawn_at: Ms::DISTANT_PAST,
            probed_at: Ms::DISTANT_PAST,
            probe_pending: false,
            next_probe: Ms::DISTANT_PAST,
            gone_since: None,
        }
    }

    /// Whether this manager has had no demand there since that time.
    pub fn without_demand_since(&self, time: Ms) -> bool {
        self.viewings.is_empty() && self.demand == Demand::ZERO && self.demand_history.unchanged_since(time)
    }

    /// This manager's demand there at that time.
    pub fn demand_at(&self, time: Ms) -> Demand {
        self.demand_history.at(time, self.demand)
    }
}
