//! Keeps the aggregates and indexes consistent as viewings and servers change. Nothing is decided here.

use super::*;
use crate::config::Package;
use crate::state::Belief;

impl Placement {
    /// Index of the package of that name.
    pub fn package_named(&self, name: &str) -> Option<PackageIndex> {
        self.config.packages.iter().position(|package| package.name == name).map(PackageIndex)
    }

    /// Index of the tenant of that name.
    pub fn tenant_named(&self, name: &str) -> Option<TenantIndex> {
        self.config.tenants.iter().position(|tenant| tenant.name == name).map(TenantIndex)
    }

    pub(super) fn add_viewing(
        &mut self,
        request: ViewingRequest,
        phase: Phase,
        tune_ins: Vec<TuneIn>,
        over_share: bool,
    ) {
        let rung = self.config.packages[request.package.0].floor;
        let id = request.viewing.clone();
        let viewing = Viewing::accepted(request, self.now, rung, over_share);
        self.viewings.insert(id.clone(), viewing);
        self.update_viewing(&id, |viewing| (viewing.phase, viewing.tune_ins) = (phase, tune_ins));
    }

    pub(super) fn demand_class(&self, viewing: &Viewing) -> DemandClass {
        let package = viewing.request.package;
        let Viewing { rung, over_share, .. } = *viewing;
        DemandClass { package, max_rung: self.max_rung(viewing), rung, over_share }
    }

    /// Changes a viewing and updates everything derived from it. A viewing that is over and has no tune-in in
    /// progress is removed.
    pub(super) fn update_viewing(&mut self, id: &ViewingId, change: impl FnOnce(&mut Viewing)) {
        let Some(mut viewing) = self.viewings.remove(id) else {
            return;
        };
        self.count_viewing(&viewing, -1.0);
        self.waiting_queue.remove(&(viewing.next_review, id.clone()));
        change(&mut viewing);
        self.count_viewing(&viewing, 1.0);
        if viewing.phase == Phase::Waiting {
            self.waiting_queue.insert((viewing.next_review, id.clone()));
        }
        if viewing.phase != Phase::Over || viewing.has_open_tune_in() {
            self.viewings.insert(id.clone(), viewing);
        }
    }

    /// Adds the viewing to all aggregates (`sign` 1) or removes it (`sign` -1).
    pub(super) fn count_viewing(&mut self, viewing: &Viewing, sign: f64) {
        let request = &viewing.request;
        let rate = self.rate(request.package, viewing.rung) * sign;
        let change = Demand { kb: rate, units: self.rate_factor(request.package) * sign };
        let (now, oldest, class) = (self.now, self.fresh_since(), self.demand_class(viewing));
        if viewing.has_open_tune_in() {
            let seats = self.seats_taken.entry((request.title.clone(), request.package)).or_default();
            *seats = if sign > 0.0 { *seats + 1 } else { seats.saturating_sub(1) };
            if *seats == 0 {
                self.seats_taken.remove(&(request.title.clone(), request.package));
            }
        }
        let Some(server_id) = viewing.current_server() else {
            return;
        };
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        let was_empty = server.viewings.is_empty();
        if sign > 0.0 {
            server.viewings.add(class, &request.viewing, viewing.phase == Phase::Playing);
        } else {
            server.viewings.remove(class, &request.viewing);
        }
        server.demand = server.demand.plus(change);
        server.demand_history.change(now, oldest, change);
        let (next_review, is_empty) = (server.next_review, server.viewings.is_empty());
        let rack = Rack(server.entry.cell.0 % self.config.racks.max(1));
        if was_empty != is_empty {
            self.link_loads.add_weight(server_id, if is_empty { -1.0 } else { 1.0 });
            self.uplink_loads.add_weight(&rack, if is_empty { -1.0 } else { 1.0 });
            if is_empty {
                self.review_queue.remove(&(next_review, server_id.clone()));
            } else {
                self.review_queue.insert((next_review, server_id.clone()));
            }
        }
        let uplink = self.uplinks.entry(rack).or_default();
        uplink.demand = uplink.demand.plus(change);
        if !uplink.with_demand.contains(server_id) {
            uplink.with_demand.insert(server_id.clone());
        }
        self.demand = self.demand.plus(change);
        self.demand_history.change(now, oldest, change);
        let floor_rate = self.rate(request.package, self.package(viewing).floor);
        self.freed_rate_sum = (self.freed_rate_sum + self.rate_per_value(&class) * rate).max(0.0);
        self.floor_kb = (self.floor_kb + floor_rate * sign).max(0.0);
    }

    /// Sets the time of the server's next review. It takes place only while a viewing is held there.
    pub(super) fn review_at(&mut self, id: &ServerId, at: Ms) {
        if let Some(server) = self.servers.get_mut(id) {
            if self.review_queue.remove(&(server.next_review, id.clone())) {
                self.review_queue.insert((at, id.clone()));
            }
            server.next_review = at;
        }
    }

    pub(super) fn cell(&self, number: u64) -> Cell {
        Cell(number % self.config.cells.max(1))
    }

    pub(super) fn rack(&self, server: &Server) -> Rack {
        self.rack_of(server.entry.cell)
    }

    fn rack_of(&self, cell: Cell) -> Rack {
        Rack(cell.0 % self.config.racks.max(1))
    }

    pub(super) fn uplink_of(&self, server: &Server) -> &Uplink {
        &self.uplinks[&self.rack(server)]
    }

    pub(super) fn package(&self, viewing: &Viewing) -> &Package {
        &self.config.packages[viewing.request.package.0]
    }

    /// Rate of a rung of the ladder.
    pub(super) fn ladder_rate(&self, rung: Rung) -> f64 {
        self.config.ladder_kb.get(rung.0).copied().unwrap_or(0.0)
    }

    /// Rate of a viewing of the package at that rung.
    pub(super) fn rate(&self, package: PackageIndex, rung: Rung) -> f64 {
        self.ladder_rate(rung) * self.rate_factor(package)
    }

    pub(super) fn record_link_note(&mut self, server: &ServerId, load: f64, at: Ms) {
        if let Some(server) = self.servers.get_mut(server) {
            server.link_note = LinkNote { load, at };
        }
    }

    /// Removes servers that have been off the list for longer than `limit` and hold no viewing. Without this,
    /// replaced servers would accumulate for as long as the manager runs.
    pub(super) fn forget_gone(&mut self, limit: Ms) {
        let now = self.now;
        for server in self.servers.values_mut() {
            let gone = server.entry.availability == Availability::Gone;
            server.gone_since = if gone { server.gone_since.or(Some(now)) } else { None };
        }
        let forgettable = |server: &&Server| {
            server.gone_since.is_some_and(|since| now - since > limit)
                && server.viewings.is_empty()
                && !server.probe_pending
        };
        let forgotten: Vec<ServerEntry> =
            self.servers.values().filter(forgettable).map(|server| server.entry.clone()).collect();
        for entry in forgotten {
            let (cell, rack) = (self.cell(entry.cell.0), self.rack_of(entry.cell));
            self.servers_by_cell.entry(cell).or_default().remove(&entry.server);
            let uplink = self.uplinks.entry(rack).or_default();
            uplink.servers.remove(&entry.server);
            uplink.with_demand.remove(&entry.server);
            self.link_loads.forget(&entry.server);
            self.servers.remove(&entry.server);
        }
    }

    /// What is known of each server, for diagnostics.
    pub fn beliefs(&self, now: Ms) -> Vec<Belief> {
        let belief = |server: &Server| Belief {
            server: server.entry.server.clone(),
            availability: server.entry.availability,
            held: server.viewings.counts().iter().map(|(_, count)| count).sum(),
            asked: server.sample.map(|sample| (sample.load, now - sample.at)),
            failures: server.failures,
            shunned: now < server.avoid_until,
            cold: now < server.cold_until,
        };
        self.servers.values().map(belief).collect()
    }

    pub(super) fn update_mean_places(&mut self) {
        let up = self.servers.values().filter(|server| server.entry.availability == Availability::Up);
        let places = up.filter_map(|server| self.config.places_by_kind.get(&server.entry.kind));
        let (sum, count) = places.fold((0.0, 0.0), |(sum, count), places| (sum + places, count + 1.0));
        self.mean_places = if sum > 0.0 { sum / count } else { 1.0 };
    }

    /// The waiting viewing whose review is due first.
    pub(super) fn next_waiting(&self) -> Option<ViewingId> {
        self.waiting_queue.first().filter(|(at, _)| *at <= self.now).map(|(_, id)| id.clone())
    }

    /// Updates the indexes by cell and rack after an entry of the list replaced another.
    pub(super) fn index_server(&mut self, entry: &ServerEntry, previous: &ServerEntry) {
        let (cell, rack) = (self.cell(previous.cell.0), self.rack_of(previous.cell));
        self.servers_by_cell.entry(cell).or_default().remove(&entry.server);
        let uplink = self.uplinks.entry(rack).or_default();
        uplink.servers.remove(&entry.server);
        let had_demand = uplink.with_demand.remove(&entry.server);
        self.servers_by_cell.entry(self.cell(entry.cell.0)).or_default().insert(entry.server.clone());
        let new_rack = self.rack_of(entry.cell);
        let uplink = self.uplinks.entry(new_rack).or_default();
        uplink.servers.insert(entry.server.clone());
        if had_demand {
            uplink.with_demand.insert(entry.server.clone());
        }
        if !self.servers[&entry.server].viewings.is_empty() {
            self.uplink_loads.add_weight(&rack, -1.0);
            self.uplink_loads.add_weight(&new_rack, 1.0);
        }
    }
}
