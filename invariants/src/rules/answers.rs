//! Rule 1.

use crate::record::{Event, Line};
use crate::rules::runs::{Runs, SLACK};
use crate::verdict::Finding;
use std::collections::BTreeMap;

/// Each request is answered once, before its viewer's patience ends.
pub(super) fn answers(lines: &[Line], runs: &Runs) -> Finding {
    struct Ask {
        at: f64,
        manager: usize,
        patience: f64,
        answers: usize,
        settled: bool,
    }
    let mut asks: BTreeMap<u64, Ask> = BTreeMap::new();
    let mut broken = Vec::new();
    let end = lines.last().map_or(0.0, |it| it.at);
    for line in lines {
        match &line.event {
            Event::Asked { ask, manager, patience, .. } => {
                let it =
                    Ask { at: line.at, manager: *manager, patience: *patience, answers: 0, settled: false };
                if asks.insert(*ask, it).is_some() {
                    broken.push(format!("request {ask} was recorded twice"));
                }
            }
            Event::Answered { ask, .. } => {
                let Some(it) = asks.get_mut(ask) else {
                    broken.push(format!("request {ask}, which nobody sent, was answered"));
                    continue;
                };
                it.answers += 1;
                let late = line.at > runs.run_for(it.manager, it.at, it.patience) + SLACK;
                if it.answers > 1 {
                    broken.push(format!("request {ask} was answered {} times", it.answers));
                } else if late && !it.settled {
                    broken.push(format!(
                        "request {ask} was answered {:.0} ms after it was sent",
                        line.at - it.at
                    ));
                }
                it.settled = true;
            }
            Event::Left { ask } => {
                if let Some(it) = asks.get_mut(ask) {
                    it.settled = true;
                }
            }
            Event::GaveUp { ask } | Event::Broke { ask } => {
                let Some(it) = asks.get_mut(ask).filter(|it| !it.settled) else {
                    continue;
                };
                it.settled = true;
                let excused = runs.died_within(it.manager, it.at, line.at)
                    || runs.came_at_the_end(it.manager, it.at)
                    || runs.partly_still(it.manager, it.at, line.at)
                    || runs.run_for(it.manager, it.at, it.patience) > it.at + it.patience + SLACK;
                if !excused {
                    let how = if matches!(line.event, Event::Broke { .. }) {
                        "was cut off"
                    } else {
                        "got no answer"
                    };
                    broken.push(format!("request {ask} to manager {} {how}", it.manager));
                }
            }
            _ => {}
        }
    }
    for (ask, it) in &asks {
        // A manager that died later had its time to answer: it was excused once, and a missing answer went
        // unseen.
        let until = runs.run_for(it.manager, it.at, it.patience);
        let nobody = runs.died_within(it.manager, it.at, until) || runs.came_at_the_end(it.manager, it.at);
        if !it.settled && end > until + SLACK && !nobody {
            broken.push(format!("request {ask} to manager {} was never settled", it.manager));
        }
    }
    Finding { rule: 1, name: "one answer, in time", judged: asks.len(), of: "requests", broken }
}
