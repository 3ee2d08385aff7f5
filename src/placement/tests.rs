//! Shapes that the tests of all rooms build on.

mod cold_fleet;
mod cold_ramp;
mod costs;
mod limits;
mod links;
mod lists;
mod pace;
mod pick;
mod plain;
mod probes;
mod rules;
mod split;
mod steps;
mod uplinks;

use super::*;
use crate::config::{ColdStart, Package, ResendBudget, Tenant};
use crate::ids::{Cell, HardwareKind, ManagerIndex};

/// Keeps what was said, a word each.
#[derive(Default)]
struct Said(Vec<String>);

impl PlacementActions for Said {
    fn tune_in(&mut self, _: &ViewingId, server: &ServerId, time_out: Ms) {
        self.0.push(format!("relay {server} {}", time_out.0));
    }
    fn step_to(&mut self, vw: &ViewingId, rung: Rung) {
        self.0.push(format!("{vw} to {}", rung.0));
    }
    fn shed(&mut self, _: &ViewingId, stay_away: Option<Ms>) {
        self.0.push(stay_away.map_or("shed".into(), |span| format!("shed {}", span.0)));
    }
    fn abort(&mut self, _: &ViewingId) {
        self.0.push("abort".into());
    }
    fn schedule(&mut self, _: TimerTag, _: Ms) {}
    fn subscribe(&mut self) {
        self.0.push("subscribe".into());
    }
    fn probe(&mut self, server: &ServerId) {
        self.0.push(format!("inspect {server}"));
    }
}

fn package(value: f64) -> Package {
    Package {
        name: format!("worth {value}"),
        value,
        join_target: Ms(1000.0),
        semantics: RequestSemantics::Idempotent,
        rate_scale: 1.0,
        floor: Rung(0),
        top: Rung(3),
        seats: 0,
        live: false,
    }
}

/// Rates 1, 2, 4 and 8; a link of 100, an uplink of 1000; two managers; 6 set-ups in any cold second.
fn terms() -> PlacementConfig {
    PlacementConfig {
        manager: ManagerIndex(0),
        manager_count: 2.0,
        zone: "here".into(),
        packages: vec![package(1.0), package(3.0)],
        tenants: vec![Tenant { name: "t".into(), allowance_per_s: 1.0 }],
        ladder_kb: vec![1.0, 2.0, 4.0, 8.0],
        rung_values: Vec::new(),
        live_join_share: 1.0,
        cells: 10,
        racks: 2,
        link_unit_kb: 100.0,
        uplink_kb: 1000.0,
        uplinks_reported: true,
        reports_on_probe: false,
        weights_listed: true,
        places_by_kind: [(HardwareKind::from("k"), 48.0)].into(),
        report_delay: Ms(1000.0),
        report_interval: Ms(2000.0),
        change_cost: Ms(500.0),
        max_tune_ins: 3,
        max_stay_away: None,
        must_subscribe: false,
        cross_zone_price: 0.0,
        cold: ColdStart {
            warm_up: Ms(10_000.0),
            start_capacity: 0.5,
            fall_multiple: 4.0,
            fall_window: Ms(1000.0),
            max_send_delay: Ms(0.0),
        },
        budget: None,
        tick: Ms(10.0),
    }
}

fn entry(server: &str, cell: u64) -> ServerEntry {
    ServerEntry {
        kind: "k".into(),
        cell: Cell(cell),
        availability: Availability::Up,
        server: server.into(),
        started: None,
        weight: 1.0,
        zone: "here".into(),
    }
}

fn wish(vw: &str) -> ViewingRequest {
    ViewingRequest {
        viewing: vw.into(),
        package: PackageIndex(0),
        tenant: None,
        title: "film".into(),
        first_cell: 0,
        cell_count: 4,
        max_rung: Rung(3),
        deadline: Ms(104_000.0),
        expected_duration: None,
    }
}

/// At 100 s, long after its start, with servers s0, s1, ... in cells 0, 1, ...
fn placement(terms: PlacementConfig, servers: usize) -> Placement {
    let mut it = Placement::new(Ms(0.0), 7, terms, &mut Said::default());
    it.now = Ms(100_000.0);
    for cell in 0..servers {
        let entry = entry(&format!("s{cell}"), cell as u64);
        it.list(&entry);
    }
    it
}

fn tried(server: &str, outcome: Option<Outcome>) -> TuneIn {
    TuneIn { server: server.into(), sent: Ms(99_900.0), outcome }
}

fn add(placement: &mut Placement, vw: &str, phase: Phase, rung: usize, tune_ins: Vec<TuneIn>) -> Viewing {
    placement.take(wish(vw), phase, tune_ins, false);
    placement.amend(&vw.into(), |it| it.rung = Rung(rung));
    placement.viewings[&vw.into()].clone()
}

fn playing(placement: &mut Placement, vw: &str, server: &str, rung: usize) -> Viewing {
    add(placement, vw, Phase::Playing, rung, vec![tried(server, None)])
}

fn server<'a>(placement: &'a mut Placement, id: &str) -> &'a mut Server {
    placement.servers.get_mut(&id.into()).unwrap()
}

fn asker(package: usize, best: usize, over_share: bool) -> Asker {
    Asker { package: PackageIndex(package), best: Rung(best), rung: Rung(best), over_share }
}

fn live() -> PlacementConfig {
    let mut terms = PlacementConfig { live_join_share: 0.25, ..terms() };
    terms.packages[0].live = true;
    terms
}
