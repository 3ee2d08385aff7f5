//! Lists of servers and of titles, as the catalogue tells them.

use super::hand::Hand;
use super::Front;
use crate::effects::Effects;
use ottersail::ids::Cell;
use ottersail::state::{Availability, ListMode, ServerEntry};
use ottersail::time::Ms;
use ottersail_wire::catalogue::{CatalogueServer, Standing, Title};
use tracing::info;

impl Front {
    /// A whole list of servers came.
    pub fn servers_listed(&mut self, now: Ms, index: u64, list: &[CatalogueServer], out: &mut dyn Effects) {
        let desk = self.at(now);
        for it in list {
            desk.addresses.insert(it.id.as_str().into(), it.address.clone());
        }
        let entries = list.iter().map(|it| ServerEntry {
            kind: it.kind.as_str().into(),
            cell: Cell(it.cell),
            availability: match it.standing {
                Standing::Up => Availability::Up,
                Standing::Draining => Availability::Leaving,
            },
            server: it.id.as_str().into(),
            started: it.started_ms.map(Ms),
            weight: it.weight,
            zone: it.zone.as_str().into(),
        });
        let changed = desk.roster.take(now, index, entries.collect());
        #[cfg(feature = "sabotage")]
        let changed: Vec<ServerEntry> =
            changed.into_iter().filter(|it| it.availability == Availability::Up).collect();
        for it in &changed {
            info!(server = %it.server, availability = ?it.availability, index, "list");
            if it.availability == Availability::Gone && !desk.there.contains_key(&it.server) {
                desk.addresses.remove(&it.server);
            }
        }
        if !changed.is_empty() {
            let Front { placement, desk } = self;
            placement.update_servers(now, ListMode::Incremental, &changed, &mut Hand { desk, out });
        }
    }

    /// The list could not be had; the last one holds.
    pub fn list_failed(&mut self, now: Ms, out: &mut dyn Effects) {
        self.at(now);
        let Front { placement, desk } = self;
        placement.update_servers(now, ListMode::Failed, &[], &mut Hand { desk, out });
    }

    /// The titles that can be asked for, all of them.
    pub fn titles_listed(&mut self, now: Ms, titles: &[Title]) {
        let desk = self.at(now);
        desk.titles = Some(titles.iter().map(|it| (it.name.clone(), it.clone())).collect());
    }
}
