//! `ottersail replay`: tells a front on a fake clock what a record says it was told, and compares what it wants.

use crate::run::{house, NoOrders};
use crate::settings::manager::read_manager;
use ottersail_front::tape::{Scribe, Told};
use ottersail_front::{Front, Ms};
use ottersail_tickets::Keys;
use serde::Deserialize;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

#[derive(Deserialize)]
struct Header {
    begins: f64,
    seed: u64,
    file: String,
    settings: String,
}

#[derive(Deserialize)]
struct Step {
    at: f64,
    told: Told,
    wanted: Vec<String>,
}

/// What came of it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    pub fronts: usize,
    pub told: usize,
    pub wanted: usize,
    /// Lines cut off by a kill.
    pub torn: usize,
}

impl fmt::Display for Replayed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Replayed { fronts, told, wanted, torn } = self;
        write!(f, "{fronts} fronts were told {told} things and wanted the same {wanted}; {torn} torn lines")
    }
}

/// Plays a record back.
///
/// # Errors
/// The first line at which the library wants something else, or what can't be read.
pub fn replay(path: &Path, keys: Option<PathBuf>) -> Result<Replayed, String> {
    let open = File::open(path).map_err(|it| format!("{}: {it}", path.display()))?;
    let beside = PathBuf::from(format!("{}.keys", path.display()));
    let keys = keys.or_else(|| beside.exists().then_some(beside));
    let mut front: Option<Front> = None;
    let mut done = Replayed::default();
    let lines: Vec<String> =
        BufReader::new(open).lines().collect::<Result<_, _>>().map_err(|it| it.to_string())?;
    for (no, line) in lines.iter().enumerate() {
        let at = |what: String| format!("{}:{}: {what}", path.display(), no + 1);
        if let Ok(header) = serde_json::from_str::<Header>(line) {
            front = Some(begin(&header, keys.as_deref()).map_err(at)?);
            done.fronts += 1;
            continue;
        }
        let step = match serde_json::from_str::<Step>(line) {
            Ok(step) => step,
            // A killed manager leaves half a line, and the next begins anew.
            Err(_) if lines.get(no + 1).is_none_or(|it| it.starts_with("{\"begins\"")) => {
                done.torn += 1;
                continue;
            }
            Err(trouble) => return Err(at(trouble.to_string())),
        };
        let Some(front) = front.as_mut() else {
            return Err(at("a record begins with its settings".into()));
        };
        let mut wanted = Vec::new();
        step.told.tell(front, Ms(step.at), &mut Scribe { lines: &mut wanted, out: None });
        if wanted != step.wanted {
            let pair = wanted.iter().zip(&step.wanted).find(|it| it.0 != it.1);
            let (now, then) = pair.map_or((wanted.len().to_string(), step.wanted.len().to_string()), |it| {
                (it.0.clone(), it.1.clone())
            });
            return Err(at(format!("wanted now\n  {now}\nand then\n  {then}")));
        }
        done.told += 1;
        done.wanted += wanted.len();
    }
    if done.told == 0 {
        return Err(format!("{}: nothing was told in this record", path.display()));
    }
    Ok(done)
}

fn begin(header: &Header, keys: Option<&Path>) -> Result<Front, String> {
    let manager = read_manager(Path::new(&header.file), &header.settings).map_err(|it| it.join("\n"))?;
    let keys = keys.unwrap_or(&manager.keys);
    let text = std::fs::read_to_string(keys)
        .map_err(|it| format!("{}: {it}; name the keys of that time with --keys", keys.display()))?;
    let keys = Keys::read(&text).map_err(|it| it.to_string())?;
    Ok(Front::new(
        Ms(header.begins),
        header.seed,
        manager.terms.clone(),
        house(&manager, keys),
        &mut NoOrders,
    ))
}
