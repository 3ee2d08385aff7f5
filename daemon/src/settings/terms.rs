//! `[ladder]` and `[rules]`: the configuration of placement that all managers of a fleet share. They are in a
//! manager's file and in a day's.

use super::ini_file::{IniFile, Section};
use super::package::{packages, tenants};
use super::DURATION_RANGE_MS;
use ottersail::config::{ColdStart, PlacementConfig, ResendBudget};
use ottersail::ids::{HardwareKind, ManagerIndex};
use ottersail::time::Ms;

/// Which manager of a fleet the terms are for.
pub struct ManagerIdentity<'a> {
    /// The manager's number, counted from 0.
    pub number: u64,
    /// How many managers there are.
    pub managers: u64,
    /// The zone that the manager is in.
    pub zone: &'a str,
}

/// Reads a manager's terms.
pub fn terms(ini: &IniFile, identity: &ManagerIdentity) -> PlacementConfig {
    let ManagerIdentity { number, managers, zone } = *identity;
    let ladder = ini.section("ladder");
    let rules = ini.section("rules");
    let ladder_kb = ladder.numbers("rates-kb", 0.001..=1e9);
    if ladder_kb.windows(2).any(|rates| rates[0] >= rates[1]) {
        ladder.add_problem("rates-kb", "each rung's rate must be higher than the one before");
    }
    let packages = packages(ini, ladder_kb.len());
    let worth = if ladder.get("worth").is_some() { ladder.numbers("worth", 0.0..=1.0) } else { Vec::new() };
    if !worth.is_empty() && worth.len() != ladder_kb.len() {
        ladder.add_problem("worth", format!("one figure for each of the {} rungs", ladder_kb.len()));
    }
    let join = ladder.number_or("join", 0.0..=1.0, 1.0);
    for (_, section) in ini.sections("package").iter().filter(|(_, section)| section.flag_or("live", false)) {
        if join >= 1.0 {
            section.add_problem("live", "shares streams, but [ladder] has no join under 1");
        }
    }
    let reports_on_probe = ladder.flag_or("reports-on-probe", false);
    let probes_allowed = rules.flag_or("probes-allowed", false);
    if reports_on_probe && !probes_allowed {
        ladder.add_problem("reports-on-probe", "needs probes, but [rules] has no probes-allowed = yes");
    }
    let kinds = ladder.pairs("places", 1.0..=1e9);
    PlacementConfig {
        manager: ManagerIndex(number),
        manager_count: managers as f64,
        zone: zone.into(),
        packages,
        tenants: tenants(ini),
        cells: ladder.whole("cells", 1..=1_000_000),
        racks: ladder.whole("racks", 1..=1_000_000),
        link_unit_kb: ladder.number("link-unit-kb", 0.001..=1e12),
        uplink_kb: ladder.number_or("rack-link-kb", 0.0..=1e12, 0.0),
        uplinks_reported: ladder.flag_or("uplinks-reported", true),
        reports_on_probe,
        weights_listed: ladder.flag_or("weights-told", true),
        places_by_kind: kinds
            .into_iter()
            .map(|(kind, places)| (HardwareKind::from(kind.as_str()), places))
            .collect(),
        ladder_kb,
        rung_values: worth,
        live_join_share: join,
        report_delay: Ms(ladder.number("seen-after-ms", DURATION_RANGE_MS)),
        report_interval: Ms(ladder.number("reports-every-ms", 0.0..=*DURATION_RANGE_MS.end())),
        change_cost: Ms(ladder.number("change-cost-ms", 0.0..=3.6e6)),
        max_tune_ins: rules.whole("max-tune-ins", 1..=100) as usize,
        max_stay_away: rules
            .get("max-stay-away-ms")
            .map(|_| Ms(rules.number("max-stay-away-ms", DURATION_RANGE_MS))),
        must_subscribe: false,
        cross_zone_price: rules.number_or("cross-price", 0.0..=1.0, 0.0),
        cold: ColdStart {
            warm_up: Ms(rules.number("cold-ms", 0.0..=3.6e6)),
            start_capacity: rules.number("start-capacity", 0.0..=1.0),
            fall_multiple: rules.number("fall-multiple", 0.1..=1e3),
            fall_window: Ms(rules.number("fall-ms", DURATION_RANGE_MS)),
            max_send_delay: Ms(0.0),
        },
        budget: budget(&rules),
        tick: Ms(1.0),
    }
}

/// The budget of resends. If one of its keys is there, all three are required.
fn budget(rules: &Section) -> Option<ResendBudget> {
    let present = ["budget-free", "budget-ratio", "budget-span-ms"].map(|key| rules.get(key).is_some());
    present.contains(&true).then(|| ResendBudget {
        free_resends: rules.number("budget-free", 0.0..=1e9),
        ratio: rules.number("budget-ratio", 0.0..=1e3),
        window: Ms(rules.number("budget-span-ms", DURATION_RANGE_MS)),
    })
}
