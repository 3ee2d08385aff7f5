//! The decisions of ottersail; each kind has a module of its own below src/placement/. The adapter calls one
//! method of [`Placement`] for each input (`inputs`). The method records the input and then applies `RULES`
//! (`rules`) in order, starting again from the first rule whenever one fires, until none does. Decisions
//! leave through [`PlacementActions`]. docs/design.md gives the origin and the module of each rule;
//! docs/on-call.md describes symptoms in operation.

mod bookkeeping;
mod constants;
mod inputs;
mod limits;
mod links;
mod notes;
mod pace;
mod pick;
mod probes;
mod rules;
mod split;
mod steps;
#[cfg(test)]
mod tests;
mod uplinks;

pub use self::constants::LIST_LAG_FALL_WINDOWS;
use self::{constants::*, limits::SlotSet, links::LinkState, pick::keep_preferred};
use crate::actions::PlacementActions;
use crate::config::{DedupScope, PlacementConfig, RequestSemantics};
use crate::demand::{add_count, with_moved, ClassCount, Demand, DemandClass, DemandHistory, RecentMean};
use crate::ids::{
    name_hash, Cell, PackageIndex, Rack, Rung, ServerId, TenantIndex, TimerTag, TitleId, TuneInIndex,
    ViewingId,
};
use crate::rng::{index_at, Rng};
use crate::state::{
    Availability, Delivered, LinkNote, LinksSum, ListMode, Load, LoadSample, Outcome, Phase, Server,
    ServerEntry, Shortfall, Topic, TuneIn, Uplink, Viewing, ViewingRequest,
};
use crate::time::{DecayingSum, Ms};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Actions<'a> = &'a mut dyn PlacementActions;

/// The decisions of one manager and what they are based on. Loads are fractions of a capacity, rates are in
/// kB per second.
#[derive(Default)]
pub struct Placement {
    config: PlacementConfig,
    now: Ms,
    rng: Rng,
    /// This manager's share of the limits that all managers have in common.
    slots: SlotSet,
    /// Its former shares, the first being none at all, and until when other managers may still assume each.
    earlier_slots: Vec<(Ms, SlotSet)>,
    /// Until then any server may be cold: the list at start-up may be outdated.
    starts_unknown_until: Ms,
    servers: BTreeMap<ServerId, Server>,
    servers_by_cell: BTreeMap<Cell, BTreeSet<ServerId>>,
    /// Servers with a viewing of this manager, by the time of their next review.
    review_queue: BTreeSet<(Ms, ServerId)>,
    uplinks: BTreeMap<Rack, Uplink>,
    /// Demand of all viewings of this manager.
    demand: Demand,
    demand_history: DemandHistory,
    /// Since when this manager's demand is representative of the other managers'.
    history_valid_from: Ms,
    /// Demand of all viewings if each were at its floor.
    floor_kb: f64,
    /// Sum over all viewings of rate times `rate_per_value`.
    freed_rate_sum: f64,
    viewings: BTreeMap<ViewingId, Viewing>,
    /// Viewings without a tune-in in progress, by the time of their next review.
    waiting_queue: BTreeSet<(Ms, ViewingId)>,
    tenant_arrivals: Vec<DecayingSum>,
    /// Times of recently accepted requests, and of recent tune-ins that followed another of the same viewing.
    accepted_times: VecDeque<Ms>,
    resend_times: VecDeque<Ms>,
    /// Viewings that play or are being set up, by title and package.
    seats_taken: BTreeMap<(TitleId, PackageIndex), usize>,
    /// Recently reported loads of links and of uplinks, weighted with the servers that hold a viewing.
    link_loads: RecentMean<ServerId>,
    uplink_loads: RecentMean<Rack>,
    next_timer: Option<Ms>,
    /// Mean known load of links and of uplinks, assumed where nothing is known.
    mean_link_load: f64,
    mean_uplink_load: f64,
    /// Mean number of places of the servers that are up. Where the list gives no weights, a server's places
    /// over this mean replace them.
    mean_places: f64,
}
