//! An INI file with the line of each section and key. Problems are collected, so that all of them can be
//! reported at once.
//!
//! It is parsed with `ini_core` and not with a serde reader, because `serde_ini` stops at the first mistake
//! and gives no line, `rust-ini` and `configparser` keep no lines of keys, and `configparser` merges
//! duplicates.

#[cfg(test)]
mod tests;
mod values;

use super::error::{nearest, Problem, ProblemKind, SettingsError};
use super::sections::NAME_SUFFIX;
use ini_core::{Item, Parser};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

#[derive(Clone, Debug)]
struct KeyValue {
    line: usize,
    value: String,
}

#[derive(Debug)]
struct SectionData {
    name: String,
    line: usize,
    keys: BTreeMap<String, KeyValue>,
    /// All keys that were looked up, present or not. These are the known keys.
    looked_up: RefCell<BTreeSet<String>>,
    /// Whether the section was looked up.
    used: Cell<bool>,
}

/// A parsed settings file.
#[derive(Debug)]
pub struct IniFile {
    file: String,
    sections: Vec<SectionData>,
    /// All headings that were looked up, present or not. These are the known headings.
    looked_up: RefCell<BTreeSet<String>>,
    /// Problems found so far, with their lines; line 0 stands for the file as a whole.
    problems: RefCell<Vec<(usize, ProblemKind)>>,
}

/// A section of an INI file.
pub struct Section<'a> {
    ini: &'a IniFile,
    /// `None` if the section is missing.
    data: Option<&'a SectionData>,
    name: &'a str,
}

impl IniFile {
    /// Parses `text`. `file` is the path that problems are reported with.
    pub fn read(file: &str, text: &str) -> IniFile {
        let mut sections: Vec<SectionData> = Vec::new();
        let mut problems = Vec::new();
        let mut line = 0;
        for item in Parser::new(text) {
            line += usize::from(!matches!(item, Item::SectionEnd));
            match item {
                Item::Section(name) => {
                    let name = name.trim().to_string();
                    if let Some(first) = sections.iter().find(|section| section.name == name) {
                        let (name, first_line) = (name.clone(), first.line);
                        problems.push((line, ProblemKind::DuplicateSection { name, first_line }));
                    }
                    let (keys, looked_up, used) = Default::default();
                    sections.push(SectionData { name, line, keys, looked_up, used });
                }
                Item::Property(key, Some(value)) => {
                    let (key, value) = (key.trim().to_string(), value.trim().to_string());
                    let replaced = match sections.last_mut() {
                        Some(section) => section.keys.insert(key.clone(), KeyValue { line, value }),
                        None => {
                            problems.push((line, ProblemKind::KeyOutsideSection { key }));
                            continue;
                        }
                    };
                    if let Some(KeyValue { line: first_line, .. }) = replaced {
                        problems.push((line, ProblemKind::DuplicateKey { key, first_line }));
                    }
                }
                Item::Property(key, None) if !key.trim().is_empty() => {
                    problems.push((line, ProblemKind::MissingValue { text: key.to_string() }));
                }
                Item::Error(text) => {
                    problems.push((line, ProblemKind::MalformedHeading { text: text.to_string() }));
                }
                _ => {}
            }
        }
        IniFile {
            file: file.to_string(),
            sections,
            looked_up: RefCell::default(),
            problems: RefCell::new(problems),
        }
    }

    /// A required section. If it is missing, that is one problem; missing keys of it are not reported too.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        let data = self.sections.iter().find(|section| section.name == name);
        self.looked_up.borrow_mut().insert(name.to_string());
        match data {
            Some(data) => data.used.set(true),
            None => self.push_problem(0, ProblemKind::MissingSection { name: name.to_string() }),
        }
        Section { ini: self, data, name }
    }

    /// An optional section.
    pub fn optional_section<'a>(&'a self, name: &'a str) -> Option<Section<'a>> {
        self.looked_up.borrow_mut().insert(name.to_string());
        self.sections.iter().any(|section| section.name == name).then(|| self.section(name))
    }

    /// The sections whose heading is `kind` followed by a name, with their names.
    pub fn sections<'a>(&'a self, kind: &'a str) -> Vec<(&'a str, Section<'a>)> {
        self.looked_up.borrow_mut().insert(format!("{kind}{NAME_SUFFIX}"));
        let named = |data: &'a SectionData| {
            let (first_word, rest) = data.name.split_once(' ')?;
            (first_word == kind).then(|| {
                data.used.set(true);
                (rest.trim(), Section { ini: self, data: Some(data), name: &data.name })
            })
        };
        self.sections.iter().filter_map(named).collect()
    }

    /// Adds a problem that is not about a single key. Line 0 stands for the file as a whole.
    pub fn add_problem(&self, line: usize, message: String) {
        self.push_problem(line, ProblemKind::General { message });
    }

    /// The number of problems so far, without those about unknown sections and keys.
    pub fn problem_count(&self) -> usize {
        self.problems.borrow().len()
    }

    fn push_problem(&self, line: usize, kind: ProblemKind) {
        self.problems.borrow_mut().push((line, kind));
    }

    /// The headings that were looked up; for sections with names, the first word followed by ` NAME`.
    pub fn known_headings(&self) -> BTreeSet<String> {
        self.looked_up.borrow().clone()
    }

    /// All problems as texts, ordered by line, including unknown sections and keys.
    pub fn problems(&self) -> Vec<String> {
        self.all_problems().iter().map(Problem::to_string).collect()
    }

    /// Finishes reading.
    ///
    /// # Errors
    /// All problems, ordered by line, including unknown sections and keys.
    pub fn finish(&self) -> Result<(), SettingsError> {
        let problems = self.all_problems();
        if problems.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Invalid { problems })
    }

    fn all_problems(&self) -> Vec<Problem> {
        let mut all = self.problems.borrow().clone();
        let known = self.looked_up.borrow();
        for section in &self.sections {
            if !section.used.get() {
                // A duplicate of a known section is reported as a duplicate only.
                if known.contains(&section.name) {
                    continue;
                }
                let suggestion = nearest_heading(&section.name, &known);
                let name = section.name.clone();
                all.push((section.line, ProblemKind::UnknownSection { name, suggestion }));
                continue;
            }
            let known_keys = section.looked_up.borrow();
            for (key, entry) in section.keys.iter().filter(|(key, _)| !known_keys.contains(*key)) {
                let suggestion = nearest(key, known_keys.iter().map(String::as_str)).map(str::to_string);
                let (section, key) = (section.name.clone(), key.clone());
                all.push((entry.line, ProblemKind::UnknownKey { section, key, suggestion }));
            }
        }
        all.sort_by_cached_key(|(line, kind)| (*line, kind.to_string()));
        all.dedup();
        let problem = |(line, kind)| Problem {
            file: self.file.clone(),
            line: Some(line).filter(|line| *line > 0),
            kind,
        };
        all.into_iter().map(problem).collect()
    }
}

/// The known heading that is closest to `heading`, with the same name if it is a heading with a name.
fn nearest_heading(heading: &str, known: &BTreeSet<String>) -> Option<String> {
    let (kind, name) = heading.split_once(' ').unwrap_or((heading, "NAME"));
    let kinds = known.iter().filter_map(|known| known.strip_suffix(NAME_SUFFIX));
    let single = known.iter().filter(|known| !known.ends_with(NAME_SUFFIX)).map(String::as_str);
    let single = nearest(heading, single).map(str::to_string);
    single.or_else(|| nearest(kind, kinds).map(|kind| format!("{kind} {name}")))
}

impl<'a> Section<'a> {
    /// The line of a key, or of the heading if the key is missing, or 0 if the section is missing.
    pub fn line(&self, key: &str) -> usize {
        let entry = self.data.and_then(|data| data.keys.get(key));
        entry.map(|entry| entry.line).or(self.data.map(|data| data.line)).unwrap_or(0)
    }

    /// The line of the heading.
    pub fn heading_line(&self) -> usize {
        self.data.map_or(0, |data| data.line)
    }

    /// Adds a problem with a key's value.
    pub fn add_problem(&self, key: &str, message: impl Display) {
        let (section, message) = (self.name.to_string(), message.to_string());
        let kind = ProblemKind::RuleViolation { section, key: key.to_string(), message };
        self.ini.push_problem(self.line(key), kind);
    }

    /// The value of a key, if the key is there.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let data = self.data?;
        data.looked_up.borrow_mut().insert(key.to_string());
        data.keys.get(key).map(|entry| entry.value.as_str())
    }

    /// All keys with their values. All of them count as known.
    pub fn all(&self) -> Vec<(&'a str, &'a str)> {
        let keys = self.data.into_iter().flat_map(|data| &data.keys);
        keys.filter_map(|(key, _)| Some((key.as_str(), self.get(key)?))).collect()
    }
}
