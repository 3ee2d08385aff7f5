//! The list, and when its news reach the managers.

use super::event::Event;
use super::wishes::name;
use super::Model;
use crate::links::{Manager, ServerNo};
use crate::player::address;
use ottersail_front::recording::FrontInput;
use ottersail_wire::catalogue::{CatalogueServer, Standing};

/// The list's news reach a manager within so long of being told, in milliseconds.
const PICK_UP: f64 = 50.0;

impl Model {
    pub(super) fn publish(&mut self, it: ServerNo, after: f64) {
        let server = &self.links.servers[it.0];
        let listed = server.alive.then(|| CatalogueServer {
            id: name(it),
            address: address(it),
            standing: if server.draining { Standing::Draining } else { Standing::Up },
            zone: server.zone.clone(),
            kind: self.plan.day.kind.clone(),
            cell: server.cell,
            weight: server.weight,
            started_ms: server.cold_since,
        });
        let at = self.now + after;
        // What was to be said of it later is overtaken.
        self.news.retain(|news| news.1 != it || news.0 <= at);
        self.news.push((at, it, listed));
        self.wheel.put(at, Event::List);
    }

    pub(super) fn hear_news(&mut self) {
        if self.list_held {
            return;
        }
        let now = self.now;
        let (told, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|it| it.0 <= now);
        self.news = later;
        if told.is_empty() {
            return;
        }
        for (_, it, listed) in told {
            self.index += 1;
            match listed {
                Some(listed) => _ = self.list.insert(it.0, listed),
                None => _ = self.list.remove(&it.0),
            }
        }
        let list: Vec<CatalogueServer> = self.list.values().cloned().collect();
        for ix in 0..self.posts.len() {
            let span = self.rng.f64() * PICK_UP;
            self.notify(
                Manager(ix),
                span,
                FrontInput::ServersListed { index: self.index, list: list.clone() },
            );
        }
    }
}
