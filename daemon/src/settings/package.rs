//! `[package NAME]` and `[tenant NAME]`: what viewers buy, and who resells it.

use super::ini_file::{IniFile, Section};
use super::SPAN;
use ottersail::config::{DedupScope, Package, RequestSemantics, Tenant};
use ottersail::ids::Rung;
use ottersail::time::Ms;

/// At least one package is needed; `rungs` is how many the ladder has.
pub(super) fn packages(ini: &IniFile, rungs: usize) -> Vec<Package> {
    let all: Vec<Package> =
        ini.sections("package").iter().map(|(name, part)| package(name, part, rungs)).collect();
    if all.is_empty() {
        ini.add_problem(0, "no [package NAME]; at least one is needed".into());
    }
    all
}

pub(super) fn tenants(ini: &IniFile) -> Vec<Tenant> {
    let tenant = |(name, part): &(&str, Section)| Tenant {
        name: (*name).to_string(),
        allowance_per_s: part.number("allowance-per-s", 0.0..=1e9),
    };
    ini.sections("tenant").iter().map(tenant).collect()
}

fn package(name: &str, part: &Section, rungs: usize) -> Package {
    #[derive(Clone, Copy, PartialEq)]
    enum Kind {
        Safe,
        Unsafe,
        Keyed,
    }
    let kind = part.word("repeat", &[("safe", Kind::Safe), ("unsafe", Kind::Unsafe), ("keyed", Kind::Keyed)]);
    let repeat = match kind {
        Kind::Safe => RequestSemantics::Idempotent,
        Kind::Unsafe => RequestSemantics::AtMostOnce,
        Kind::Keyed => RequestSemantics::Deduplicated {
            group: part.word(
                "group",
                &[("all", DedupScope::All), ("zone", DedupScope::SameZone), ("cell", DedupScope::SameCell)],
            ),
            window: Ms(part.number("window-ms", SPAN)),
        },
    };
    let last = rungs.saturating_sub(1) as u64;
    let floor = part.whole_or("floor", 0..=last, 0) as usize;
    let top = part.whole_or("top", 0..=last, last) as usize;
    if floor > top {
        part.add_problem("floor", format!("must not be above top, {top}"));
    }
    Package {
        name: name.to_string(),
        value: part.number("value", 0.0..=1e9),
        join_target: Ms(part.number("join-target-ms", SPAN)),
        semantics: repeat,
        rate_scale: part.number_or("scale", 0.001..=1e3, 1.0),
        floor: Rung(floor),
        top: Rung(top),
        seats: part.whole_or("seats", 0..=1_000_000, 0) as usize,
        live: part.flag_or("live", false),
    }
}
