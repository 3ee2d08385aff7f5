//! What the module knows of servers and of the uplinks of their racks.

use super::told::{Availability, ServerEntry};
use crate::census::{Census, Own, Past};
use crate::ids::ServerId;
use crate::time::Ms;
use std::collections::BTreeSet;

/// What is asked of a link or an uplink over what it gives, with the manager's own part at that time.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub asked: f64,
    pub own: Own,
    pub at: Ms,
}

/// The uplink of a rack.
#[derive(Clone, Debug)]
pub struct Uplink {
    pub servers: BTreeSet<ServerId>,
    /// Those of them where this manager has viewings, or lately had: the others add nothing to its part.
    pub asked: BTreeSet<ServerId>,
    pub own: Own,
    pub seen: Option<Seen>,
    /// Where it is not reported: what short delivery showed to be missing from what its links ask of it, as a
    /// part of that, and when.
    pub missing: (f64, Ms),
    /// What its links asked of it when that was last summed, with the manager's own part at that moment.
    pub counted: std::cell::Cell<(Ms, f64, f64)>,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub entry: ServerEntry,
    pub seen: Option<Seen>,
    /// The last note on the link itself, and since when delivery has been short.
    pub link_note: (f64, Ms),
    pub short_since: Option<Ms>,
    /// Share last delivered to viewings there, and when.
    pub delivered: (f64, Ms),
    /// Viewings that the manager has there, set-ups included.
    pub census: Census,
    /// What they ask by the ladder, and what they asked.
    pub own: Own,
    pub past: Past,
    /// When the manager sent set-ups there, newest last.
    pub sent: Vec<Ms>,
    pub cold_until: Ms,
    /// Failures in a row, and until when they keep the server out of the pick.
    pub failures: u32,
    pub shunned_until: Ms,
    /// When its rungs are weighed again, and when one last changed or was too high.
    pub look_at: Ms,
    pub unsettled_at: Ms,
    /// Drawn for each note, from just above 0 to 1: the part of a step that must be this manager's.
    pub lot: f64,
    pub lot_at: Ms,
    /// When it was last probed, and whether that probe is out.
    pub probed_at: Ms,
    pub probe_out: bool,
    /// When it is probed next for the viewings that play there.
    pub next_probe: Ms,
    /// Since when the list has it gone.
    pub off_since: Option<Ms>,
}

/// What the module believes of a server, to be held against what passes on the sockets.
#[derive(Clone, Debug)]
pub struct Belief {
    pub server: ServerId,
    pub availability: Availability,
    /// Viewings that it has there, set-ups included.
    pub held: f64,
    /// Asked of its link over what that gives, and how old that is.
    pub asked: Option<(f64, Ms)>,
    pub failures: u32,
    pub shunned: bool,
    pub cold: bool,
}

impl Default for Uplink {
    fn default() -> Uplink {
        let counted = std::cell::Cell::new((Ms::DISTANT_PAST, 0.0, 0.0));
        Uplink {
            servers: BTreeSet::new(),
            asked: BTreeSet::new(),
            own: (0.0, 0.0),
            seen: None,
            missing: (0.0, Ms::DISTANT_PAST),
            counted,
        }
    }
}

impl Server {
    pub fn new(entry: ServerEntry, cold_until: Ms) -> Server {
        Server {
            entry,
            seen: None,
            link_note: (0.0, Ms::DISTANT_PAST),
            short_since: None,
            delivered: (1.0, Ms::DISTANT_PAST),
            census: Census::default(),
            own: (0.0, 0.0),
            past: Past::default(),
            sent: Vec::new(),
            cold_until,
            failures: 0,
            shunned_until: Ms::DISTANT_PAST,
            look_at: Ms::DISTANT_PAST,
            unsettled_at: Ms::DISTANT_PAST,
            lot: 1.0,
            lot_at: Ms::DISTANT_PAST,
            probed_at: Ms::DISTANT_PAST,
            probe_out: false,
            next_probe: Ms::DISTANT_PAST,
            off_since: None,
        }
    }

    /// This manager asks nothing of it, and has not since that time.
    pub fn unasked_since(&self, at: Ms) -> bool {
        self.census.is_empty() && self.own == (0.0, 0.0) && self.past.unchanged_since(at)
    }

    pub fn own_at(&self, at: Ms) -> Own {
        self.past.at(at, self.own)
    }
}
