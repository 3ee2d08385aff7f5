//! An experiment's grid of days, seeds and variants: played, kept, and taken up again.

use crate::errors::LabError;
use crate::experiment::{Experiment, Outcome, Variant, VERSION};
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

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
pub fn run(experiment: &Experiment, path: &Path, threads: usize) -> Result<Vec<Outcome>, LabError> {
    let mut grid: Vec<(&Variant, &str, String, u64, String)> = Vec::new();
    for seed in &experiment.seeds {
        for (day, text) in &experiment.days {
            for variant in &experiment.variants {
                let applied = variant.apply(text)?;
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
        fs::create_dir_all(folder).map_err(|source| LabError::Unwritten { path: folder.into(), source })?;
    }
    let unwritten = |source| LabError::Unwritten { path: path.into(), source };
    let mut file = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(file) = &mut file {
        // After a line that was cut off the next begins anew.
        let torn = fs::read(path).is_ok_and(|it| it.last().is_some_and(|it| *it != b'\n'));
        if torn {
            _ = writeln!(file);
        }
    }
    let file = Mutex::new(file.map_err(unwritten)?);
    let (next, began, troubles) = (AtomicUsize::new(0), Instant::now(), Mutex::new(Vec::<LabError>::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, missing.len().max(1)) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(ix) = missing.get(at) else {
                    return;
                };
                let (variant, day, text, seed, _) = &grid[*ix];
                let written = variant.play(day, text, *seed).and_then(|outcome| {
                    let line = serde_json::to_string(&outcome).map_err(|source| {
                        let (day, variant) = (outcome.day.clone(), outcome.variant.clone());
                        LabError::Result { day, variant, seed: *seed, source }
                    })?;
                    let mut file = file.lock().map_err(|_| LabError::BrokeOff { path: path.into() })?;
                    writeln!(file, "{line}").and_then(|()| file.flush()).map_err(unwritten)
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
        Err(LabError::Short { path: path.into(), read: wanted.len(), wanted: grid.len() })
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
