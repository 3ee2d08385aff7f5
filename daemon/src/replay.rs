//! `ottersail replay`: passes the recorded events of a manager to a front with a fake clock, and compares what
//! the front asks for with what is recorded.

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

/// How the header line of a manager starts.
const HEADER_START: &str = "{\"begins\"";

/// The first line of a manager's record.
#[derive(Deserialize)]
struct Header {
    /// When the manager started, in milliseconds since 1970.
    #[serde(rename = "begins")]
    start_ms: f64,
    seed: u64,
    /// Path of the settings file.
    file: String,
    /// Text of the settings file.
    settings: String,
}

/// One event, and what the front asked for.
#[derive(Deserialize)]
struct RecordedEvent {
    /// Time of the event, in milliseconds since 1970.
    at: f64,
    #[serde(rename = "told")]
    event: FrontInput,
    #[serde(rename = "wanted")]
    orders: Vec<String>,
}

/// Counts of a successful replay.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Managers' fronts that were replayed.
    pub fronts: usize,
    /// Events that were passed to fronts.
    pub events: usize,
    /// Commands and replies that the fronts asked for.
    pub orders: usize,
    /// Lines that are incomplete because the manager was killed while it wrote them.
    pub torn_lines: usize,
}

impl fmt::Display for ReplaySummary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ReplaySummary { fronts, events, orders, torn_lines } = self;
        write!(f, "replayed {fronts} fronts with {events} events: all {orders} orders equal; ")?;
        write!(f, "{torn_lines} torn lines")
    }
}

/// Replays a record.
///
/// # Errors
/// If the record or the keys can't be read, or at the first event for which the front asks for something
/// else than recorded.
pub fn replay(path: &Path, keys: Option<PathBuf>) -> Result<ReplaySummary, ReplayError> {
    let file = || path.to_path_buf();
    let unreadable = |cause| ReplayError::Unreadable { file: file(), cause };
    let record = File::open(path).map_err(unreadable)?;
    let default_keys = PathBuf::from(format!("{}.keys", path.display()));
    let keys = keys.or_else(|| default_keys.exists().then_some(default_keys));
    let mut front: Option<Front> = None;
    let mut summary = ReplaySummary::default();
    let lines: Vec<String> = BufReader::new(record).lines().collect::<Result<_, _>>().map_err(unreadable)?;
    for (index, text) in lines.iter().enumerate() {
        let line = index + 1;
        if let Ok(header) = serde_json::from_str::<Header>(text) {
            front = Some(start_front(&header, keys.as_deref(), path, line)?);
            summary.fronts += 1;
            continue;
        }
        let recorded = match serde_json::from_str::<RecordedEvent>(text) {
            Ok(recorded) => recorded,
            // A killed manager leaves an incomplete line, and the next line, if any, is a new header.
            Err(_) if lines.get(line).is_none_or(|next| next.starts_with(HEADER_START)) => {
                summary.torn_lines += 1;
                continue;
            }
            Err(cause) => return Err(ReplayError::InvalidLine { file: file(), line, cause }),
        };
        let Some(front) = front.as_mut() else {
            return Err(ReplayError::MissingHeader { file: file(), line });
        };
        let mut orders = Vec::new();
        recorded.event.apply(
            front,
            Ms(recorded.at),
            &mut EffectRecorder { lines: &mut orders, effects: None },
        );
        if orders != recorded.orders {
            let (actual, recorded) = first_difference(&orders, &recorded.orders);
            return Err(ReplayError::Mismatch { file: file(), line, actual, recorded });
        }
        summary.events += 1;
        summary.orders += orders.len();
    }
    if summary.events == 0 {
        return Err(ReplayError::Empty { file: file() });
    }
    Ok(summary)
}

/// The first pair of orders that differ, or the numbers of orders if one list is the start of the other.
fn first_difference(actual: &[String], recorded: &[String]) -> (String, String) {
    let pair = actual.iter().zip(recorded).find(|(actual, recorded)| actual != recorded);
    pair.map_or((actual.len().to_string(), recorded.len().to_string()), |(actual, recorded)| {
        (actual.clone(), recorded.clone())
    })
}

fn start_front(header: &Header, keys: Option<&Path>, path: &Path, line: usize) -> Result<Front, ReplayError> {
    let file = || path.to_path_buf();
    let manager = parse_manager(Path::new(&header.file), &header.settings)
        .map_err(|cause| ReplayError::Settings { file: file(), line, cause })?;
    let keys = keys.unwrap_or(&manager.keys);
    let failed = |cause: String| ReplayError::Keys { file: file(), line, keys: keys.to_path_buf(), cause };
    let text = std::fs::read_to_string(keys).map_err(|error| failed(error.to_string()))?;
    let keys = Keys::read(&text).map_err(|error| failed(error.to_string()))?;
    Ok(Front::new(
        Ms(header.start_ms),
        header.seed,
        manager.terms.clone(),
        front_settings(&manager, keys),
        &mut DiscardOutput,
    ))
}
