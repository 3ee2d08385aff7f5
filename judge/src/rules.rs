use crate::record::{Event, Line, Shapes, Standing, Terms};
use crate::spread::{spread, Spread};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// What happens at two ends of a connection lies this far apart at most, in milliseconds; no finding hangs on less.
const SLACK: f64 = 150.0;
/// Set-ups that chance may add to a cold server's budget.
const CHANCE: f64 = 1.0;

/// One rule, what it was judged on, and where it was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    pub rule: u8,
    pub name: &'static str,
    /// Cases that could have broken it.
    pub judged: usize,
    pub of: &'static str,
    pub broken: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub findings: Vec<Finding>,
    /// Requests asked, played, blocked, aborted, left; steps up and down.
    pub counts: BTreeMap<&'static str, usize>,
    /// Playlists that broke the format's rules.
    pub flaws: Vec<String>,
    /// Worth earned over worth offered, by those who played.
    pub value: Option<f64>,
    /// How evenly set-ups went over the servers.
    pub spread: Option<Spread>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.findings.iter().all(|it| it.broken.is_empty()) && self.flaws.is_empty()
    }

    /// The table that is printed.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (name, count) in &self.counts {
            _ = writeln!(text, "{name:<22} {count:>8}");
        }
        if let Some(value) = self.value {
            _ = writeln!(text, "{:<22} {:>8.3}", "value played", value);
        }
        if let Some(spread) = &self.spread {
            text += &spread.table();
        }
        _ = writeln!(text, "\nrule                          judged on                          broken");
        for it in &self.findings {
            let what = format!("{} {}", it.judged, it.of);
            _ = writeln!(text, "{} {:<27} {what:<34} {}", it.rule, it.name, it.broken.len());
        }
        for flaw in self.flaws.iter().take(10) {
            _ = writeln!(text, "  playlist: {flaw}");
        }
        for it in &self.findings {
            for broken in it.broken.iter().take(10) {
                _ = writeln!(text, "  rule {}: {broken}", it.rule);
            }
        }
        text
    }
}

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
    let (mut counts, mut value) = (BTreeMap::new(), (0.0, 0.0));
    let mut rungs: BTreeMap<&str, usize> = BTreeMap::new();
    for name in ["asked", "played", "blocked", "aborted", "left", "steps up", "steps down"] {
        counts.insert(name, 0);
    }
    let mut count = |name| *counts.entry(name).or_insert(0) += 1;
    let set_up: BTreeSet<u64> = setups.iter().map(|it| it.ask).collect();
    let mut reloads = BTreeSet::new();
    let sent: BTreeMap<u64, (usize, f64)> = lines
        .iter()
        .filter_map(|line| match &line.event {
            Event::Asked { ask, manager, .. } => Some((*ask, (*manager, line.at))),
            _ => None,
        })
        .collect();
    let unread = |ask: u64, until: f64| sent.get(&ask).is_some_and(|it| runs.partly_still(it.0, it.1, until));
    for line in lines {
        match &line.event {
            Event::Asked { first: true, .. } => count("asked"),
            Event::Asked { ask, .. } => {
                reloads.insert(*ask);
                count("reloads");
                if set_up.contains(ask) {
                    count("reloads set up anew");
                }
            }
            Event::Answered { ask, status } => {
                let reload = reloads.contains(ask);
                match status {
                    200 if reload => {}
                    200 => count("played"),
                    503 if reload => count("reloads blocked"),
                    503 => count("blocked"),
                    502 | 504 => count("aborted"),
                    _ => count("otherwise answered"),
                }
            }
            Event::Left { .. } => count("left"),
            Event::GaveUp { ask } | Event::Broke { ask } if unread(*ask, line.at) => {
                count("unread at a still core");
            }
            Event::Broke { .. } => count("connections broken"),
            Event::Fell { .. } => count("servers fallen"),
            Event::TicketDenied { .. } => count("tickets denied"),
            Event::Watched { offered, earned, .. } => value = (value.0 + earned, value.1 + offered),
            Event::SetUp { vw, rung, .. } => _ = rungs.insert(vw, *rung),
            Event::Rung { vw, rung, .. } => {
                let before = rungs.insert(vw, *rung).unwrap_or(*rung);
                if before != *rung {
                    count(if before < *rung { "steps up" } else { "steps down" });
                }
            }
            _ => {}
        }
    }
    let flaw = |line: &Line| match &line.event {
        Event::Flaw { ask, what } => Some(format!("request {ask}: {what}")),
        _ => None,
    };
    let flaws = lines.iter().filter_map(flaw).collect();
    let value = (value.1 > 0.0).then(|| value.0 / value.1);
    Verdict { findings, counts, flaws, value, spread }
}

/// What blocked shares may differ by, whatever their factor: of a small share little is said.
const SHARE_SLACK: f64 = 0.1;

/// Neither shape of manager starves the other: blocked share, and value played for each viewing asked.
fn starved(shapes: Shapes, lines: &[Line]) -> Finding {
    let mut shape_of: BTreeMap<u64, usize> = BTreeMap::new();
    // Asked, blocked, value.
    let mut sums = [[0.0f64; 3]; 2];
    for line in lines {
        match &line.event {
            Event::Asked { ask, manager, first, .. } => {
                let shape = usize::from(*manager >= shapes.new_from);
                shape_of.insert(*ask, shape);
                sums[shape][0] += f64::from(u8::from(*first));
            }
            Event::Answered { ask, status: 503 } => {
                shape_of.get(ask).into_iter().for_each(|it| sums[*it][1] += 1.0);
            }
            Event::Watched { ask, earned, .. } => {
                shape_of.get(ask).into_iter().for_each(|it| sums[*it][2] += earned);
            }
            _ => {}
        }
    }
    let each = |of: usize| sums.map(|it| it[of] / it[0].max(1.0));
    let (blocked, value) = (each(1), each(2));
    let (most, least) = (f64::max(blocked[0], blocked[1]), f64::min(blocked[0], blocked[1]));
    let mut broken = Vec::new();
    if most > least * shapes.factor + SHARE_SLACK {
        broken
            .push(format!("blocked share {:.3} in the old shape, {:.3} in the new", blocked[0], blocked[1]));
    }
    if f64::max(value[0], value[1]) > f64::min(value[0], value[1]) * shapes.factor {
        broken.push(format!(
            "value a viewing asked {:.2} in the old shape, {:.2} in the new",
            value[0], value[1]
        ));
    }
    let judged = (sums[0][0] + sums[1][0]) as usize;
    Finding { rule: 7, name: "neither shape starves", judged, of: "viewings of both shapes", broken }
}

/// When each manager did not run: killed until ready again, or stopped.
struct Runs {
    dead: BTreeMap<usize, Vec<(f64, f64)>>,
    /// From when it was told to end until another one is ready in its place.
    ending: BTreeMap<usize, Vec<(f64, f64)>>,
    stopped: BTreeMap<usize, Vec<(f64, f64)>>,
    /// When one of its cores stood still.
    partly: BTreeMap<usize, Vec<(f64, f64)>>,
}

impl Runs {
    fn of(lines: &[Line]) -> Runs {
        let mut runs = Runs {
            dead: BTreeMap::new(),
            ending: BTreeMap::new(),
            stopped: BTreeMap::new(),
            partly: BTreeMap::new(),
        };
        for line in lines {
            match &line.event {
                Event::ManagerKilled { manager } => {
                    runs.dead.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::ManagerTold { manager } => {
                    runs.ending.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::ManagerReady { manager } => {
                    for of in [&mut runs.dead, &mut runs.ending] {
                        if let Some(last) = of.get_mut(manager).and_then(|it| it.last_mut()) {
                            last.1 = last.1.min(line.at);
                        }
                    }
                }
                Event::ManagerStopped { manager } => {
                    runs.stopped.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::CoreStopped { manager } => {
                    runs.partly.entry(*manager).or_default().push((line.at, f64::INFINITY));
                }
                Event::CoreContinued { manager } => {
                    if let Some(last) = runs.partly.get_mut(manager).and_then(|it| it.last_mut()) {
                        last.1 = last.1.min(line.at);
                    }
                }
                Event::ManagerContinued { manager } => {
                    if let Some(last) = runs.stopped.get_mut(manager).and_then(|it| it.last_mut()) {
                        last.1 = last.1.min(line.at);
                    }
                }
                _ => {}
            }
        }
        runs
    }

    fn died_within(&self, manager: usize, from: f64, to: f64) -> bool {
        self.dead
            .get(&manager)
            .is_some_and(|it| it.iter().any(|it| it.0 <= to + SLACK && it.1 >= from - SLACK))
    }

    /// A request sent to a manager that was told to end before it came was taken by nobody; what came before that is
    /// owed its answer.
    fn came_at_the_end(&self, manager: usize, at: f64) -> bool {
        let ending = self.ending.get(&manager).into_iter().flatten();
        ending.into_iter().any(|it| it.0 <= at + SLACK && at <= it.1 + SLACK)
    }

    /// A request that lay unread on a connection of a core that stood still was not taken by anybody.
    fn partly_still(&self, manager: usize, from: f64, to: f64) -> bool {
        self.partly.get(&manager).is_some_and(|it| it.iter().any(|it| it.0 <= to && it.1 >= from))
    }

    fn died_at(&self, manager: usize) -> impl Iterator<Item = f64> + '_ {
        self.dead.get(&manager).into_iter().flatten().map(|it| it.0)
    }

    /// The moment by which a manager that is given so long from then on has had that much time to run.
    fn run_for(&self, manager: usize, from: f64, span: f64) -> f64 {
        let mut until = from + span;
        for (start, end) in self.stopped.get(&manager).into_iter().flatten() {
            if *start < until && *end > from {
                until += end - start.max(from);
            }
        }
        until
    }
}

/// Rule 1.
fn answers(lines: &[Line], runs: &Runs) -> Finding {
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
        // A manager that died later had its time to answer: it was excused once, and a missing answer went unseen.
        let until = runs.run_for(it.manager, it.at, it.patience);
        let nobody = runs.died_within(it.manager, it.at, until) || runs.came_at_the_end(it.manager, it.at);
        if !it.settled && end > until + SLACK && !nobody {
            broken.push(format!("request {ask} to manager {} was never settled", it.manager));
        }
    }
    Finding { rule: 1, name: "one answer, in time", judged: asks.len(), of: "requests", broken }
}

struct SetUp<'a> {
    at: f64,
    until: f64,
    manager: usize,
    ask: u64,
    vw: &'a str,
    no: usize,
    title: &'a str,
    package: &'a str,
    rung: usize,
    /// What the server answered, and when it or its manager was done with it.
    status: Option<u16>,
    out_until: f64,
}

/// Each set-up that a server received, with when it was out and when its viewing was over there.
fn set_ups(lines: &[Line]) -> Vec<SetUp<'_>> {
    let mut all: Vec<SetUp> = Vec::new();
    let mut open: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::SetUp { server, manager, ask, vw, no, title, package, rung } => {
                open.entry((server, vw)).or_default().push(all.len());
                all.push(SetUp {
                    at: line.at,
                    until: f64::INFINITY,
                    manager: *manager,
                    ask: *ask,
                    vw,
                    no: *no,
                    title,
                    package,
                    rung: *rung,
                    status: None,
                    out_until: f64::INFINITY,
                });
            }
            Event::SetUpAnswered { server, vw, no, status } => {
                for ix in open.get(&(server.as_str(), vw.as_str())).into_iter().flatten() {
                    let it = &mut all[*ix];
                    if it.no == *no {
                        it.status = Some(*status);
                        it.out_until = it.out_until.min(line.at);
                        if *status >= 400 {
                            it.until = it.until.min(line.at);
                        }
                    }
                }
            }
            Event::SetUpClosed { server, vw, no } => {
                for ix in open.get(&(server.as_str(), vw.as_str())).into_iter().flatten() {
                    let it = &mut all[*ix];
                    if it.no == *no {
                        it.out_until = it.out_until.min(line.at);
                        it.until = it.until.min(line.at);
                    }
                }
            }
            Event::Ended { server, vw } => {
                for ix in open.remove(&(server.as_str(), vw.as_str())).unwrap_or_default() {
                    all[ix].until = all[ix].until.min(line.at);
                    all[ix].out_until = all[ix].out_until.min(line.at);
                }
            }
            Event::ServerEnded { server } | Event::Fell { server } => {
                let there: Vec<_> = open.keys().filter(|it| it.0 == server).copied().collect();
                for key in there {
                    for ix in open.remove(&key).unwrap_or_default() {
                        all[ix].until = all[ix].until.min(line.at);
                        all[ix].out_until = all[ix].out_until.min(line.at);
                    }
                }
            }
            _ => {}
        }
    }
    all
}

/// Rule 2.
fn repeats(terms: &Terms, lines: &[Line], setups: &[SetUp]) -> Finding {
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

/// Rule 3.
fn drains(terms: &Terms, lines: &[Line], runs: &Runs) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    // Since when a server is not up, as far as the manager was told.
    let mut told: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Told { manager, server, standing } => {
                let key = (*manager, server.as_str());
                match standing {
                    Standing::Up => _ = told.remove(&key),
                    _ => _ = told.entry(key).or_insert(line.at),
                }
            }
            Event::ManagerKilled { manager } | Event::ManagerEnded { manager } => {
                told.retain(|it, _| it.0 != *manager)
            }
            Event::SetUp { manager, server, vw, .. } => {
                if let Some(since) = told.get(&(*manager, server.as_str())) {
                    judged += 1;
                    let until = runs.run_for(*manager, *since, terms.drain_grace);
                    if line.at > until + SLACK {
                        let late = line.at - since;
                        broken.push(format!(
                            "viewing {vw} was set up at {server} {late:.0} ms after manager {manager} was told"
                        ));
                    }
                }
            }
            _ => {}
        }
    }
    let of = if judged == 0 { "set-ups within the grace" } else { "set-ups after being told" };
    // All set-ups are judged; those after being told are the ones that could have been late.
    let all = lines.iter().filter(|it| matches!(it.event, Event::SetUp { .. })).count();
    Finding { rule: 3, name: "drains kept", judged: if judged == 0 { all } else { judged }, of, broken }
}

/// Rule 4.
fn cold(terms: &Terms, lines: &[Line]) -> Finding {
    let mut broken = Vec::new();
    let mut judged = 0;
    let mut started: BTreeMap<&str, (f64, f64, Vec<f64>)> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::ServerStarted { server, cold: true, places, .. } => {
                started.insert(server, (line.at, *places, Vec::new()));
            }
            Event::ServerEnded { server } => _ = started.remove(server.as_str()),
            Event::Fell { server } => broken.push(format!("{server} was pushed over")),
            Event::SetUp { server, .. } => {
                let Some((start, places, sent)) = started.get_mut(server.as_str()) else {
                    continue;
                };
                let age = line.at - *start;
                if age >= terms.cold || terms.cold <= 0.0 {
                    continue;
                }
                judged += 1;
                sent.push(line.at);
                sent.retain(|it| line.at - it < terms.fall);
                let warmth = terms.start_capacity + (1.0 - terms.start_capacity) * age / terms.cold;
                let most = terms.fall_multiple * *places / terms.cold * warmth * terms.fall + CHANCE;
                if sent.len() as f64 > most {
                    broken.push(format!(
                        "{server} got {} set-ups in {} ms while cold",
                        sent.len(),
                        terms.fall
                    ));
                }
            }
            _ => {}
        }
    }
    Finding { rule: 4, name: "cold servers not pushed over", judged, of: "set-ups at cold servers", broken }
}

/// Rule 5.
fn seats(terms: &Terms, lines: &[Line], setups: &[SetUp], runs: &Runs) -> Finding {
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

/// Rule 6.
fn budget(terms: &Terms, lines: &[Line]) -> Finding {
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

#[cfg(test)]
mod tests;
