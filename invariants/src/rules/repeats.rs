//! Rule 2.

use crate::record::{Event, Line, Terms};
use crate::rules::runs::SLACK;
use crate::rules::set_ups::SetUp;
use crate::verdict::Finding;
use std::collections::BTreeMap;

/// No viewing is set up at two servers at once, and none again that may have run and may not repeat.
pub(super) fn repeats(terms: &Terms, lines: &[Line], setups: &[SetUp]) -> Finding {
    let mut broken = Vec::new();
    let mut by_viewing: BTreeMap<&str, Vec<&SetUp>> = BTreeMap::new();
    for it in setups {
        by_viewing.entry(it.vw).or_default().push(it);
    }
    let safe = |package: &str| terms.packages.get(package).is_none_or(|it| it.may_repeat);
    // A server that turned it away proves that it never ran; a server that never saw it does too.
    let may_have_run = |it: &SetUp| it.status != Some(503);
    for (vw, all) in &by_viewing {
        for pair in all.windows(2) {
            // What was called off while on its way may get there a moment after the next.
            let swapped = pair[0].no > pair[1].no && pair[1].at <= pair[0].at + SLACK;
            let (first, next) = if swapped { (pair[1], pair[0]) } else { (pair[0], pair[1]) };
            if first.out_until > next.at + SLACK {
                broken.push(format!("viewing {vw}: tune-ins {} and {} were out at once", first.no, next.no));
            }
            if first.no >= next.no {
                broken.push(format!("viewing {vw}: tune-in {} came after {}", next.no, first.no));
            }
        }
        for (ix, it) in all.iter().enumerate() {
            if !safe(it.package) && all[..ix].iter().any(|it| may_have_run(it)) {
                broken.push(format!(
                    "viewing {vw} of {}: sent again, an earlier tune-in may have run",
                    it.package
                ));
            }
        }
    }
    let mut ran: BTreeMap<u64, &SetUp> = BTreeMap::new();
    for it in setups.iter().filter(|it| !safe(it.package) && may_have_run(it)) {
        ran.insert(it.ask, it);
    }
    for line in lines {
        if let Event::Answered { ask, status: 503 } = &line.event {
            if let Some(it) = ran.get(ask).filter(|it| it.at < line.at) {
                broken.push(format!(
                    "viewing {} of {}: blocked, but a tune-in may have run",
                    it.vw, it.package
                ));
            }
        }
    }
    Finding { rule: 2, name: "no set-up twice", judged: by_viewing.len(), of: "viewings set up", broken }
}
