//! `ottersail replay`: tells a front on a fake clock what a record says it was told, and compares what it
//! wants.

use crate::error::ReplayError;
use crate::run::{front_settings, DiscardOutput};
use crate::settings::manager::parse_manager;
use ottersail_front::recording::{EffectRecorder, FrontInput};
use ottersail_front::{Front, Ms};
use ottersail_signed_urls::Keys;
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
    told: FrontInput,
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
pub fn replay(path: &Path, keys: Option<PathBuf>) -> Result<Replayed, ReplayError> {
    let file = || path.to_path_buf();
    let unread = |cause| ReplayError::Unreadable { file: file(), cause };
    let open = File::open(path).map_err(unread)?;
    let beside = PathBuf::from(format!("{}.keys", path.display()));
    let keys = keys.or_else(|| beside.exists().then_some(beside));
    let mut front: Option<Front> = None;
    let mut done = Replayed::default();
    let lines: Vec<String> = BufReader::new(open).lines().collect::<Result<_, _>>().map_err(unread)?;
    for (no, text) in lines.iter().enumerate() {
        let line = no + 1;
        if let Ok(header) = serde_json::from_str::<Header>(text) {
            front = Some(begin(&header, keys.as_deref(), (path, line))?);
            done.fronts += 1;
            continue;
        }
        let step = match serde_json::from_str::<Step>(text) {
            Ok(step) => step,
            // A killed manager leaves half a line, and the next begins anew.
            Err(_) if lines.get(line).is_none_or(|it| it.starts_with("{\"begins\"")) => {
                done.torn += 1;
                continue;
            }
            Err(cause) => return Err(ReplayError::InvalidLine { file: file(), line, cause }),
        };
        let Some(front) = front.as_mut() else {
            return Err(ReplayError::MissingHeader { file: file(), line });
        };
        let mut wanted = Vec::new();
        step.told.apply(front, Ms(step.at), &mut EffectRecorder { lines: &mut wanted, effects: None });
        if wanted != step.wanted {
            let pair = wanted.iter().zip(&step.wanted).find(|it| it.0 != it.1);
            let (actual, recorded) = pair
                .map_or((wanted.len().to_string(), step.wanted.len().to_string()), |it| {
                    (it.0.clone(), it.1.clone())
                });
            return Err(ReplayError::Mismatch { file: file(), line, actual, recorded });
        }
        done.told += 1;
        done.wanted += wanted.len();
    }
    if done.told == 0 {
        return Err(ReplayError::Empty { file: file() });
    }
    Ok(done)
}

fn begin(header: &Header, keys: Option<&Path>, (path, line): (&Path, usize)) -> Result<Front, ReplayError> {
    let file = || path.to_path_buf();
    let manager = parse_manager(Path::new(&header.file), &header.settings)
        .map_err(|cause| ReplayError::Settings { file: file(), line, cause })?;
    let keys = keys.unwrap_or(&manager.keys);
    let wrong = |cause: String| ReplayError::Keys { file: file(), line, keys: keys.to_path_buf(), cause };
    let text = std::fs::read_to_string(keys).map_err(|it| wrong(it.to_string()))?;
    let keys = Keys::read(&text).map_err(|it| wrong(it.to_string()))?;
    Ok(Front::new(
        Ms(header.begins),
        header.seed,
        manager.terms.clone(),
        front_settings(&manager, keys),
        &mut DiscardOutput,
    ))
}
