//! A day's settings: the terms that its managers share, the fleet, the viewers, and what goes wrong.

use super::error::SettingsError;
use super::fault::faults;
use super::ini_file::{IniFile, Section};
use super::load;
use super::terms::terms;
use ottersail::config::{PlacementConfig, RequestSemantics};
use ottersail::time::Ms;
use ottersail_fake_servers::{Day, DayPackage, TITLE_STRIDE};
use ottersail_front::baseline::{Pick, PICKS};
use ottersail_invariants::record::{Even, PackageTerms, Shapes, Terms as JudgeTerms, Titles};
use std::path::Path;

/// A day, and the terms of its managers but for number and zone.
#[derive(Clone, Debug)]
pub struct DayPlan {
    pub day: Day,
    pub terms: PlacementConfig,
    pub drain_grace: Ms,
    /// What managers of two shapes may differ by.
    pub shapes_factor: f64,
    /// Before the viewers come, the managers are watched at rest for so long.
    pub rest: Ms,
    /// How even it has to be, where that is told.
    pub even: Option<Even>,
    /// The managers pick plainly, for comparison; and all by the same chance.
    pub pick: Option<Pick>,
    pub one_seed: bool,
    /// The managers know one another as members.
    pub members: bool,
}

/// Reads the file of a day.
///
/// # Errors
/// If it can't be read, or every problem, each with file and line.
pub fn load_day(path: &Path) -> Result<DayPlan, SettingsError> {
    parse_day(path, &load(path)?)
}

/// Reads a day's file as text.
///
/// # Errors
/// Every problem, each with file and line.
pub fn parse_day(path: &Path, text: &str) -> Result<DayPlan, SettingsError> {
    plan(&IniFile::read(&path.display().to_string(), text))
}

pub(super) fn plan(ini: &IniFile) -> Result<DayPlan, SettingsError> {
    let (day, fleet, players) = (ini.section("day"), ini.section("fleet"), ini.section("players"));
    let managers = fleet.whole("managers", 1..=1000);
    let zones: Vec<String> = fleet.text("zones").split(',').map(|it| it.trim().to_string()).collect();
    let terms = terms(ini, (0, managers, &zones[0]));
    let rules = ini.section("rules");
    let drain_grace = rules.number("drain-grace-ms", 1.0..=3.6e6);
    let worth = players.numbers("worth", 0.0..=1.0);
    if worth.len() != terms.ladder_kb.len() {
        players.add_problem("worth", format!("one figure for each of the {} rungs", terms.ladder_kb.len()));
    }
    let (kind, places) =
        terms.places_by_kind.iter().next().map_or((String::new(), 1.0), |it| (it.0.to_string(), *it.1));
    let part = |section: &Section, key: &str, absent: f64| section.number_or(key, 0.0..=1.0, absent);
    let packages: Vec<DayPackage> = ini
        .sections("package")
        .iter()
        .zip(&terms.packages)
        .map(|((name, it), package)| {
            let length = it.numbers("length-s", 1.0..=3600.0);
            let (from, to) = (length.first().copied().unwrap_or(1.0), length.last().copied().unwrap_or(1.0));
            if from > to {
                it.add_problem("length-s", "the shortest comes first, then the longest");
            }
            let patience = it.number("patience-ms", 100.0..=120_000.0);
            if patience < package.join_target.0 {
                it.add_problem("patience-ms", "must not be under join-target-ms");
            }
            DayPackage {
                name: (*name).to_string(),
                share: it.number("share", 0.0..=1e6),
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
    let even = ini.optional_section("even").map(|it| Even {
        herd: it.number("herd", 1.0..=100.0),
        idle: it.number("idle", 0.0..=1.0),
        over_oracle: it.number("over-oracle", 1.0..=100.0),
        wakes: it.get("wakes").map(|_| it.number("wakes", 0.1..=1e6)),
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
        uneven: part(&fleet, "uneven", 0.2),
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
        tenants: terms.tenants.iter().map(|it| it.name.clone()).collect(),
        per_second: players.number("per-second", 0.1..=10_000.0),
        lean: players.number_or("lean", 0.0..=5.0, 0.0),
        impatient: part(&players, "impatient", 0.0),
        leave_early: part(&players, "leave-early", 0.0),
        come_again: part(&players, "come-again", 0.8),
        faults: faults(ini),
    };
    if day.probing > 0 && !rules.flag_or("probes-allowed", false) {
        fleet.add_problem("probing", "needs probes, but [rules] has no probes-allowed = yes");
    }
    if !members && day.faults.iter().any(|it| it.gossip().is_some()) {
        fleet.add_problem("members", "must be yes: there are faults on what members send");
    }
    let shapes_factor = fleet.number_or("shapes-factor", 1.0..=100.0, 2.0);
    ini.end()?;
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
    /// What the day is judged by.
    pub fn judge_terms(&self) -> JudgeTerms {
        let terms = &self.terms;
        let package = |it: &ottersail::config::Package| {
            let may_repeat = it.semantics != RequestSemantics::AtMostOnce;
            (
                it.name.clone(),
                PackageTerms { may_repeat, floor: it.floor.0, seats: it.seats, scale: it.rate_scale },
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
            budget: terms.budget.map(|it| (it.free_resends, it.ratio, it.window.0)),
            packages: terms.packages.iter().map(package).collect(),
            even: self.even,
            rates_kb: terms.ladder_kb.clone(),
            reports: (self.day.reports_every, self.day.seen_after),
            titles: Some(Titles { cells: self.day.cells, copies: self.day.copies, stride: TITLE_STRIDE }),
        }
    }
}
