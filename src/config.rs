//! Settings of the placement decisions, decoded once at start-up.

use crate::ids::{HardwareKind, ManagerIndex, Rung, Zone};
use crate::time::Ms;
use std::collections::BTreeMap;

/// Servers at which a repeated request of a deduplicated package is recognised as a duplicate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DedupScope {
    All,
    SameZone,
    SameCell,
}

/// Whether a set-up that may have taken effect can safely be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestSemantics {
    Idempotent,
    /// Servers in the same scope ignore a duplicate that arrives within the window.
    Deduplicated {
        group: DedupScope,
        window: Ms,
    },
    AtMostOnce,
}

/// A class of requests with common service targets.
#[derive(Clone, Debug)]
pub struct Package {
    pub name: String,
    /// Factor on the value of each rung.
    pub value: f64,
    /// Target for the time from the request until the viewing plays.
    pub join_target: Ms,
    pub semantics: RequestSemantics,
    /// Factor from the ladder's rates to the rates of this package.
    pub rate_scale: f64,
    /// Lowest rung that may be given.
    pub floor: Rung,
    /// Highest rung that may be given.
    pub top: Rung,
    /// Viewings of one title that a manager may hold; 0 means no limit.
    pub seats: usize,
    /// Whether its titles are live: viewers of one title at the same server and rung share a stream.
    pub live: bool,
}

/// A customer whose arrivals are limited to a rate.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    /// Arrivals per second that all managers together admit at full priority.
    pub allowance_per_s: f64,
}

/// Limit on further tune-ins (every one after a viewing's first): `free_resends` plus `ratio` times the number of
/// requests accepted within the window.
#[derive(Clone, Copy, Debug)]
pub struct ResendBudget {
    pub free_resends: f64,
    pub ratio: f64,
    pub window: Ms,
}

/// Limits on the set-ups sent to a server that has recently started.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    /// Time after its start during which a server counts as cold.
    pub warm_up: Ms,
    /// Capacity of a server that has just started, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Load at which a cold server fails, as a multiple of its capacity.
    pub fall_multiple: f64,
    /// Window over which that load is measured.
    pub fall_window: Ms,
    /// Longest time from sending a set-up to its arrival; the connection may have to be established first.
    pub max_send_delay: Ms,
}

impl ColdStart {
    /// Set-ups that arrive within one fall window were sent within this time.
    pub fn send_window(&self) -> Ms {
        self.fall_window + self.max_send_delay
    }
}

/// Settings of one manager's [`Placement`](crate::placement::Placement). Rates are in kB per second.
#[derive(Clone, Debug, Default)]
pub struct PlacementConfig {
    pub manager: ManagerIndex,
    pub manager_count: f64,
    /// Zone of this manager.
    pub zone: Zone,
    pub packages: Vec<Package>,
    pub tenants: Vec<Tenant>,
    /// Rate of each rung, lowest first.
    pub ladder_kb: Vec<f64>,
    /// Value of a viewing at each rung; empty if the settings give none.
    pub rung_values: Vec<f64>,
    /// Rate that one more viewer of a live title adds to its stream, as a fraction of the full rate; 1 means that
    /// nothing is shared.
    pub live_join_share: f64,
    pub cells: u64,
    pub racks: u64,
    /// Rate of the link of a server whose weight is 1.
    pub link_unit_kb: f64,
    /// Rate of a rack's uplink; 0 if it is unknown.
    pub uplink_kb: f64,
    /// Whether reports contain the load of uplinks.
    pub uplinks_reported: bool,
    /// Whether load reports arrive only as answers to probes; probing is then allowed.
    pub reports_on_probe: bool,
    /// Whether the weights in the list reflect server sizes; if not, all weights are equal.
    pub weights_listed: bool,
    /// Viewings that a server of each hardware kind can hold.
    pub places_by_kind: BTreeMap<HardwareKind, f64>,
    /// Delay until a load report reflects a change at the server.
    pub report_delay: Ms,
    /// Time between two load reports of a server.
    pub report_interval: Ms,
    /// Playing time whose value a change of rung costs.
    pub change_cost: Ms,
    /// Tune-ins that a viewing may have, the first included.
    pub max_tune_ins: usize,
    /// Longest retry delay to tell a blocked viewer; `None` tells no delay.
    pub max_stay_away: Option<Ms>,
    /// Whether the server list has to be subscribed to.
    pub must_subscribe: bool,
    /// Price of serving a viewing from another zone.
    pub cross_zone_price: f64,
    pub cold: ColdStart,
    /// `None` means that further tune-ins are not limited.
    pub budget: Option<ResendBudget>,
    /// Resolution of the clock.
    pub tick: Ms,
}
