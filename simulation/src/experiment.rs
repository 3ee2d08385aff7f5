//! An experiment: days, seeds and variants of a day's settings, played as a grid. What was played before with
//! the same settings and version is not played again.

use crate::detail::Detail;
use crate::errors::LabError;
use crate::figures::Figures;
use crate::model::Model;
use crate::parts::By;
use ottersail_daemon::settings::day::parse_day;
use ottersail_daemon::settings::ini_file::IniFile;
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::Placement;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fs;
use std::path::Path;

/// Results of another version of the model are not compared with.
pub const VERSION: u32 = 3;

const PARTS: &str = "expected number, or equal or need and a lease in milliseconds from 1000 to 60000";

#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    pub name: String,
    /// `None`: the module.
    pub pick: Option<Pick>,
    /// Slots leased for so many milliseconds; `None`: parts by number.
    pub leased: Option<(By, f64)>,
    /// Section, key, value.
    changes: Vec<(String, String, String)>,
    /// Faults that are left out, by the whole heading.
    without: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    /// Name and text of each day.
    pub days: Vec<(String, String)>,
    pub seeds: Vec<u64>,
    pub variants: Vec<Variant>,
}

/// One run's result, a line of the results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub day: String,
    pub variant: String,
    pub seed: u64,
    /// Of the day's text with its changes, and of the policy.
    pub settings: String,
    pub version: u32,
    pub figures: Figures,
    pub detail: Detail,
    /// Laws that did not hold.
    pub broken: Vec<String>,
}

impl Experiment {
    /// Reads an experiment's file; days lie beside it.
    ///
    /// # Errors
    /// All complaints, a line each.
    pub fn read(path: &Path) -> Result<Experiment, LabError> {
        let file = path.display().to_string();
        let text =
            fs::read_to_string(path).map_err(|source| LabError::Unread { path: path.into(), source })?;
        let ini = IniFile::read(&file, &text);
        let head = ini.section("experiment");
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut days = Vec::new();
        for name in head.text("days").split(',').map(str::trim).filter(|it| !it.is_empty()) {
            match fs::read_to_string(folder.join(name)) {
                Ok(text) => days.push((name.to_string(), text)),
                Err(trouble) => head.add_problem("days", format!("{name}: {trouble}")),
            }
        }
        let seeds = (1..=head.whole("seeds", 1..=1000)).collect();
        let policies = [
            ("random", Pick::Random),
            ("least-loaded", Pick::LeastLoaded),
            ("lowest-rung", Pick::LowestRung),
        ];
        let mut variants = Vec::new();
        for (name, section) in ini.sections("variant") {
            let mut it = Variant {
                name: name.to_string(),
                pick: None,
                leased: None,
                changes: Vec::new(),
                without: Vec::new(),
            };
            for (key, value) in section.all() {
                match key.rsplit_once('.') {
                    Some((of, key)) => it.changes.push((of.into(), key.into(), value.into())),
                    None if key == "policy" => match policies.iter().find(|it| it.0 == value) {
                        Some(pick) => it.pick = Some(pick.1),
                        None if value == "module" => {}
                        None => {
                            section.add_problem(key, "expected module, random, least-loaded or lowest-rung")
                        }
                    },
                    None if key == "parts" => match value.split_once(char::is_whitespace) {
                        Some((by, lease)) => {
                            let by =
                                [("equal", By::Equal), ("need", By::Need)].into_iter().find(|it| it.0 == by);
                            let lease =
                                lease.trim().parse().ok().filter(|it| (1_000.0..=60_000.0).contains(it));
                            match (by, lease) {
                                (Some((_, by)), Some(lease)) => it.leased = Some((by, lease)),
                                _ => section.add_problem(key, PARTS),
                            }
                        }
                        None if value == "number" => {}
                        None => section.add_problem(key, PARTS),
                    },
                    None if key == "without" => {
                        it.without = value.split(',').map(|it| format!("fault {}", it.trim())).collect();
                    }
                    None => {
                        section.add_problem(key, "expected policy, parts, without, or section.key = value")
                    }
                }
            }
            variants.push(it);
        }
        if variants.is_empty() {
            ini.add_problem(0, "no [variant NAME] to play".into());
        }
        let experiment = Experiment { days, seeds, variants };
        let mut complaints = ini.problems();
        for (day, text) in &experiment.days {
            for variant in &experiment.variants {
                match variant.apply(text) {
                    Ok(text) => {
                        let told =
                            parse_day(Path::new(day), &text).map_err(Vec::from).err().into_iter().flatten();
                        complaints.extend(told.map(|it| format!("{file}: variant {}: {it}", variant.name)));
                    }
                    Err(lacks) => complaints.push(format!("{file}: {day}: {lacks}")),
                }
            }
        }
        if complaints.is_empty() {
            Ok(experiment)
        } else {
            Err(LabError::Unfit { path: path.into(), complaints })
        }
    }
}

impl Variant {
    /// The day's text with this variant's changes.
    ///
    /// # Errors
    /// A section or fault that the day lacks.
    pub fn apply(&self, text: &str) -> Result<String, LabError> {
        let mut parts: Vec<(String, Vec<String>)> = vec![(String::new(), Vec::new())];
        for line in text.lines() {
            if let Some(name) = line.trim().strip_prefix('[').and_then(|it| it.strip_suffix(']')) {
                parts.push((name.trim().to_string(), Vec::new()));
            } else if let Some(part) = parts.last_mut() {
                part.1.push(line.to_string());
            }
        }
        let mut headings = Vec::new();
        for name in &self.without {
            let before = parts.len();
            parts.retain(|it| it.0 != *name);
            if parts.len() == before {
                headings.push(name.clone());
            }
        }
        for (of, key, value) in &self.changes {
            let Some(part) = parts.iter_mut().find(|it| it.0 == *of) else {
                headings.push(of.clone());
                continue;
            };
            part.1.retain(|line| line.split('=').next().map(str::trim) != Some(key));
            part.1.push(format!("{key} = {value}"));
        }
        if !headings.is_empty() {
            return Err(LabError::Lacks { variant: self.name.clone(), headings });
        }
        let text = parts.iter().map(|(name, lines)| {
            let head = if name.is_empty() { String::new() } else { format!("[{name}]\n") };
            head + &lines.join("\n") + "\n"
        });
        Ok(text.collect())
    }

    pub(crate) fn play(&self, day: &str, text: &str, seed: u64) -> Result<Outcome, LabError> {
        let text = self.apply(text)?;
        let plan = parse_day(Path::new(day), &text)
            .map_err(|complaints| LabError::Unfit { path: day.into(), complaints: complaints.into() })?;
        let pick = self.pick;
        let model = Model::with(&plan, seed, move |now, seed, terms, out| match pick {
            None => Box::new(Placement::new(now, seed, terms, out)),
            Some(pick) => Box::new(Baseline::new(terms, pick, seed)),
        });
        let mut model = model.map_err(|source| LabError::Model { day: day.into(), source })?;
        if let Some((by, lease)) = self.leased {
            model.leased(by, lease);
        }
        let (figures, detail, drift) = model.run();
        let broken = figures.broken_laws(drift);
        let (day, variant, settings) = (day.to_string(), self.name.clone(), self.settings(&text));
        Ok(Outcome { day, variant, seed, settings, version: VERSION, figures, detail, broken })
    }

    pub(crate) fn settings(&self, applied: &str) -> String {
        let sum = Sha256::digest(format!("{:?} {:?}\n{applied}", self.pick, self.leased));
        sum.iter().take(8).map(|it| format!("{it:02x}")).collect()
    }
}

#[cfg(test)]
mod tests;
