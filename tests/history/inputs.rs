//! Settings of several kinds, and random inputs.

use ottersail::config::{
    ColdStart, DedupScope, Package, PlacementConfig, RequestSemantics, ResendBudget, Tenant,
};
use ottersail::ids::{Cell, HardwareKind, ManagerIndex, PackageIndex, Rung, TenantIndex};
use ottersail::state::{Availability, Load, Outcome, ServerEntry, ViewingRequest};
use ottersail::time::Ms;

/// xorshift (Marsaglia 2003, "Xorshift RNGs"); independent of the generator of the decisions.
pub struct InputRng(pub u64);

impl InputRng {
    /// Uniform in `0..limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 33) as usize % limit
    }
    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }
}

pub fn package(value: f64, semantics: RequestSemantics) -> Package {
    let (join_target, floor, top) = (Ms(1000.0), Rung(0), Rung(3));
    Package {
        name: value.to_string(),
        value,
        join_target,
        semantics,
        rate_scale: 1.0,
        floor,
        top,
        seats: 0,
        live: false,
    }
}

/// Uplinks whose load is reported in notes.
pub fn reported_uplinks() -> PlacementConfig {
    let mut packages = vec![
        package(1.0, RequestSemantics::Idempotent),
        package(3.0, RequestSemantics::Deduplicated { group: DedupScope::SameZone, window: Ms(900.0) }),
        package(2.0, RequestSemantics::AtMostOnce),
    ];
    (packages[1].floor, packages[1].rate_scale, packages[2].seats) = (Rung(1), 1.5, 9);
    let (warm_up, fall_window) = (Ms(10_000.0), Ms(1000.0));
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
            warm_up,
            start_capacity: 0.5,
            fall_multiple: 4.0,
            fall_window,
            max_send_delay: Ms(0.0),
        },
        budget: Some(ResendBudget { free_resends: 4.0, ratio: 0.4, window: Ms(3000.0) }),
        tick: Ms(10.0),
    }
}

/// Uplinks whose load is not reported.
pub fn unreported_uplinks() -> PlacementConfig {
    PlacementConfig {
        uplinks_reported: false,
        uplink_kb: 300.0,
        rung_values: vec![0.2, 0.5, 0.8, 1.0],
        ..reported_uplinks()
    }
}

/// Load that is reported only to probes.
pub fn reports_on_probe() -> PlacementConfig {
    PlacementConfig {
        reports_on_probe: true,
        weights_listed: false,
        report_interval: Ms(0.0),
        ..unreported_uplinks()
    }
}

/// Live titles, of which viewers share a stream.
pub fn live_titles() -> PlacementConfig {
    let mut config =
        PlacementConfig { live_join_share: 0.25, budget: None, uplink_kb: 0.0, ..reported_uplinks() };
    config.packages[0].live = true;
    config
}

/// Forty managers. The warm-up is short enough that servers off the list are forgotten.
pub fn many_managers() -> PlacementConfig {
    let mut config = PlacementConfig {
        manager_count: 40.0,
        max_stay_away: None,
        must_subscribe: false,
        ..unreported_uplinks()
    };
    config.cold.warm_up = Ms(2000.0);
    config
}

/// List entry of a server, now and then restarted, moved to another cell, or not up.
pub fn entry(rng: &mut InputRng, number: usize, now: Ms) -> ServerEntry {
    let restarted = rng.below(4) == 0;
    ServerEntry {
        kind: if number.is_multiple_of(4) { "large" } else { "k" }.into(),
        cell: Cell((number + usize::from(rng.below(30) == 0)) as u64),
        availability: [Availability::Up, Availability::Leaving, Availability::Gone]
            [rng.below(12).saturating_sub(9)],
        server: format!("s{number}").as_str().into(),
        started: restarted.then_some(now),
        weight: 1.0 + (number % 3) as f64 / 2.0,
        zone: format!("z{}", number % 2).as_str().into(),
    }
}

pub fn request(rng: &mut InputRng, number: usize, now: Ms) -> ViewingRequest {
    ViewingRequest {
        viewing: format!("v{number}").as_str().into(),
        package: PackageIndex(rng.below(3)),
        tenant: (rng.below(3) == 0).then_some(TenantIndex(0)),
        title: format!("film{}", rng.below(5)).as_str().into(),
        first_cell: rng.below(6) as u64,
        cell_count: 1 + rng.below(4) as u64,
        max_rung: Rung(rng.below(5)),
        deadline: now + Ms(500.0 + 4000.0 * rng.unit()),
        expected_duration: (rng.below(2) == 0).then_some(Ms(30_000.0 * rng.unit())),
    }
}

/// Any failure.
pub fn outcome(rng: &mut InputRng) -> Outcome {
    let failed = [
        Outcome::ServerError,
        Outcome::TurnedAway,
        Outcome::NoAnswer,
        Outcome::NoConnection,
        Outcome::ConnectionLost,
        Outcome::CalledOff,
        Outcome::NotSent,
    ];
    failed[rng.below(failed.len())]
}

pub fn load(rng: &mut InputRng) -> Load {
    let mut sometimes = |most: f64| (rng.below(3) > 0).then(|| rng.unit() * most);
    Load { streams: None, link: sometimes(1.0), link_uncapped: sometimes(1.5), uplink: sometimes(1.3) }
}
