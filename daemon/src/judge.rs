//! `ottersail judge`, and the end of each rehearsal: what the record of the sockets says of the rules.

use crate::error::JudgeError;
use ottersail_invariants::{judge, record, write_report, Verdict};
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// Judges a record of the sockets; with a folder the figures are written there, as JSON and as a page with
/// plots.
///
/// # Errors
/// If the record can't be read or the report not be written; a broken rule is no error but a verdict.
pub fn judge_traffic(traffic: &Path, report: Option<&Path>) -> Result<Verdict, JudgeError> {
    let unread = |cause: String| JudgeError::Unreadable { traffic: traffic.to_path_buf(), cause };
    let file = File::open(traffic).map_err(|it| unread(it.to_string()))?;
    let (terms, lines) = record::read(BufReader::new(file)).map_err(|it| unread(it.to_string()))?;
    let verdict = judge(&terms, &lines);
    if let Some(folder) = report {
        write_report(folder, &terms, &lines, &verdict)
            .map_err(|it| JudgeError::Report { folder: folder.to_path_buf(), cause: it.to_string() })?;
    }
    Ok(verdict)
}
