//! The settings file of a day: the terms that the managers share, the fleet, the viewers and the faults.

use super::error::SettingsError;
use super::fault::faults;
use super::ini_file::{IniFile, Section};
use super::load;
use super::terms::{terms, ManagerIdentity};
use ottersail::config::{PlacementConfig, RequestSemantics};
use ottersail::time::Ms;
use ottersail_fake_servers::{Day, DayPackage, TITLE_STRIDE};
use ottersail_front::baseline::{Pick, PICKS};
use ottersail_invariants::record::{Even, PackageTerms, Shapes, Terms as JudgeTerms, Titles};
use std::path::Path;

/// A day, and the terms of its managers. Each manager replaces the number and the zone with its own.
#[derive(Clone, Debug)]
pub struct DayPlan {
    /// The fleet, the viewers and the faults of the day.
    pub day: Day,
    /// The configuration of placement that the managers share.
    pub terms: PlacementConfig,
    /// How long a draining server keeps accepting set-ups that are in flight.
    pub drain_grace: Ms,
    /// By which factor the figures of managers with and without probes may differ.
    pub shapes_factor: f64,
    /// How long the managers' costs are measured at rest, before the first viewers come.
    pub rest: Ms,
    /// The limits on uneven load, if the day has any.
    pub even: Option<Even>,
    /// The baseline policy that managers use, for comparison.
    pub pick: Option<Pick>,
    /// Whether all managers use the same seed.
    pub one_seed: bool,
    /// Whether the managers are members of one cluster.
    pub members: bool,
}

/// Reads and parses a day's file.
///
/// # Errors
/// If the file can't be read, or with all of its problems.
pub fn load_day(path: &Path) -> Result<DayPlan, SettingsError> {
    parse_day(path, &load(path)?)
}

/// Parses the text of a day's file. `path` is the file's path.
///
/// # Errors
/// All problems of the file.
pub fn parse_day(path: &Path, text: &str) -> Result<DayPlan, SettingsError> {
    read_plan(&IniFile::read(&path.display().to_string(), text))
}

/// Reads all sections of a day's file.
pub(super) fn read_plan(ini: &IniFile) -> Result<DayPlan, SettingsError> {
    let (day, fleet, players) = (ini.section("day"), ini.section("fleet"), ini.section("players"));
    let managers = fleet.whole("managers", 1..=1000);
    let zones: Vec<String> = fleet.text("zones").split(',').map(|zone| zone.trim().to_string()).collect();
    let terms = terms(ini, &ManagerIdentity { number: 0, managers, zone: &zones[0] });
    let rules = ini.section("rules");
    let drain_grace = rules.number("drain-grace-ms", 1.0..=3.6e6);
    let worth = players.numbers("worth", 0.0..=1.0);
    if worth.len() != terms.ladder_kb.len() {
        players.add_problem("worth", format!("one figure for each of the {} rungs", terms.ladder_kb.len()));
    }
    let (kind, places) = terms
        .places_by_kind
        .iter()
        .next()
        .map_or((String::new(), 1.0), |(kind, places)| (kind.to_string(), *places));
    let fraction = |section: &Section, key: &str, default: f64| section.number_or(key, 0.0..=1.0, default);
    let packages: Vec<DayPackage> = ini
        .sections("package")
        .iter()
        .zip(&terms.packages)
        .map(|((name, section), package)| {
            let length = section.numbers("length-s", 1.0..=3600.0);
            let (from, to) = (length.first().copied().unwrap_or(1.0), length.last().copied().unwrap_or(1.0));
            if from > to {
                section.add_problem("length-s", "the shortest comes first, then the longest");
            }
            let patience = section.number("patience-ms", 100.0..=120_000.0);
            if patience < package.join_target.0 {
                section.add_problem("patience-ms", "must not be under join-target-ms");
            }
            DayPackage {
                name: (*name).to_string(),
                share: section.number("share", 0.0..=1e6),
                patience,
                length: (from, to),
                scale: package.rate_scale,
                may_repeat: package.semantics == RequestSemantics::Idempotent,
            }
        })
        .collect();
    let rest = Ms(1e3 * day.number_or("rest-s", 0.0..=60.0, 0.0));
    let pick = day.word_or("pick", PICKS, None);
    let one_seed = day.flag_or("one-seed", false);
    let members = fleet.flag_or("members", false);
    let even = ini.optional_section("even").map(|section| Even {
        herd: section.number("herd", 1.0..=100.0),
        idle: section.number("idle", 0.0..=1.0),
        over_oracle: section.number("over-oracle", 1.0..=100.0),
        wakes: section.get("wakes").map(|_| section.number("wakes", 0.1..=1e6)),
    });
    let day = Day {
        seed: day.whole("seed", 0..=u64::MAX),
        seconds: day.number("seconds", 1.0..=3600.0),
        managers: managers as usize,
        probing: fleet.whole_or("probing", 0..=managers, 0) as usize,
        zones,
        servers: fleet.whole("servers", 1..=2000) as usize,
        racks: terms.racks,
        cells: terms.cells,
        kind,
        places,
        link_kb: terms.link_unit_kb,
        uplink_kb: terms.uplink_kb,
        uneven: fraction(&fleet, "uneven", 0.2),
        cold: terms.cold.warm_up.0,
        start_capacity: terms.cold.start_capacity,
        fall_multiple: terms.cold.fall_multiple,
        fall: terms.cold.fall_window.0,
        set_up: fleet.number("set-up-ms", 0.1..=10_000.0),
        seen_after: terms.report_delay.0,
        reports_every: terms.report_interval.0,
        notice: fleet.number("notice-ms", 0.0..=60_000.0),
        silent_notice: fleet.number("silent-notice-ms", 0.0..=120_000.0),
        rates_kb: terms.ladder_kb.clone(),
        worth,
        segment: fleet.number("segment-ms", 100.0..=60_000.0),
        titles: fleet.whole("titles", 1..=100_000) as usize,
        copies: fleet.whole("copies", 1..=2000),
        skew: players.number_or("skew", 0.0..=5.0, 1.0),
        packages,
        tenants: terms.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        per_second: players.number("per-second", 0.1..=10_000.0),
        lean: players.number_or("lean", 0.0..=5.0, 0.0),
        impatient: fraction(&players, "impatient", 0.0),
        leave_early: fraction(&players, "leave-early", 0.0),
        come_again: fraction(&players, "come-again", 0.8),
        faults: faults(ini),
    };
    if day.probing > 0 && !rules.flag_or("probes-allowed", false) {
        fleet.add_problem("probing", "needs probes, but [rules] has no probes-allowed = yes");
    }
    if !members && day.faults.iter().any(|fault| fault.gossip().is_some()) {
        fleet.add_problem("members", "must be yes: there are faults on what members send");
    }
    let shapes_factor = fleet.number_or("shapes-factor", 1.0..=100.0, 2.0);
    ini.finish()?;
    Ok(DayPlan {
        day,
        terms,
        drain_grace: Ms(drain_grace),
        shapes_factor,
        rest,
        even,
        pick,
        one_seed,
        members,
    })
}

impl DayPlan {
    /// The terms that the day is judged by.
    pub fn judge_terms(&self) -> JudgeTerms {
        let terms = &self.terms;
        let package = |package: &ottersail::config::Package| {
            let may_repeat = package.semantics != RequestSemantics::AtMostOnce;
            (
                package.name.clone(),
                PackageTerms {
                    may_repeat,
                    floor: package.floor.0,
                    seats: package.seats,
                    scale: package.rate_scale,
                },
            )
        };
        let shapes = Shapes { new_from: self.day.managers - self.day.probing, factor: self.shapes_factor };
        JudgeTerms {
            shapes: (self.day.probing > 0).then_some(shapes),
            drain_grace: self.drain_grace.0,
            cold: terms.cold.warm_up.0,
            start_capacity: terms.cold.start_capacity,
            fall_multiple: terms.cold.fall_multiple,
            fall: terms.cold.fall_window.0,
            budget: terms.budget.map(|budget| (budget.free_resends, budget.ratio, budget.window.0)),
            packages: terms.packages.iter().map(package).collect(),
            even: self.even,
            rates_kb: terms.ladder_kb.clone(),
            reports: (self.day.reports_every, self.day.seen_after),
            titles: Some(Titles { cells: self.day.cells, copies: self.day.copies, stride: TITLE_STRIDE }),
        }
    }
}
