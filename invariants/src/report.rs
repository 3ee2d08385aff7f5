//! A judged day as files: the figures as JSON, and one page with plots.

mod plots;
mod series;

use crate::error::ReportError;
use crate::record::{Line, Terms};
use crate::verdict::Verdict;
use plots::{bands, heat, herd};
use series::series;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Writes `figures.json` and `report.html` into a folder, which is made if need be.
///
/// # Errors
/// What could not be drawn or written.
pub fn write_report(
    folder: &Path,
    terms: &Terms,
    lines: &[Line],
    verdict: &Verdict,
) -> Result<(), ReportError> {
    let made = fs::create_dir_all(folder);
    made.map_err(|source| ReportError::Folder { folder: folder.to_path_buf(), source })?;
    let file = folder.join("figures.json");
    match serde_json::to_string_pretty(verdict) {
        Ok(figures) => write(&file, &figures)?,
        Err(source) => return Err(ReportError::Figures { file, source }),
    }
    let file = folder.join("report.html");
    let page = page(&file, terms, lines, verdict)?;
    write(&file, &page)
}

fn write(file: &Path, text: &str) -> Result<(), ReportError> {
    fs::write(file, text).map_err(|source| ReportError::Write { file: file.to_path_buf(), source })
}

fn page(file: &Path, terms: &Terms, lines: &[Line], verdict: &Verdict) -> Result<String, ReportError> {
    let table = verdict.table().replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    let mut text = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>A judged day</title>\n\
         <h1>A judged day</h1>\n<pre>{table}</pre>\n"
    );
    if let Some(series) = series(terms, lines) {
        for (plot, drawn) in [("bands", bands(&series)), ("heat", heat(&series)), ("herd", herd(&series))] {
            let drawn =
                drawn.map_err(|source| ReportError::Plot { file: file.to_path_buf(), plot, source })?;
            _ = writeln!(text, "{drawn}");
        }
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::judge;
    use crate::record::Event;
    use crate::standing::tests::set_up;

    #[test]
    fn figures_and_plots_are_written() {
        let mut lines = Vec::new();
        for server in ["a", "b"] {
            let (server, cold, places, cell, link_kb) = (server.to_string(), false, 9.0, 0, 100.0);
            lines.push(Line {
                at: 0.0,
                event: Event::ServerStarted { server, cold, places, cell, link_kb, rack: 0, uplink_kb: 0.0 },
            });
        }
        for number in 0..40 {
            let server = if number % 4 == 0 { "a" } else { "b" };
            lines.extend(set_up((server, &format!("v{number}"), "clips-1"), f64::from(number) * 100.0, 201));
        }
        let terms = Terms { rates_kb: vec![10.0], ..Terms::default() };
        let series = series(&terms, &lines).unwrap();
        assert_eq!(
            series.fill[0].last().unwrap().unwrap(),
            1.0,
            "ten viewings of ten on a link of a hundred"
        );
        assert_eq!(series.fill[1].last().unwrap().unwrap(), 2.9);
        let place = tempfile::tempdir().unwrap();
        // Not there yet: the report makes it.
        let folder = place.path().join("report");
        write_report(&folder, &terms, &lines, &judge(&terms, &lines)).unwrap();
        let figures: serde_json::Value =
            serde_json::from_slice(&fs::read(folder.join("figures.json")).unwrap()).unwrap();
        assert_eq!(figures["spread"]["servers"], 2);
        assert_eq!(fs::read_to_string(folder.join("report.html")).unwrap().matches("<svg").count(), 3);
    }
}
