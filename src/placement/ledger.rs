//! What the module keeps in step as viewings come, change and go. No decision lies in here.

use super::Placement;
use crate::census::{added, Asker};
use crate::config::Package;
use crate::ids::{Cell, PackageIndex, Rack, Rung, ServerId, TenantIndex, ViewingId};
use crate::state::{
    Availability, Belief, Phase, Server, ServerEntry, TuneIn, Uplink, Viewing, ViewingRequest,
};
use crate::time::Ms;

impl Placement {
    pub fn package_named(&self, name: &str) -> Option<PackageIndex> {
        self.terms.packages.iter().position(|package| package.name == name).map(PackageIndex)
    }

    pub fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        self.terms.tenants.iter().position(|tenant| tenant.name == name).map(TenantIndex)
    }

    pub(super) fn take(
        &mut self,
        wish: ViewingRequest,
        phase: Phase,
        tune_ins: Vec<TuneIn>,
        over_share: bool,
    ) {
        let rung = self.terms.packages[wish.package.0].floor;
        let (vw, taken) = (wish.viewing.clone(), self.now);
        let viewing = Viewing::taken(wish, taken, rung, over_share);
        self.viewings.insert(vw.clone(), viewing);
        self.amend(&vw, |it| (it.phase, it.tune_ins) = (phase, tune_ins));
    }

    pub(super) fn asker(&self, viewing: &Viewing) -> Asker {
        let package = viewing.wish.package;
        let Viewing { rung, over_share, .. } = *viewing;
        Asker { package, best: self.best(viewing), rung, over_share }
    }

    /// Changes a viewing and keeps in step what is counted of it: the waiting, a server's held and its rates.
    pub(super) fn amend(&mut self, vw: &ViewingId, change: impl FnOnce(&mut Viewing)) {
        let Some(mut viewing) = self.viewings.remove(vw) else {
            return;
        };
        self.count(&viewing, -1.0);
        self.waiting.remove(&(viewing.look_at, vw.clone()));
        change(&mut viewing);
        self.count(&viewing, 1.0);
        if viewing.phase == Phase::Waiting {
            self.waiting.insert((viewing.look_at, vw.clone()));
        }
        if viewing.phase != Phase::Over || viewing.out() {
            self.viewings.insert(vw.clone(), viewing);
        }
    }

    pub(super) fn count(&mut self, viewing: &Viewing, sign: f64) {
        let rate = self.rate(viewing.wish.package, viewing.rung) * sign;
        let size = self.size(viewing.wish.package) * sign;
        let (now, old, asker) = (self.now, self.fresh_from(), self.asker(viewing));
        if viewing.out() {
            let seated = self.seated.entry((viewing.wish.title.clone(), viewing.wish.package)).or_default();
            *seated = if sign > 0.0 { *seated + 1 } else { seated.saturating_sub(1) };
            if *seated == 0 {
                self.seated.remove(&(viewing.wish.title.clone(), viewing.wish.package));
            }
        }
        let Some(place) = viewing.place() else {
            return;
        };
        let Some(server) = self.servers.get_mut(place) else {
            return;
        };
        let (id, was_empty) = (server.entry.server.clone(), server.census.is_empty());
        if sign > 0.0 {
            server.census.add(asker, &viewing.wish.viewing, viewing.phase == Phase::Playing);
        } else {
            server.census.remove(asker, &viewing.wish.viewing);
        }
        server.own = added(server.own, (rate, size));
        server.past.change(now, old, (rate, size));
        let (look_at, is_empty) = (server.look_at, server.census.is_empty());
        let rack = Rack(server.entry.cell.0 % self.terms.racks.max(1));
        if was_empty != is_empty {
            self.links.weigh(&id, if is_empty { -1.0 } else { 1.0 });
            self.shared.weigh(&rack, if is_empty { -1.0 } else { 1.0 });
            if is_empty {
                self.held_at.remove(&(look_at, id));
            } else {
                self.held_at.insert((look_at, id));
            }
        }
        let uplink = self.uplinks.entry(rack).or_default();
        uplink.own = added(uplink.own, (rate, size));
        if !uplink.asked.contains(place) {
            uplink.asked.insert(place.clone());
        }
        self.own = added(self.own, (rate, size));
        self.past.change(now, old, (rate, size));
        let least = self.rate(viewing.wish.package, self.package(viewing).floor);
        self.spared_all = (self.spared_all + self.spared(&asker) * rate).max(0.0);
        self.least_kb = (self.least_kb + least * sign).max(0.0);
    }

    /// A server is weighed at that time, while anything is held there.
    pub(super) fn look(&mut self, id: &ServerId, at: Ms) {
        if let Some(server) = self.servers.get_mut(id) {
            if self.held_at.remove(&(server.look_at, id.clone())) {
                self.held_at.insert((at, id.clone()));
            }
            server.look_at = at;
        }
    }

    pub(super) fn cell(&self, number: u64) -> Cell {
        Cell(number % self.terms.cells.max(1))
    }

    pub(super) fn rack(&self, server: &Server) -> Rack {
        self.rack_of(server.entry.cell)
    }

    fn rack_of(&self, cell: Cell) -> Rack {
        Rack(cell.0 % self.terms.racks.max(1))
    }

    pub(super) fn uplink_of(&self, server: &Server) -> &Uplink {
        &self.uplinks[&self.rack(server)]
    }

    pub(super) fn package(&self, viewing: &Viewing) -> &Package {
        &self.terms.packages[viewing.wish.package.0]
    }

    pub(super) fn plain_rate(&self, rung: Rung) -> f64 {
        self.terms.ladder_kb.get(rung.0).copied().unwrap_or(0.0)
    }

    pub(super) fn rate(&self, package: PackageIndex, rung: Rung) -> f64 {
        self.plain_rate(rung) * self.size(package)
    }

    pub(super) fn note_on_link(&mut self, server: &ServerId, asked: f64, at: Ms) {
        self.servers.get_mut(server).into_iter().for_each(|it| it.link_note = (asked, at));
    }

    /// Servers that were replaced would add up for as long as the manager runs: one that has been off the
    /// list for longer than that and holds nothing is dropped.
    pub(super) fn forget_gone(&mut self, long: Ms) {
        let now = self.now;
        for it in self.servers.values_mut() {
            let gone = it.entry.availability == Availability::Gone;
            it.off_since = if gone { it.off_since.or(Some(now)) } else { None };
        }
        let over = |it: &&Server| {
            it.off_since.is_some_and(|at| now - at > long) && it.census.is_empty() && !it.probe_out
        };
        let over: Vec<ServerEntry> = self.servers.values().filter(over).map(|it| it.entry.clone()).collect();
        for entry in over {
            let (cell, rack) = (self.cell(entry.cell.0), self.rack_of(entry.cell));
            self.cells.entry(cell).or_default().remove(&entry.server);
            let uplink = self.uplinks.entry(rack).or_default();
            uplink.servers.remove(&entry.server);
            uplink.asked.remove(&entry.server);
            self.links.forget(&entry.server);
            self.servers.remove(&entry.server);
        }
    }

    pub fn beliefs(&self, now: Ms) -> Vec<Belief> {
        let belief = |it: &Server| Belief {
            server: it.entry.server.clone(),
            availability: it.entry.availability,
            held: it.census.counts().iter().map(|it| it.1).sum(),
            asked: it.seen.map(|it| (it.asked, now - it.at)),
            failures: it.failures,
            shunned: now < it.shunned_until,
            cold: now < it.cold_until,
        };
        self.servers.values().map(belief).collect()
    }

    pub(super) fn count_places(&mut self) {
        let up = self.servers.values().filter(|it| it.entry.availability == Availability::Up);
        let places = up.filter_map(|it| self.terms.places_by_kind.get(&it.entry.kind));
        let (sum, count) = places.fold((0.0, 0.0), |(sum, count), it| (sum + it, count + 1.0));
        self.mean_places = if sum > 0.0 { sum / count } else { 1.0 };
    }

    pub(super) fn waiting_now(&self) -> Option<ViewingId> {
        self.waiting.first().filter(|it| it.0 <= self.now).map(|it| it.1.clone())
    }

    /// Which servers stand in a cell and in a rack.
    pub(super) fn register(&mut self, entry: &ServerEntry, before: &ServerEntry) {
        let (cell, rack) = (self.cell(before.cell.0), self.rack_of(before.cell));
        self.cells.entry(cell).or_default().remove(&entry.server);
        let uplink = self.uplinks.entry(rack).or_default();
        uplink.servers.remove(&entry.server);
        let asked = uplink.asked.remove(&entry.server);
        self.cells.entry(self.cell(entry.cell.0)).or_default().insert(entry.server.clone());
        let next = self.rack_of(entry.cell);
        let uplink = self.uplinks.entry(next).or_default();
        uplink.servers.insert(entry.server.clone());
        if asked {
            uplink.asked.insert(entry.server.clone());
        }
        if !self.servers[&entry.server].census.is_empty() {
            self.shared.weigh(&rack, -1.0);
            self.shared.weigh(&next, 1.0);
        }
    }

    /// What a rack's servers that are up come to, each weighed so, and what this manager added meanwhile.
    /// Summed anew once a moment: when thousands come at once, each would go through the whole rack.
    pub(super) fn summed(&self, uplink: &Uplink, weigh: impl Fn(&Server) -> f64) -> f64 {
        let (at, mut sum, own) = uplink.counted.get();
        if at != self.now {
            let all = uplink.servers.iter().map(|id| &self.servers[id]);
            sum = all.filter(|it| it.entry.availability == Availability::Up).map(weigh).sum::<f64>();
            uplink.counted.set((self.now, sum, uplink.own.0));
        } else {
            sum += uplink.own.0 - own;
        }
        sum
    }
}
