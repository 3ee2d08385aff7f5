//! Lists of servers and of titles from the catalogue.

use super::actions::ActionHandler;
use super::Front;
use crate::effects::Effects;
use ottersail::ids::Cell;
use ottersail::state::{Availability, ListMode, ServerEntry};
use ottersail::time::Ms;
use ottersail_wire::catalogue::{CatalogueServer, Standing, Title};
use tracing::info;

impl Front {
    /// A complete list of servers arrived.
    pub fn servers_listed(
        &mut self,
        now: Ms,
        index: u64,
        list: &[CatalogueServer],
        effects: &mut dyn Effects,
    ) {
        let state = self.advance(now);
        for listed in list {
            state.addresses.insert(listed.id.as_str().into(), listed.address.clone());
        }
        let entries = list.iter().map(|listed| ServerEntry {
            kind: listed.kind.as_str().into(),
            cell: Cell(listed.cell),
            availability: match listed.standing {
                Standing::Up => Availability::Up,
                Standing::Draining => Availability::Leaving,
            },
            server: listed.id.as_str().into(),
            started: listed.started_ms.map(Ms),
            weight: listed.weight,
            zone: listed.zone.as_str().into(),
        });
        let changed = state.server_list.update(now, index, entries.collect());
        #[cfg(feature = "sabotage")]
        let changed: Vec<ServerEntry> =
            changed.into_iter().filter(|entry| entry.availability == Availability::Up).collect();
        for entry in &changed {
            info!(server = %entry.server, availability = ?entry.availability, index, "server list changed");
            if entry.availability == Availability::Gone && !state.viewings_at.contains_key(&entry.server) {
                state.addresses.remove(&entry.server);
            }
        }
        if !changed.is_empty() {
            let Front { decisions, state } = self;
            let mut handler = ActionHandler { state, effects };
            decisions.update_servers(now, ListMode::Incremental, &changed, &mut handler);
        }
    }

    /// The list could not be read; the last one remains valid.
    pub fn list_failed(&mut self, now: Ms, effects: &mut dyn Effects) {
        self.advance(now);
        let Front { decisions, state } = self;
        decisions.update_servers(now, ListMode::Failed, &[], &mut ActionHandler { state, effects });
    }

    /// The complete list of titles arrived.
    pub fn titles_listed(&mut self, now: Ms, titles: &[Title]) {
        let state = self.advance(now);
        state.titles = Some(titles.iter().map(|title| (title.name.clone(), title.clone())).collect());
    }
}
