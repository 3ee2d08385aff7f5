//! Simple placement policies, for comparison in the laboratory, in benchmarks and on the rig. They have no
//! split, no rate limit at cold servers, no resend budget, no health tracking and no steps. They keep the
//! floors, and send one tune-in for each viewing.

use crate::decisions::{Decisions, TuneInEnd};
use ottersail::actions::PlacementActions;
use ottersail::config::PlacementConfig;
use ottersail::ids::{Cell, PackageIndex, ServerId, TenantIndex, TimerTag, ViewingId};
use ottersail::state::{Availability, ListMode, Load, ServerEntry, Topic, ViewingRequest};
use ottersail::time::Ms;
use std::collections::BTreeMap;

/// How a holder and a rung are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// A random holder, at the highest rung that the player can use.
    Random,
    /// The holder with the lowest last reported link load, at the highest rung.
    LeastLoaded,
    /// A random holder, at the package's lowest rung.
    LowestRung,
}

/// The policies by their names in scenario files and on the command line; `None` stands for the decisions of
/// this project.
pub const PICKS: &[(&str, Option<Pick>)] = &[
    ("own", None),
    ("random", Some(Pick::Random)),
    ("least-loaded", Some(Pick::LeastLoaded)),
    ("lowest-rung", Some(Pick::LowestRung)),
];

/// Decisions by one of the policies.
pub struct Baseline {
    pick: Pick,
    config: PlacementConfig,
    servers_by_cell: BTreeMap<Cell, Vec<ServerId>>,
    /// Last reported load of each server's link.
    link_loads: BTreeMap<ServerId, f64>,
    rng: fastrand::Rng,
}

impl Baseline {
    /// Decisions without servers; the seed determines all random draws.
    pub fn new(config: PlacementConfig, pick: Pick, seed: u64) -> Baseline {
        let rng = fastrand::Rng::with_seed(seed);
        Baseline { pick, config, servers_by_cell: BTreeMap::new(), link_loads: BTreeMap::new(), rng }
    }
}

impl Decisions for Baseline {
    fn package_named(&self, name: &str) -> Option<PackageIndex> {
        self.config.packages.iter().position(|package| package.name == name).map(PackageIndex)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        self.config.tenants.iter().position(|tenant| tenant.name == name).map(TenantIndex)
    }

    fn update_servers(&mut self, _: Ms, _: ListMode, entries: &[ServerEntry], _: &mut dyn PlacementActions) {
        for entry in entries {
            let in_cell = self.servers_by_cell.entry(entry.cell).or_default();
            in_cell.retain(|server| *server != entry.server);
            if entry.availability == Availability::Up {
                in_cell.push(entry.server.clone());
            } else {
                self.link_loads.remove(&entry.server);
            }
        }
    }

    fn request_viewing(&mut self, now: Ms, request: ViewingRequest, actions: &mut dyn PlacementActions) {
        let cells = (0..request.cell_count)
            .map(|offset| Cell((request.first_cell + offset) % self.config.cells.max(1)));
        let holders: Vec<&ServerId> =
            cells.filter_map(|cell| self.servers_by_cell.get(&cell)).flatten().collect();
        if holders.is_empty() {
            return actions.shed(&request.viewing, None);
        }
        let start = self.rng.usize(..holders.len());
        let load = |server: &ServerId| self.link_loads.get(server).copied().unwrap_or(0.0);
        let server = match self.pick {
            Pick::Random | Pick::LowestRung => holders[start].clone(),
            Pick::LeastLoaded => {
                // Starts the search at a random holder, which breaks ties at random.
                let rotated = holders[start..].iter().chain(&holders[..start]);
                rotated
                    .min_by(|a, b| load(a).total_cmp(&load(b)))
                    .map_or(holders[start].clone(), |server| (*server).clone())
            }
        };
        let package = &self.config.packages[request.package.0];
        let highest = request.max_rung.min(package.top).max(package.floor);
        let rung = if self.pick == Pick::LowestRung { package.floor } else { highest };
        actions.step_to(&request.viewing, rung);
        actions.tune_in(&request.viewing, &server, request.deadline - now);
    }

    fn timer_fired(&mut self, _: Ms, _: TimerTag, _: &mut dyn PlacementActions) {}

    fn viewing_started(&mut self, _: Ms, _: &ViewingId, _: &ServerId, _: &mut dyn PlacementActions) {}

    fn tune_in_ended(
        &mut self,
        _: Ms,
        viewing: &ViewingId,
        end: TuneInEnd,
        load: Load,
        actions: &mut dyn PlacementActions,
    ) {
        if let Some(link_load) = load.link {
            self.link_loads.insert(end.server, link_load);
        }
        if !end.last {
            actions.abort(viewing);
        }
    }

    fn note_received(
        &mut self,
        _: Ms,
        _: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        _: &mut dyn PlacementActions,
    ) {
        if topic == Topic::LinkAsked {
            self.link_loads.insert(server.clone(), value);
        }
    }

    fn viewer_left(&mut self, _: Ms, _: &ViewingId, _: &mut dyn PlacementActions) {}
}
