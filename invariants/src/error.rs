//! What can go wrong around the judge, who himself only counts.

use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a record can't be judged. Its place is a line; the caller knows the file, which may be a pipe.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The input failed, or is no text.
    #[error(
        "line {line} of the record can't be read: {source}; check that the file is whole and is UTF-8 text"
    )]
    Unreadable { line: usize, source: io::Error },
    /// A line that is no JSON, or no event that is known.
    #[error(
        "line {line} of the record is no event: {source}; if it is the last line, the record was cut off: \
         take the line out, else play the day again with `ottersail rehearse DAY --traffic FILE`"
    )]
    NoEvent { line: usize, source: serde_json::Error },
    /// It is empty, or begins with something else than its terms.
    #[error(
        "line 1 of the record: key `event` is not `begins`, so the terms it is judged by are missing; \
         judge a file that `ottersail rehearse DAY --traffic FILE` wrote, from its first line on"
    )]
    NoTerms,
}

/// Why a judged day could not be written as files.
#[derive(Debug, Error)]
pub enum ReportError {
    #[error(
        "{}: the report's folder can't be made: {source}; name one that can be with --report",
        folder.display()
    )]
    Folder { folder: PathBuf, source: io::Error },
    #[error(
        "{}: can't be written: {source}; make room on its disk, or name another folder with --report",
        file.display()
    )]
    Write { file: PathBuf, source: io::Error },
    /// Figures that JSON has no form for.
    #[error(
        "{}: the figures are no JSON: {source}; judge the record without --report to see them",
        file.display()
    )]
    Figures { file: PathBuf, source: serde_json::Error },
    #[error(
        "{}: plot `{plot}` can't be drawn: {source}; judge the record without --report for its verdict",
        file.display()
    )]
    Plot { file: PathBuf, plot: &'static str, source: DrawingAreaErrorKind<io::Error> },
}

#[cfg(test)]
mod tests;
