//! Rule 5.

use crate::record::{Event, Line, Terms};
use crate::rules::runs::{Runs, SLACK};
use crate::rules::set_ups::SetUp;
use crate::verdict::Finding;
use std::collections::BTreeMap;

/// No viewing under its floor, and no more of a title than its package has seats for.
pub(super) fn seats(terms: &Terms, lines: &[Line], setups: &[SetUp], runs: &Runs) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    let mut package_of: BTreeMap<&str, &str> = BTreeMap::new();
    for it in setups {
        package_of.insert(it.vw, it.package);
        let floor = terms.packages.get(it.package).map_or(0, |it| it.floor);
        judged += 1;
        if it.rung < floor {
            broken.push(format!("viewing {} was set up at rung {}, under its floor {floor}", it.vw, it.rung));
        }
    }
    for line in lines {
        if let Event::Rung { vw, rung, .. } = &line.event {
            let terms = package_of.get(vw.as_str()).and_then(|it| terms.packages.get(*it));
            judged += 1;
            if terms.is_some_and(|it| *rung < it.floor) {
                broken.push(format!("viewing {vw} was stepped to rung {rung}, under its floor"));
            }
        }
    }
    type Held<'a> = BTreeMap<(usize, &'a str, &'a str), Vec<(f64, i32)>>;
    let mut held: Held = BTreeMap::new();
    for it in setups {
        if terms.packages.get(it.package).is_some_and(|it| it.seats > 0) {
            let killed = runs.died_at(it.manager).filter(|at| *at > it.at).fold(f64::INFINITY, f64::min);
            let until = it.until.min(killed) - SLACK;
            let spans = held.entry((it.manager, it.title, it.package)).or_default();
            if until > it.at {
                spans.push((it.at, 1));
                spans.push((until, -1));
            }
        }
    }
    for ((manager, title, package), mut spans) in held {
        spans.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let seats = terms.packages[package].seats as i32;
        let mut now = 0;
        for (_, change) in spans {
            now += change;
            if change > 0 && now > seats {
                broken.push(format!(
                    "manager {manager} held {now} viewings of {title} in {package}, with {seats} seats"
                ));
                break;
            }
        }
    }
    Finding { rule: 5, name: "floors and seats", judged, of: "rungs set", broken }
}
