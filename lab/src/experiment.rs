//! An experiment: days, seeds and variants of a day's settings, played as a grid. What was played before with the same
//! settings and version is not played again.

use crate::detail::Detail;
use crate::figures::Figures;
use crate::model::Model;
use ottersail_daemon::settings::day::read_day;
use ottersail_daemon::settings::sheet::Sheet;
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::Brain;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Results of another version of the model are not compared with.
const VERSION: u32 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    pub name: String,
    /// `None`: the module.
    pub pick: Option<Pick>,
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
    pub fn read(path: &Path) -> Result<Experiment, Vec<String>> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|it| vec![format!("{file}: {it}")])?;
        let sheet = Sheet::read(&file, &text);
        let head = sheet.section("experiment");
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut days = Vec::new();
        for name in head.text("days").split(',').map(str::trim).filter(|it| !it.is_empty()) {
            match fs::read_to_string(folder.join(name)) {
                Ok(text) => days.push((name.to_string(), text)),
                Err(trouble) => head.complain("days", format!("{name}: {trouble}")),
            }
        }
        let seeds = (1..=head.whole("seeds", 1..=1000)).collect();
        let policies = [
            ("random", Pick::Random),
            ("least-loaded", Pick::LeastLoaded),
            ("lowest-rung", Pick::LowestRung),
        ];
        let mut variants = Vec::new();
        for (name, section) in sheet.sections("variant") {
            let mut it =
                Variant { name: name.to_string(), pick: None, changes: Vec::new(), without: Vec::new() };
            for (key, value) in section.all() {
                match key.rsplit_once('.') {
                    Some((of, key)) => it.changes.push((of.into(), key.into(), value.into())),
                    None if key == "policy" => match policies.iter().find(|it| it.0 == value) {
                        Some(pick) => it.pick = Some(pick.1),
                        None if value == "module" => {}
                        None => section.complain(key, "expected module, random, least-loaded or lowest-rung"),
                    },
                    None if key == "without" => {
                        it.without = value.split(',').map(|it| format!("fault {}", it.trim())).collect();
                    }
                    None => section.complain(key, "expected policy, without, or section.key = value"),
                }
            }
            variants.push(it);
        }
        if variants.is_empty() {
            sheet.complain(0, "no [variant NAME] to play".into());
        }
        let experiment = Experiment { days, seeds, variants };
        let mut complaints = sheet.complaints();
        for (day, text) in &experiment.days {
            for variant in &experiment.variants {
                let told = variant
                    .apply(text)
                    .and_then(|it| read_day(Path::new(day), &it).map(|_| ()).map_err(Vec::from));
                let told = told.err().into_iter().flatten();
                complaints.extend(told.map(|it| format!("{file}: variant {}: {it}", variant.name)));
            }
        }
        if complaints.is_empty() {
            Ok(experiment)
        } else {
            Err(complaints)
        }
    }
}

impl Variant {
    /// The day's text with this variant's changes.
    ///
    /// # Errors
    /// A section or fault that the day lacks.
    pub fn apply(&self, text: &str) -> Result<String, Vec<String>> {
        let mut parts: Vec<(String, Vec<String>)> = vec![(String::new(), Vec::new())];
        for line in text.lines() {
            if let Some(name) = line.trim().strip_prefix('[').and_then(|it| it.strip_suffix(']')) {
                parts.push((name.trim().to_string(), Vec::new()));
            } else if let Some(part) = parts.last_mut() {
                part.1.push(line.to_string());
            }
        }
        let mut lacks = Vec::new();
        for name in &self.without {
            let before = parts.len();
            parts.retain(|it| it.0 != *name);
            if parts.len() == before {
                lacks.push(format!("the day has no [{name}]"));
            }
        }
        for (of, key, value) in &self.changes {
            let Some(part) = parts.iter_mut().find(|it| it.0 == *of) else {
                lacks.push(format!("the day has no [{of}]"));
                continue;
            };
            part.1.retain(|line| line.split('=').next().map(str::trim) != Some(key));
            part.1.push(format!("{key} = {value}"));
        }
        if !lacks.is_empty() {
            return Err(lacks);
        }
        let text = parts.iter().map(|(name, lines)| {
            let head = if name.is_empty() { String::new() } else { format!("[{name}]\n") };
            head + &lines.join("\n") + "\n"
        });
        Ok(text.collect())
    }

    fn play(&self, day: &str, text: &str, seed: u64) -> Result<Outcome, String> {
        let lines = |it: Vec<String>| it.join("\n");
        let text = self.apply(text).map_err(lines)?;
        let plan = read_day(Path::new(day), &text).map_err(|it| it.join("\n"))?;
        let pick = self.pick;
        let (figures, detail, drift) = Model::with(&plan, seed, move |now, seed, terms, out| match pick {
            None => Box::new(Brain::born(now, seed, terms, out)),
            Some(pick) => Box::new(Baseline::new(terms, pick, seed)),
        })?
        .run();
        let broken = figures.broken_laws(drift);
        let (day, variant, settings) = (day.to_string(), self.name.clone(), self.settings(&text));
        Ok(Outcome { day, variant, seed, settings, version: VERSION, figures, detail, broken })
    }

    fn settings(&self, applied: &str) -> String {
        let sum = Sha256::digest(format!("{:?}\n{applied}", self.pick));
        sum.iter().take(8).map(|it| format!("{it:02x}")).collect()
    }
}

/// What was played before; a last line that was cut off counts as not played.
pub fn results(path: &Path) -> Vec<Outcome> {
    let lines = File::open(path).map(|it| BufReader::new(it).lines());
    let lines = lines.into_iter().flatten().map_while(Result::ok);
    lines.filter_map(|it| serde_json::from_str(&it).ok()).collect()
}

/// Plays what is missing of the grid, on so many threads, and gives all of it, in the grid's order.
///
/// # Errors
/// If results can't be written, or a run can't be begun.
pub fn run(experiment: &Experiment, path: &Path, threads: usize) -> Result<Vec<Outcome>, String> {
    let mut grid: Vec<(&Variant, &str, String, u64, String)> = Vec::new();
    for seed in &experiment.seeds {
        for (day, text) in &experiment.days {
            for variant in &experiment.variants {
                let applied = variant.apply(text).map_err(|it| it.join("\n"))?;
                grid.push((variant, day, text.clone(), *seed, variant.settings(&applied)));
            }
        }
    }
    let done = results(path);
    let known = |(variant, day, _, seed, settings): &(&Variant, &str, String, u64, String)| {
        done.iter()
            .find(|it| {
                (it.version, &it.variant, it.day.as_str(), it.seed, &it.settings)
                    == (VERSION, &variant.name, *day, *seed, settings)
            })
            .cloned()
    };
    let missing: Vec<usize> = (0..grid.len()).filter(|it| known(&grid[*it]).is_none()).collect();
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(|it| format!("{}: {it}", folder.display()))?;
    }
    let mut file = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(file) = &mut file {
        // After a line that was cut off the next begins anew.
        let torn = fs::read(path).is_ok_and(|it| it.last().is_some_and(|it| *it != b'\n'));
        if torn {
            _ = writeln!(file);
        }
    }
    let file = Mutex::new(file.map_err(|it| format!("{}: {it}", path.display()))?);
    let (next, began, troubles) = (AtomicUsize::new(0), Instant::now(), Mutex::new(Vec::<String>::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, missing.len().max(1)) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(ix) = missing.get(at) else {
                    return;
                };
                let (variant, day, text, seed, _) = &grid[*ix];
                let written = variant.play(day, text, *seed).and_then(|outcome| {
                    let line = serde_json::to_string(&outcome).map_err(|it| it.to_string())?;
                    let mut file = file.lock().map_err(|it| it.to_string())?;
                    writeln!(file, "{line}").and_then(|()| file.flush()).map_err(|it| it.to_string())
                });
                eprintln!(
                    "{:>4} of {}  {:>6.1} s  {day} seed {seed}: {}",
                    at + 1,
                    missing.len(),
                    began.elapsed().as_secs_f64(),
                    variant.name
                );
                if let (Err(trouble), Ok(mut all)) = (written, troubles.lock()) {
                    all.push(trouble);
                }
            });
        }
    });
    let troubles = troubles.into_inner().unwrap_or_default();
    if let Some(first) = troubles.into_iter().next() {
        return Err(first);
    }
    let done = results(path);
    let wanted: Vec<Outcome> = grid
        .iter()
        .filter_map(|(variant, day, _, seed, settings)| {
            let same = |it: &&Outcome| {
                (it.version, &it.variant, it.day.as_str(), it.seed, &it.settings)
                    == (VERSION, &variant.name, *day, *seed, settings)
            };
            done.iter().find(same).cloned()
        })
        .collect();
    if wanted.len() == grid.len() {
        Ok(wanted)
    } else {
        Err(format!("{}: {} of {} results can be read", path.display(), wanted.len(), grid.len()))
    }
}

/// Where an experiment's results are kept, if not told otherwise.
pub fn results_of(experiment: &Path) -> PathBuf {
    let name = experiment.file_stem().map_or("results".into(), |it| it.to_string_lossy().into_owned());
    Path::new("target/lab").join(format!("{name}.jsonl"))
}

/// Variants in the order of their first result.
pub fn variants(all: &[Outcome]) -> Vec<String> {
    let mut seen = BTreeSet::new();
    all.iter().map(|it| &it.variant).filter(|it| seen.insert((*it).clone())).cloned().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn variant(changes: &[(&str, &str, &str)], without: &[&str]) -> Variant {
        let changes = changes.iter().map(|it| (it.0.into(), it.1.into(), it.2.into())).collect();
        let without = without.iter().map(|it| (*it).to_string()).collect();
        Variant { name: "v".into(), pick: None, changes, without }
    }

    const DAY: &str = "; a day\n[day]\nseed = 1\nseconds = 2\n\n[fault a b]\nkind = crash\n";

    #[test]
    fn a_key_is_replaced_or_added_and_a_fault_left_out() {
        let it = variant(&[("day", "seconds", "9"), ("day", "more", "x")], &["fault a b"]);
        assert_eq!(it.apply(DAY).unwrap(), "; a day\n[day]\nseed = 1\n\nseconds = 9\nmore = x\n");
    }

    #[test]
    fn what_the_day_lacks_is_told() {
        let told = variant(&[("fleet", "x", "1")], &["fault none"]).apply(DAY).unwrap_err();
        assert_eq!(told, ["the day has no [fault none]", "the day has no [fleet]"]);
    }

    #[test]
    fn other_settings_have_another_name() {
        let (one, other) = (variant(&[], &[]), variant(&[("day", "seconds", "3")], &[]));
        assert_eq!(one.settings(&one.apply(DAY).unwrap()), one.settings(&one.apply(DAY).unwrap()));
        assert_ne!(one.settings(&one.apply(DAY).unwrap()), other.settings(&other.apply(DAY).unwrap()));
        let random = Variant { pick: Some(Pick::Random), ..one.clone() };
        assert_ne!(one.settings(DAY), random.settings(DAY));
    }
}
