//! `[package NAME]`: the classes of requests. `[tenant NAME]`: the resellers and their allowances.

use super::ini_file::{IniFile, Section};
use super::DURATION_RANGE_MS;
use ottersail::config::{DedupScope, Package, RequestSemantics, Tenant};
use ottersail::ids::Rung;
use ottersail::time::Ms;

/// Reads all packages. At least one is required. `rungs` is the number of the ladder's rungs.
pub(super) fn packages(ini: &IniFile, rungs: usize) -> Vec<Package> {
    let all: Vec<Package> =
        ini.sections("package").iter().map(|(name, section)| package(name, section, rungs)).collect();
    if all.is_empty() {
        ini.add_problem(0, "no [package NAME]; at least one is needed".into());
    }
    all
}

/// Reads all tenants.
pub(super) fn tenants(ini: &IniFile) -> Vec<Tenant> {
    let tenant = |(name, section): &(&str, Section)| Tenant {
        name: (*name).to_string(),
        allowance_per_s: section.number("allowance-per-s", 0.0..=1e9),
    };
    ini.sections("tenant").iter().map(tenant).collect()
}

fn package(name: &str, section: &Section, rungs: usize) -> Package {
    #[derive(Clone, Copy, PartialEq)]
    enum Kind {
        Safe,
        Unsafe,
        Keyed,
    }
    let kind =
        section.word("repeat", &[("safe", Kind::Safe), ("unsafe", Kind::Unsafe), ("keyed", Kind::Keyed)]);
    let repeat = match kind {
        Kind::Safe => RequestSemantics::Idempotent,
        Kind::Unsafe => RequestSemantics::AtMostOnce,
        Kind::Keyed => RequestSemantics::Deduplicated {
            group: section.word(
                "group",
                &[("all", DedupScope::All), ("zone", DedupScope::SameZone), ("cell", DedupScope::SameCell)],
            ),
            window: Ms(section.number("window-ms", DURATION_RANGE_MS)),
        },
    };
    let last = rungs.saturating_sub(1) as u64;
    let floor = section.whole_or("floor", 0..=last, 0) as usize;
    let top = section.whole_or("top", 0..=last, last) as usize;
    if floor > top {
        section.add_problem("floor", format!("must not be above top, {top}"));
    }
    Package {
        name: name.to_string(),
        value: section.number("value", 0.0..=1e9),
        join_target: Ms(section.number("join-target-ms", DURATION_RANGE_MS)),
        semantics: repeat,
        rate_scale: section.number_or("scale", 0.001..=1e3, 1.0),
        floor: Rung(floor),
        top: Rung(top),
        seats: section.whole_or("seats", 0..=1_000_000, 0) as usize,
        live: section.flag_or("live", false),
    }
}
