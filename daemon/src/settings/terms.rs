//! `[ladder]` and `[rules]`: the terms that managers of one fleet share, in a manager's file and in a day's.

use super::ini_file::{IniFile, Section};
use super::package::{packages, tenants};
use super::SPAN;
use ottersail::config::{ColdStart, PlacementConfig, ResendBudget};
use ottersail::ids::{HardwareKind, ManagerIndex};
use ottersail::time::Ms;

/// The terms of a manager, by number, count and zone, from the sections that a day's file has too.
pub fn terms(ini: &IniFile, (number, managers, zone): (u64, u64, &str)) -> PlacementConfig {
    let ladder = ini.section("ladder");
    let rules = ini.section("rules");
    let ladder_kb = ladder.numbers("rates-kb", 0.001..=1e9);
    if ladder_kb.windows(2).any(|it| it[0] >= it[1]) {
        ladder.add_problem("rates-kb", "each rung's rate must be higher than the one before");
    }
    let packages = packages(ini, ladder_kb.len());
    let worth = if ladder.get("worth").is_some() { ladder.numbers("worth", 0.0..=1.0) } else { Vec::new() };
    if !worth.is_empty() && worth.len() != ladder_kb.len() {
        ladder.add_problem("worth", format!("one figure for each of the {} rungs", ladder_kb.len()));
    }
    let join = ladder.number_or("join", 0.0..=1.0, 1.0);
    for (_, part) in ini.sections("package").iter().filter(|it| it.1.flag_or("live", false)) {
        if join >= 1.0 {
            part.add_problem("live", "shares streams, but [ladder] has no join under 1");
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
        report_delay: Ms(ladder.number("seen-after-ms", SPAN)),
        report_interval: Ms(ladder.number("reports-every-ms", 0.0..=*SPAN.end())),
        change_cost: Ms(ladder.number("change-cost-ms", 0.0..=3.6e6)),
        max_tune_ins: rules.whole("max-tune-ins", 1..=100) as usize,
        max_stay_away: rules.get("max-stay-away-ms").map(|_| Ms(rules.number("max-stay-away-ms", SPAN))),
        must_subscribe: false,
        cross_zone_price: rules.number_or("cross-price", 0.0..=1.0, 0.0),
        cold: ColdStart {
            warm_up: Ms(rules.number("cold-ms", 0.0..=3.6e6)),
            start_capacity: rules.number("start-capacity", 0.0..=1.0),
            fall_multiple: rules.number("fall-multiple", 0.1..=1e3),
            fall_window: Ms(rules.number("fall-ms", SPAN)),
            max_send_delay: Ms(0.0),
        },
        budget: budget(&rules),
        tick: Ms(1.0),
    }
}

/// With one of its keys all three must be there.
fn budget(rules: &Section) -> Option<ResendBudget> {
    let parts = ["budget-free", "budget-ratio", "budget-span-ms"].map(|it| rules.get(it).is_some());
    parts.contains(&true).then(|| ResendBudget {
        free_resends: rules.number("budget-free", 0.0..=1e9),
        ratio: rules.number("budget-ratio", 0.0..=1e3),
        window: Ms(rules.number("budget-span-ms", SPAN)),
    })
}
