use crate::error::RecordError;
use crate::record::event::{Event, Line};
use crate::record::terms::Terms;
use std::io::BufRead;

/// Reads a record.
///
/// # Errors
/// The number of the first line that can't be read, and why; or that it does not begin with its terms.
pub fn read(input: impl BufRead) -> Result<(Terms, Vec<Line>), RecordError> {
    let mut lines = Vec::new();
    for (no, line) in input.lines().enumerate() {
        let no = no + 1;
        let line = line.map_err(|source| RecordError::Unreadable { line: no, source })?;
        let event = serde_json::from_str::<Line>(&line);
        lines.push(event.map_err(|source| RecordError::NoEvent { line: no, source })?);
    }
    match lines.first().map(|it| it.event.clone()) {
        Some(Event::Begins { terms }) => {
            // Several clocks are read by several threads: lines may lie a moment apart from their order.
            lines.sort_by(|a, b| a.at.total_cmp(&b.at));
            Ok((terms, lines))
        }
        _ => Err(RecordError::NoTerms),
    }
}
