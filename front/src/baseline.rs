//! Plain picks, for comparison only, in the laboratory, in benchmarks and on the rig: no split, no pace, no
//! budget, no health, no steps. They keep what a manager can't do without: floors, and one tune-in for each
//! viewing.

use crate::decisions::{Decisions, Ended};
use ottersail::answers::Answers;
use ottersail::ids::{BellTag, Cell, PackageIx, ServerId, TenantIx, ViewingId};
use ottersail::state::{Availability, Entry, ListMode, Load, Topic, Wish};
use ottersail::terms::Terms;
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
    terms: Terms,
    cells: BTreeMap<Cell, Vec<ServerId>>,
    asked: BTreeMap<ServerId, f64>,
    rng: fastrand::Rng,
}

impl Baseline {
    pub fn new(terms: Terms, pick: Pick, seed: u64) -> Baseline {
        let (cells, asked, rng) = (BTreeMap::new(), BTreeMap::new(), fastrand::Rng::with_seed(seed));
        Baseline { pick, terms, cells, asked, rng }
    }
}

impl Decisions for Baseline {
    fn package_named(&self, name: &str) -> Option<PackageIx> {
        self.terms.packages.iter().position(|it| it.name == name).map(PackageIx)
    }

    fn tenant_named(&self, name: &str) -> Option<TenantIx> {
        self.terms.tenants.iter().position(|it| it.name == name).map(TenantIx)
    }

    fn members(&mut self, _: Ms, _: ListMode, entries: &[Entry], _: &mut dyn Answers) {
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

    fn incoming(&mut self, now: Ms, wish: Wish, out: &mut dyn Answers) {
        let cells = (0..wish.copies).map(|it| Cell((wish.base + it) % self.terms.cells.max(1)));
        let holders: Vec<&ServerId> = cells.filter_map(|it| self.cells.get(&it)).flatten().collect();
        if holders.is_empty() {
            return out.shed(&wish.vw, None);
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
        let best = wish.best.min(package.top).max(package.floor);
        out.step_to(&wish.vw, if self.pick == Pick::LowestRung { package.floor } else { best });
        out.relay(&wish.vw, &server, wish.due - now);
    }

    fn bell(&mut self, _: Ms, _: BellTag, _: &mut dyn Answers) {}

    fn first(&mut self, _: Ms, _: &ViewingId, _: &ServerId, _: &mut dyn Answers) {}

    fn answer(&mut self, _: Ms, vw: &ViewingId, ended: Ended, load: Load, out: &mut dyn Answers) {
        if let Some(asked) = load.link {
            self.asked.insert(ended.server, asked);
        }
        if !ended.last {
            out.abort(vw);
        }
    }

    fn change(
        &mut self,
        _: Ms,
        _: &ViewingId,
        topic: Topic,
        value: f64,
        server: &ServerId,
        _: &mut dyn Answers,
    ) {
        if topic == Topic::LinkAsked {
            self.asked.insert(server.clone(), value);
        }
    }

    fn dropped(&mut self, _: Ms, _: &ViewingId, _: &mut dyn Answers) {}
}
