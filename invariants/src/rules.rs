//! The rules, each on its own, and the verdict that their findings make.

mod answers;
mod budget;
mod counts;
mod members;
mod repeats;
mod runs;
mod seats;
mod servers;
mod set_ups;
mod shapes;

use crate::record::{Event, Line, Terms};
use crate::spread::spread;
use crate::verdict::{Finding, Verdict};
use answers::answers;
use budget::budget;
use counts::counts;
use members::members;
use repeats::repeats;
use runs::Runs;
use seats::seats;
use servers::{cold, drains};
use set_ups::set_ups;
use shapes::starved;

/// Judges a record.
pub fn judge(terms: &Terms, lines: &[Line]) -> Verdict {
    let runs = Runs::of(lines);
    let setups = set_ups(lines);
    let mut findings = vec![
        answers(lines, &runs),
        repeats(terms, lines, &setups),
        drains(terms, lines, &runs),
        cold(terms, lines),
        seats(terms, lines, &setups, &runs),
        budget(terms, lines),
    ];
    findings.extend(terms.shapes.map(|it| starved(it, lines)));
    let spread = spread(terms, lines);
    if let (Some(even), Some(spread)) = (terms.even, &spread) {
        let (judged, broken) = (setups.len(), spread.misses(even));
        findings.push(Finding { rule: 8, name: "even over the servers", judged, of: "set-ups", broken });
    }
    findings.extend(members(lines));
    let (counts, value) = counts(lines, &runs, &setups);
    let flaw = |line: &Line| match &line.event {
        Event::Flaw { ask, what } => Some(format!("request {ask}: {what}")),
        _ => None,
    };
    let flaws = lines.iter().filter_map(flaw).collect();
    Verdict { findings, counts, flaws, value, spread }
}

#[cfg(test)]
mod tests;
