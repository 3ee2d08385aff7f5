//! Values of an orders' file: names, percentages, steps and zones. Invalid values are added to the problems.

use super::ini_file::Section;
use ottersail_rollout::{Name, Scope, Step};
use std::collections::BTreeMap;

/// Describes a valid name, for messages.
pub(super) const NAME_DESCRIPTION: &str = "1 to 32 of a-z, A-Z, 0-9, ., _ and -";
/// Most names that `Scope::Named` may have.
const MAX_NAMED: usize = 8;
/// All of a fleet, in thousandths.
const WHOLE_PER_MILLE: u16 = 1_000;

/// Parses a percentage such as `5%` as a number of `scale` parts (50 of 1000). `None` if the text is no
/// percentage or the result is not a whole number.
pub(super) fn parse_percent(text: &str, scale: u16) -> Option<u16> {
    let figure: f64 = text.strip_suffix('%')?.trim().parse().ok()?;
    let part = figure * f64::from(scale) / 100.0;
    let is_valid = (0.0..=f64::from(u16::MAX)).contains(&part) && (part - part.round()).abs() < 1e-6;
    is_valid.then_some(part.round() as u16)
}

/// Formats `part` of `scale` parts as a percentage.
pub(super) fn format_percent(part: u16, scale: u16) -> String {
    format!("{}%", f64::from(part) * 100.0 / f64::from(scale))
}

/// The percentage of a key as a number of `scale` parts, or `default` if the key is missing.
pub(super) fn percent_or(section: &Section, key: &str, scale: u16, default: u16) -> u16 {
    let Some(text) = section.get(key) else { return default };
    parse_percent(text, scale).unwrap_or_else(|| {
        let least = format_percent(1, scale);
        section.add_problem(key, format!("expected a part like 5%, in steps of {least}, read {text:?}"));
        default
    })
}

/// A required name.
pub(super) fn name(section: &Section, key: &str) -> Name {
    let text = section.text(key);
    Name::new(&text).unwrap_or_else(|| {
        // `text` has reported a missing name already.
        if !text.is_empty() {
            section.add_problem(key, format!("expected {NAME_DESCRIPTION}, read {text:?}"));
        }
        Name::default()
    })
}

/// The items of a list that is separated by commas.
pub(super) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|item| !item.is_empty())
}

/// Names separated by commas, without duplicates. They are sorted, so that the order in the file does not
/// matter.
pub(super) fn names(section: &Section, key: &str, text: &str) -> Vec<Name> {
    let parse_name = |text: &str| {
        let name = Name::new(text);
        if name.is_none() {
            section.add_problem(key, format!("expected names of {NAME_DESCRIPTION}, read {text:?}"));
        }
        name
    };
    let mut all: Vec<Name> = list_items(text).filter_map(parse_name).collect();
    all.sort();
    if let Some(pair) = all.windows(2).find(|pair| pair[0] == pair[1]) {
        section.add_problem(key, format!("{} is there twice; take one out", pair[0]));
    }
    all
}

/// The scope of an order.
pub(super) fn scope(section: &Section) -> Scope {
    let text = section.text("who");
    let (kind, rest) = text.split_once(char::is_whitespace).unwrap_or((&text, ""));
    let scope = match (kind, rest.trim()) {
        ("all", "") => Some(Scope::All),
        ("zone", zone) => Name::new(zone).map(Scope::Zone),
        ("part", text) => parse_percent(text, WHOLE_PER_MILLE).map(Scope::PerMille),
        ("name", text) if !text.is_empty() => {
            let names = names(section, "who", text);
            if names.len() > MAX_NAMED {
                let message = format!("{} names; {MAX_NAMED} are the most, take some out", names.len());
                section.add_problem("who", message);
            }
            Some(Scope::Named(names))
        }
        _ => None,
    };
    scope.unwrap_or_else(|| {
        if !text.is_empty() {
            let message = format!("expected all, zone NAME, name A, B or part 10%, read {text:?}");
            section.add_problem("who", message);
        }
        Scope::All
    })
}

/// The steps of an order, which must grow.
pub(super) fn steps(section: &Section) -> Vec<Step> {
    let text = section.text("steps");
    let step = |text: &str| {
        let step = match text {
            "one" => Some(Step::Count(1)),
            "all" => Some(Step::PerMille(WHOLE_PER_MILLE)),
            _ if text.ends_with('%') => parse_percent(text, WHOLE_PER_MILLE).map(Step::PerMille),
            _ => text.parse().ok().filter(|count| *count > 0).map(Step::Count),
        };
        if step.is_none() {
            section.add_problem(
                "steps",
                format!("expected one, a number, a part like 5%, or all, read {text:?}"),
            );
        }
        step
    };
    let all: Vec<Step> = list_items(&text).filter_map(step).collect();
    let does_not_grow = |pair: &[Step]| match (pair[0], pair[1]) {
        (Step::Count(earlier), Step::Count(later)) | (Step::PerMille(earlier), Step::PerMille(later)) => {
            earlier >= later
        }
        _ => false,
    };
    if all.windows(2).any(does_not_grow) {
        section.add_problem("steps", format!("must grow from step to step, read {text:?}"));
    }
    all
}

/// The zones' bounds by name: how many belong to a zone, and how many of them may be out at once. A zone is written
/// as `east 20 2`.
pub(super) fn zones(section: &Section) -> BTreeMap<Name, (u16, u16)> {
    let mut zones = BTreeMap::new();
    for text in list_items(section.get("zones").unwrap_or("")) {
        let words: Vec<&str> = text.split_whitespace().collect();
        let zone = match words[..] {
            [name, members, max_out] => Name::new(name).zip(members.parse().ok().zip(max_out.parse().ok())),
            _ => None,
        };
        let Some((name, bounds)) = zone else {
            let message = "expected zones like east 20 2 (name, how many belong to it, most out)";
            section.add_problem("zones", format!("{message}, read {text:?}"));
            continue;
        };
        if zones.insert(name.clone(), bounds).is_some() {
            section.add_problem("zones", format!("{name} is there twice; take one out"));
        }
    }
    zones
}
