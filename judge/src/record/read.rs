use crate::record::event::{Event, Line};
use crate::record::terms::Terms;
use std::io::BufRead;

/// Reads a record.
///
/// # Errors
/// The number of the first line that can't be read, and why; or that it does not begin with its terms.
pub fn read(input: impl BufRead) -> Result<(Terms, Vec<Line>), String> {
    let mut lines = Vec::new();
    for (no, line) in input.lines().enumerate() {
        let line = line.map_err(|it| format!("line {}: {it}", no + 1))?;
        lines.push(serde_json::from_str::<Line>(&line).map_err(|it| format!("line {}: {it}", no + 1))?);
    }
    match lines.first().map(|it| it.event.clone()) {
        Some(Event::Begins { terms }) => {
            // Several clocks are read by several threads: lines may lie a moment apart from their order.
            lines.sort_by(|a, b| a.at.total_cmp(&b.at));
            Ok((terms, lines))
        }
        _ => Err("line 1: a record begins with the terms it is judged by".into()),
    }
}
