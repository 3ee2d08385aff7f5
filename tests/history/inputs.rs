//! Terms of several kinds, and chance inputs for them.

use ottersail::config::{
    ColdStart, DedupScope, Package, PlacementConfig, RequestSemantics, ResendBudget, Tenant,
};
use ottersail::ids::{Cell, HardwareKind, ManagerIndex, PackageIndex, Rung, TenantIndex};
use ottersail::state::{Availability, Load, Outcome, ServerEntry, ViewingRequest};
use ottersail::time::Ms;

/// xorshift (Marsaglia 2003, "Xorshift RNGs"), apart from the chance that the decisions draw.
pub struct Dice(pub u64);

impl Dice {
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 33) as usize % limit
    }
    pub fn part(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }
}

pub fn package(value: f64, repeat: RequestSemantics) -> Package {
    let (join_target, floor, top) = (Ms(1000.0), Rung(0), Rung(3));
    Package {
        name: value.to_string(),
        value,
        join_target,
        semantics: repeat,
        rate_scale: 1.0,
        floor,
        top,
        seats: 0,
        live: false,
    }
}

pub fn terms() -> PlacementConfig {
    let mut packages = vec![
        package(1.0, RequestSemantics::Idempotent),
        package(3.0, RequestSemantics::Deduplicated { group: DedupScope::SameZone, window: Ms(900.0) }),
        package(2.0, RequestSemantics::AtMostOnce),
    ];
    (packages[1].floor, packages[1].rate_scale, packages[2].seats) = (Rung(1), 1.5, 9);
    let (lasts, fall_window) = (Ms(10_000.0), Ms(1000.0));
    PlacementConfig {
        manager: ManagerIndex(1),
        manager_count: 3.0,
        zone: "z0".into(),
        packages,
        tenants: vec![Tenant { name: "t".into(), allowance_per_s: 2.0 }],
        ladder_kb: vec![1.0, 2.0, 4.0, 8.0],
        rung_values: Vec::new(),
        live_join_share: 1.0,
        cells: 6,
        racks: 3,
        link_unit_kb: 60.0,
        uplink_kb: 200.0,
        uplinks_reported: true,
        reports_on_probe: false,
        weights_listed: true,
        places_by_kind: [(HardwareKind::from("k"), 48.0), (HardwareKind::from("large"), 96.0)].into(),
        report_delay: Ms(300.0),
        report_interval: Ms(1000.0),
        change_cost: Ms(100.0),
        max_tune_ins: 3,
        max_stay_away: Some(Ms(1500.0)),
        must_subscribe: true,
        cross_zone_price: 0.05,
        cold: ColdStart {
            warm_up: lasts,
            start_capacity: 0.5,
            fall_multiple: 4.0,
            fall_window,
            max_send_delay: Ms(0.0),
        },
        budget: Some(ResendBudget { free_resends: 4.0, ratio: 0.4, window: Ms(3000.0) }),
        tick: Ms(10.0),
    }
}

pub fn unreported() -> PlacementConfig {
    PlacementConfig {
        uplinks_reported: false,
        uplink_kb: 300.0,
        rung_values: vec![0.2, 0.5, 0.8, 1.0],
        ..terms()
    }
}

pub fn probed() -> PlacementConfig {
    PlacementConfig {
        reports_on_probe: true,
        weights_listed: false,
        report_interval: Ms(0.0),
        ..unreported()
    }
}

pub fn live() -> PlacementConfig {
    let mut it = PlacementConfig { live_join_share: 0.25, budget: None, uplink_kb: 0.0, ..terms() };
    it.packages[0].live = true;
    it
}

/// A third of the list changes often, and servers that left are forgotten.
pub fn many() -> PlacementConfig {
    let mut it =
        PlacementConfig { manager_count: 40.0, max_stay_away: None, must_subscribe: false, ..unreported() };
    it.cold.warm_up = Ms(2000.0);
    it
}

pub fn entry(dice: &mut Dice, no: usize, now: Ms) -> ServerEntry {
    let restarted = dice.below(4) == 0;
    ServerEntry {
        kind: if no.is_multiple_of(4) { "large" } else { "k" }.into(),
        cell: Cell((no + usize::from(dice.below(30) == 0)) as u64),
        availability: [Availability::Up, Availability::Leaving, Availability::Gone]
            [dice.below(12).saturating_sub(9)],
        server: format!("s{no}").as_str().into(),
        started: restarted.then_some(now),
        weight: 1.0 + (no % 3) as f64 / 2.0,
        zone: format!("z{}", no % 2).as_str().into(),
    }
}

pub fn wish(dice: &mut Dice, no: usize, now: Ms) -> ViewingRequest {
    ViewingRequest {
        viewing: format!("v{no}").as_str().into(),
        package: PackageIndex(dice.below(3)),
        tenant: (dice.below(3) == 0).then_some(TenantIndex(0)),
        title: format!("film{}", dice.below(5)).as_str().into(),
        first_cell: dice.below(6) as u64,
        cell_count: 1 + dice.below(4) as u64,
        max_rung: Rung(dice.below(5)),
        deadline: now + Ms(500.0 + 4000.0 * dice.part()),
        expected_duration: (dice.below(2) == 0).then_some(Ms(30_000.0 * dice.part())),
    }
}

pub fn outcome(dice: &mut Dice) -> Outcome {
    let failed = [
        Outcome::ServerError,
        Outcome::TurnedAway,
        Outcome::NoAnswer,
        Outcome::NoConnection,
        Outcome::ConnectionLost,
        Outcome::CalledOff,
        Outcome::NotSent,
    ];
    failed[dice.below(failed.len())]
}

pub fn load(dice: &mut Dice) -> Load {
    let mut some = |most: f64| (dice.below(3) > 0).then(|| dice.part() * most);
    Load { streams: None, link: some(1.0), link_uncapped: some(1.5), uplink: some(1.3) }
}
