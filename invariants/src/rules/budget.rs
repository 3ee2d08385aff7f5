//! Rule 6.

use crate::record::{Event, Line, Terms};
use crate::rules::runs::SLACK;
use crate::verdict::Finding;
use std::collections::{BTreeMap, BTreeSet};

/// Further tune-ins stay within a manager's budget.
pub(super) fn budget(terms: &Terms, lines: &[Line]) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    if let Some((free, ratio, span)) = terms.budget {
        let mut taken: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut further: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut reloads = BTreeSet::new();
        for line in lines {
            match &line.event {
                Event::Asked { manager, first: true, .. } => taken.entry(*manager).or_default().push(line.at),
                Event::ManagerKilled { manager } | Event::ManagerEnded { manager } => {
                    // It counts from its start.
                    taken.remove(manager);
                    further.remove(manager);
                }
                Event::Asked { ask, first: false, .. } => _ = reloads.insert(*ask),
                // A reload that is set up was taken as the viewer's coming again.
                Event::SetUp { manager, no: 0, ask, .. } if reloads.remove(ask) => {
                    taken.entry(*manager).or_default().push(line.at);
                }
                Event::SetUp { manager, no, .. } if *no > 0 => {
                    judged += 1;
                    let further = further.entry(*manager).or_default();
                    further.push(line.at);
                    further.retain(|at| line.at - at <= span - SLACK);
                    let taken = taken.entry(*manager).or_default();
                    taken.retain(|at| line.at - at <= span + SLACK);
                    if further.len() as f64 > free + ratio * taken.len() as f64 {
                        let (sent, of) = (further.len(), taken.len());
                        broken.push(format!(
                            "manager {manager} sent {sent} further tune-ins for {of} viewings taken"
                        ));
                    }
                }
                _ => {}
            }
        }
    }
    Finding { rule: 6, name: "tune-ins within budget", judged, of: "further tune-ins", broken }
}
