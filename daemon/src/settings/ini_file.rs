//! An INI file with the line of each thing in it, and the problems about it, all told in one go.
//!
//! Read over `ini_core` and not through a reader for serde: `serde_ini` ends at the first mistake and tells
//! no line, `rust-ini` and `configparser` keep no lines of keys, and the latter merges what is there twice.

#[cfg(test)]
mod tests;
mod values;

use super::error::{nearest, Problem, ProblemKind, SettingsError};
use super::sections::NAMED;
use ini_core::{Item, Parser};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

#[derive(Clone, Debug)]
struct Slot {
    line: usize,
    value: String,
}

#[derive(Debug)]
struct Part {
    name: String,
    line: usize,
    keys: BTreeMap<String, Slot>,
    /// Keys that were asked for, there or not: those that are known.
    asked: RefCell<BTreeSet<String>>,
    used: RefCell<bool>,
}

/// A settings file as it was read.
#[derive(Debug)]
pub struct IniFile {
    file: String,
    parts: Vec<Part>,
    /// Headings that were asked for, there or not: those that are known.
    asked: RefCell<BTreeSet<String>>,
    problems: RefCell<Vec<(usize, ProblemKind)>>,
}

/// One part of a ini, by its heading.
pub struct Section<'a> {
    ini: &'a IniFile,
    part: Option<&'a Part>,
    name: &'a str,
}

impl IniFile {
    pub fn read(file: &str, text: &str) -> IniFile {
        let mut parts: Vec<Part> = Vec::new();
        let mut problems = Vec::new();
        let mut line = 0;
        for item in Parser::new(text) {
            line += usize::from(!matches!(item, Item::SectionEnd));
            match item {
                Item::Section(name) => {
                    let name = name.trim().to_string();
                    if let Some(part) = parts.iter().find(|it| it.name == name) {
                        let (name, first_line) = (name.clone(), part.line);
                        problems.push((line, ProblemKind::DuplicateSection { name, first_line }));
                    }
                    let (keys, asked, used) = Default::default();
                    parts.push(Part { name, line, keys, asked, used });
                }
                Item::Property(key, Some(value)) => {
                    let (key, value) = (key.trim().to_string(), value.trim().to_string());
                    let before = match parts.last_mut() {
                        Some(part) => part.keys.insert(key.clone(), Slot { line, value }),
                        None => {
                            problems.push((line, ProblemKind::KeyOutsideSection { key }));
                            continue;
                        }
                    };
                    if let Some(Slot { line: first_line, .. }) = before {
                        problems.push((line, ProblemKind::DuplicateKey { key, first_line }));
                    }
                }
                Item::Property(key, None) if !key.trim().is_empty() => {
                    problems.push((line, ProblemKind::MissingValue { text: key.to_string() }));
                }
                Item::Error(text) => {
                    problems.push((line, ProblemKind::MalformedHeading { text: text.to_string() }))
                }
                _ => {}
            }
        }
        IniFile { file: file.to_string(), parts, asked: RefCell::default(), problems: RefCell::new(problems) }
    }

    /// A section that must be there; that it is missing is told once, by the first key that is asked for.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        let part = self.parts.iter().find(|it| it.name == name);
        self.asked.borrow_mut().insert(name.to_string());
        match part {
            Some(part) => *part.used.borrow_mut() = true,
            None => self.wrong(0, ProblemKind::MissingSection { name: name.to_string() }),
        }
        Section { ini: self, part, name }
    }

    /// A section that may be left out.
    pub fn optional_section<'a>(&'a self, name: &'a str) -> Option<Section<'a>> {
        self.asked.borrow_mut().insert(name.to_string());
        self.parts.iter().any(|it| it.name == name).then(|| self.section(name))
    }

    /// The sections with that first word, and what comes after it.
    pub fn sections<'a>(&'a self, kind: &'a str) -> Vec<(&'a str, Section<'a>)> {
        self.asked.borrow_mut().insert(format!("{kind}{NAMED}"));
        let named = |part: &'a Part| {
            let (first, rest) = part.name.split_once(' ')?;
            (first == kind).then(|| {
                *part.used.borrow_mut() = true;
                (rest.trim(), Section { ini: self, part: Some(part), name: &part.name })
            })
        };
        self.parts.iter().filter_map(named).collect()
    }

    /// Something is wrong that is about no single key; line 0 is the file as a whole.
    pub fn add_problem(&self, line: usize, message: String) {
        self.wrong(line, ProblemKind::General { message });
    }

    /// How many problems there are by now, those about what nobody asked for not counted.
    pub fn told(&self) -> usize {
        self.problems.borrow().len()
    }

    fn wrong(&self, line: usize, wrong: ProblemKind) {
        self.problems.borrow_mut().push((line, wrong));
    }

    /// Headings that were asked for, those of several with NAME.
    pub fn asked(&self) -> BTreeSet<String> {
        self.asked.borrow().clone()
    }

    /// Everything that is wrong, by line, what nobody asked for included, as text; empty if all is well.
    pub fn problems(&self) -> Vec<String> {
        self.judged().iter().map(Problem::to_string).collect()
    }

    /// # Errors
    /// Everything that is wrong, by line, what nobody asked for included.
    pub fn end(&self) -> Result<(), SettingsError> {
        let problems = self.judged();
        if problems.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Invalid { problems })
    }

    fn judged(&self) -> Vec<Problem> {
        let mut all = self.problems.borrow().clone();
        let known = self.asked.borrow();
        for part in &self.parts {
            if !*part.used.borrow() {
                // One that is there twice is told as that, and not as unknown too.
                if known.contains(&part.name) {
                    continue;
                }
                let suggestion = near_heading(&part.name, &known);
                all.push((part.line, ProblemKind::UnknownSection { name: part.name.clone(), suggestion }));
                continue;
            }
            let asked = part.asked.borrow();
            for (key, slot) in part.keys.iter().filter(|it| !asked.contains(it.0)) {
                let suggestion = nearest(key, asked.iter().map(String::as_str)).map(str::to_string);
                let (section, key) = (part.name.clone(), key.clone());
                all.push((slot.line, ProblemKind::UnknownKey { section, key, suggestion }));
            }
        }
        all.sort_by_cached_key(|(line, wrong)| (*line, wrong.to_string()));
        all.dedup();
        let told = |(line, wrong)| Problem {
            file: self.file.clone(),
            line: Some(line).filter(|it| *it > 0),
            kind: wrong,
        };
        all.into_iter().map(told).collect()
    }
}

/// The heading that may have been meant, with the name that was given.
fn near_heading(heading: &str, known: &BTreeSet<String>) -> Option<String> {
    let (kind, name) = heading.split_once(' ').unwrap_or((heading, "NAME"));
    let kinds = known.iter().filter_map(|it| it.strip_suffix(NAMED));
    let single = known.iter().filter(|it| !it.ends_with(NAMED)).map(String::as_str);
    let single = nearest(heading, single).map(str::to_string);
    single.or_else(|| nearest(kind, kinds).map(|it| format!("{it} {name}")))
}

impl<'a> Section<'a> {
    pub fn line(&self, key: &str) -> usize {
        let slot = self.part.and_then(|it| it.keys.get(key));
        slot.map(|it| it.line).or(self.part.map(|it| it.line)).unwrap_or(0)
    }

    /// The line of its heading.
    pub fn heading(&self) -> usize {
        self.part.map_or(0, |it| it.line)
    }

    /// Something is wrong with a key's value.
    pub fn add_problem(&self, key: &str, message: impl Display) {
        let (section, message) = (self.name.to_string(), message.to_string());
        self.ini.wrong(self.line(key), ProblemKind::RuleViolation { section, key: key.to_string(), message });
    }

    pub fn get(&self, key: &str) -> Option<&'a str> {
        let part = self.part?;
        part.asked.borrow_mut().insert(key.to_string());
        part.keys.get(key).map(|it| it.value.as_str())
    }

    /// All that it holds; each counts as asked for.
    pub fn all(&self) -> Vec<(&'a str, &'a str)> {
        let keys = self.part.into_iter().flat_map(|it| &it.keys);
        keys.filter_map(|(key, _)| Some((key.as_str(), self.get(key)?))).collect()
    }
}
