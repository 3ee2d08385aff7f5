//! `ottersail judge`, and the last step of each rehearsal: judges the rules by the recorded traffic.

use crate::error::JudgeError;
use ottersail_invariants::{judge, record, write_report, Verdict};
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// Judges recorded traffic. If `report` names a folder, the figures are written there as JSON and as a page
/// with plots.
///
/// # Errors
/// If the traffic can't be read or the report can't be written. A broken rule is not an error; it is part of
/// the verdict.
pub fn judge_traffic(traffic: &Path, report: Option<&Path>) -> Result<Verdict, JudgeError> {
    let unreadable = |cause: String| JudgeError::Unreadable { traffic: traffic.to_path_buf(), cause };
    let file = File::open(traffic).map_err(|error| unreadable(error.to_string()))?;
    let (terms, lines) = record::read(BufReader::new(file)).map_err(|error| unreadable(error.to_string()))?;
    let verdict = judge(&terms, &lines);
    if let Some(folder) = report {
        write_report(folder, &terms, &lines, &verdict)
            .map_err(|error| JudgeError::Report { folder: folder.to_path_buf(), cause: error.to_string() })?;
    }
    Ok(verdict)
}
