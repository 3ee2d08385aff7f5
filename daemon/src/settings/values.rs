//! Values of an orders' file: names, parts, steps, zones. What can't be read is complained of.

use super::ini_file::Section;
use ottersail_rollout::{Name, Scope, Step};
use std::collections::BTreeMap;

pub(super) const NAMES: &str = "1 to 32 of a-z, A-Z, 0-9, ., _ and -";
/// What `Scope::Named` takes.
const MOST_NAMED: usize = 8;
const WHOLE: u16 = 1_000;

/// `5%` of so many; `None` if it is none, or finer than one of them.
pub(super) fn part(text: &str, of: u16) -> Option<u16> {
    let figure: f64 = text.strip_suffix('%')?.trim().parse().ok()?;
    let part = figure * f64::from(of) / 100.0;
    let whole = (0.0..=f64::from(u16::MAX)).contains(&part) && (part - part.round()).abs() < 1e-6;
    whole.then_some(part.round() as u16)
}

/// The part as it is written.
pub(super) fn percent(part: u16, of: u16) -> String {
    format!("{}%", f64::from(part) * 100.0 / f64::from(of))
}

/// That key as a part, or what it is where it is left out.
pub(super) fn part_or(it: &Section, key: &str, of: u16, absent: u16) -> u16 {
    let Some(text) = it.get(key) else { return absent };
    part(text, of).unwrap_or_else(|| {
        let least = percent(1, of);
        it.add_problem(key, format!("expected a part like 5%, in steps of {least}, read {text:?}"));
        absent
    })
}

pub(super) fn name(it: &Section, key: &str) -> Name {
    let text = it.text(key);
    Name::new(&text).unwrap_or_else(|| {
        // That it is missing has been told.
        if !text.is_empty() {
            it.add_problem(key, format!("expected {NAMES}, read {text:?}"));
        }
        Name::default()
    })
}

pub(super) fn listed(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|it| !it.is_empty())
}

/// Names set apart by commas, each once; in order, so that two files that name the same say the same.
pub(super) fn names(it: &Section, key: &str, text: &str) -> Vec<Name> {
    let named = |text: &str| {
        let name = Name::new(text);
        if name.is_none() {
            it.add_problem(key, format!("expected names of {NAMES}, read {text:?}"));
        }
        name
    };
    let mut all: Vec<Name> = listed(text).filter_map(named).collect();
    all.sort();
    if let Some(two) = all.windows(2).find(|it| it[0] == it[1]) {
        it.add_problem(key, format!("{} is there twice; take one out", two[0]));
    }
    all
}

pub(super) fn who(it: &Section) -> Scope {
    let text = it.text("who");
    let (kind, rest) = text.split_once(char::is_whitespace).unwrap_or((&text, ""));
    let who = match (kind, rest.trim()) {
        ("all", "") => Some(Scope::All),
        ("zone", zone) => Name::new(zone).map(Scope::Zone),
        ("part", text) => part(text, WHOLE).map(Scope::PerMille),
        ("name", text) if !text.is_empty() => {
            let names = names(it, "who", text);
            if names.len() > MOST_NAMED {
                let rule = format!("{} names; {MOST_NAMED} are the most, take some out", names.len());
                it.add_problem("who", rule);
            }
            Some(Scope::Named(names))
        }
        _ => None,
    };
    who.unwrap_or_else(|| {
        if !text.is_empty() {
            let rule = format!("expected all, zone NAME, name A, B or part 10%, read {text:?}");
            it.add_problem("who", rule);
        }
        Scope::All
    })
}

pub(super) fn steps(it: &Section) -> Vec<Step> {
    let text = it.text("steps");
    let step = |text: &str| {
        let step = match text {
            "one" => Some(Step::Count(1)),
            "all" => Some(Step::PerMille(WHOLE)),
            _ if text.ends_with('%') => part(text, WHOLE).map(Step::PerMille),
            _ => text.parse().ok().filter(|it| *it > 0).map(Step::Count),
        };
        if step.is_none() {
            it.add_problem("steps", format!("expected one, a number, a part like 5%, or all, read {text:?}"));
        }
        step
    };
    let all: Vec<Step> = listed(&text).filter_map(step).collect();
    let falls = |two: &[Step]| match (two[0], two[1]) {
        (Step::Count(a), Step::Count(b)) | (Step::PerMille(a), Step::PerMille(b)) => a >= b,
        _ => false,
    };
    if all.windows(2).any(falls) {
        it.add_problem("steps", format!("must grow from step to step, read {text:?}"));
    }
    all
}

/// `east 20 2`: a zone's name, how many belong to it, and the most of them out.
pub(super) fn zones(it: &Section) -> BTreeMap<Name, (u16, u16)> {
    let mut zones = BTreeMap::new();
    for text in listed(it.get("zones").unwrap_or("")) {
        let words: Vec<&str> = text.split_whitespace().collect();
        let zone = match words[..] {
            [name, has, most] => Name::new(name).zip(has.parse().ok().zip(most.parse().ok())),
            _ => None,
        };
        let Some((name, bounds)) = zone else {
            let rule = "expected zones like east 20 2 (name, how many belong to it, most out)";
            it.add_problem("zones", format!("{rule}, read {text:?}"));
            continue;
        };
        if zones.insert(name.clone(), bounds).is_some() {
            it.add_problem("zones", format!("{name} is there twice; take one out"));
        }
    }
    zones
}
