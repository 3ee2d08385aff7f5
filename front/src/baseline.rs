//! Plain picks, for comparison only, in the laboratory, in benchmarks and on the rig: no split, no pace, no
//! budget, no health, no steps. They keep what a manager can't do without: floors, and one tune-in for each
//! viewing.

use crate::decisions::{Decisions, TuneInEnd};
use ottersail::actions::PlacementActions;
use ottersail::config::PlacementConfig;
use ottersail::ids::{Cell, PackageIndex, ServerId, TenantIndex, TimerTag, ViewingId};
use ottersail::state::{Availability, ListMode, Load, ServerEntry, Topic, ViewingRequest};
use ottersail::time::Ms;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// A random holder, at the highest rung that the player can use.
    Random,
    /// The holder whose link was last told to be asked least, at the highest rung.
    LeastLoaded,
    /// A random holder, at the package's lowest rung.
    LowestRung,
}

/// By their names in a day's file and on the command line.
pub const PICKS: &[(&str, Option<Pick>)] = &[
    ("own", None),
    ("random", Some(Pick::Random)),
    ("least-loaded", Some(Pick::LeastLoaded)),
    ("lowest-rung", Some(Pick::LowestRung)),
];

pub struct Baseline {
    pick: Pick,
    terms: PlacementConfig,
    cells: BTreeMap<Cell, Vec<ServerId>>,
    asked: BTreeMap<ServerId, f64>,
    rng: fastrand::Rng,
}

impl Baseline {
    pub fn new(terms: PlacementConfig, pick: Pick, seed: u64) -> Baseline {
        let (cells, asked, rng) = (BTreeMap::new(), BTreeMap::new(), fastrand::Rng::with_seed(seed));
        Baseline { pick, terms, cells, asked, rng }
    }
}

impl Decisions for Baseline {
    fn package_named(&self, name: &str) -> Option<PackageIndex> {
        self.terms.packages.iter().position(|it| it.name == name).map(PackageIndex)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        self.terms.tenants.iter().position(|it| it.name == name).map(TenantIndex)
    }

    fn update_servers(&mut self, _: Ms, _: ListMode, entries: &[ServerEntry], _: &mut dyn PlacementActions) {
        for entry in entries {
            let there = self.cells.entry(entry.cell).or_default();
            there.retain(|it| *it != entry.server);
            if entry.availability == Availability::Up {
                there.push(entry.server.clone());
            } else {
                self.asked.remove(&entry.server);
            }
        }
    }

    fn request_viewing(&mut self, now: Ms, wish: ViewingRequest, out: &mut dyn PlacementActions) {
        let cells = (0..wish.cell_count).map(|it| Cell((wish.first_cell + it) % self.terms.cells.max(1)));
        let holders: Vec<&ServerId> = cells.filter_map(|it| self.cells.get(&it)).flatten().collect();
        if holders.is_empty() {
            return out.shed(&wish.viewing, None);
        }
        let at = self.rng.usize(..holders.len());
        let asked = |it: &ServerId| self.asked.get(it).copied().unwrap_or(0.0);
        let server = match self.pick {
            Pick::Random | Pick::LowestRung => holders[at].clone(),
            Pick::LeastLoaded => {
                // Of equals the first from a random one on.
                let turned = holders[at..].iter().chain(&holders[..at]);
                turned
                    .min_by(|a, b| asked(a).total_cmp(&asked(b)))
                    .map_or(holders[at].clone(), |it| (*it).clone())
            }
        };
        let package = &self.terms.packages[wish.package.0];
        let best = wish.max_rung.min(package.top).max(package.floor);
        out.step_to(&wish.viewing, if self.pick == Pick::LowestRung { package.floor } else { best });
        out.tune_in(&wish.viewing, &server, wish.deadline - now);
    }

    fn timer_fired(&mut self, _: Ms, _: TimerTag, _: &mut dyn PlacementActions) {}

    fn viewing_started(&mut self, _: Ms, _: &ViewingId, _: &ServerId, _: &mut dyn PlacementActions) {}

    fn tune_in_ended(
        &mut self,
        _: Ms,
        vw: &ViewingId,
        ended: TuneInEnd,
        load: Load,
        out: &mut dyn PlacementActions,
    ) {
        if let Some(asked) = load.link {
            self.asked.insert(ended.server, asked);
        }
        if !ended.last {
            out.abort(vw);
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
            self.asked.insert(server.clone(), value);
        }
    }

    fn viewer_left(&mut self, _: Ms, _: &ViewingId, _: &mut dyn PlacementActions) {}
}
