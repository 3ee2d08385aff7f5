//! What can be wrong with a settings file, and where.

use super::sections;
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Settings that can't be had.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: {why}; name a settings file that this user may read", file.display())]
    Unread { file: PathBuf, why: io::Error },
    #[error("{}: over {most} bytes; name an orders' file, or take out what is none of it", file.display())]
    Long { file: PathBuf, most: u64 },
    /// All that is wrong with the file, by line.
    #[error("{}", lines(complaints))]
    Wrong { complaints: Vec<Complaint> },
}

impl SettingsError {
    /// All complaints as one text, set apart.
    pub fn join(&self, between: &str) -> String {
        match self {
            SettingsError::Wrong { complaints } => {
                complaints.iter().map(Complaint::to_string).collect::<Vec<_>>().join(between)
            }
            SettingsError::Unread { .. } | SettingsError::Long { .. } => self.to_string(),
        }
    }
}

/// One line for each complaint.
impl From<SettingsError> for Vec<String> {
    fn from(it: SettingsError) -> Vec<String> {
        match it {
            SettingsError::Wrong { complaints } => complaints.iter().map(Complaint::to_string).collect(),
            SettingsError::Unread { .. } | SettingsError::Long { .. } => vec![it.to_string()],
        }
    }
}

fn lines(complaints: &[Complaint]) -> String {
    complaints.iter().map(Complaint::to_string).collect::<Vec<_>>().join("\n")
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Complaint {
    pub file: String,
    /// From 1; none where it is about the file as a whole.
    pub line: Option<usize>,
    pub wrong: Wrong,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.wrong),
            None => write!(f, "{}: {}", self.file, self.wrong),
        }
    }
}

/// What is wrong at a place of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Wrong {
    #[error("[{name}] is there already, at line {before}; write the keys of both under one heading")]
    SectionTwice { name: String, before: usize },
    #[error("{key} is there already, at line {before}; keep one of the two")]
    KeyTwice { key: String, before: usize },
    #[error("{key} stands before the first [section]; write it under the heading it belongs to")]
    Stray { key: String },
    #[error("{text:?} has no value; write key = value, or ; before a remark")]
    NoValue { text: String },
    #[error("{text:?} is no heading; write [name]")]
    NoHeading { text: String },
    #[error("[{name}] is missing; write that heading and its keys")]
    SectionMissing { name: String },
    #[error("[{section}] lacks {key}; expected {what}")]
    KeyMissing { section: String, key: String, what: String },
    #[error("[{name}] is not known here; {}", instead(near.as_ref().map(|it| format!("[{it}]")), name))]
    UnknownSection { name: String, near: Option<String> },
    #[error("{key} is not known in [{section}]; {}", instead(near.clone(), ""))]
    UnknownKey { section: String, key: String, near: Option<String> },
    #[error("{key}: expected {what}, read {value:?}")]
    Misread { section: String, key: String, what: String, value: String },
    /// A rule between keys, told by who reads them.
    #[error("{key}: {rule}")]
    Broken { section: String, key: String, rule: String },
    /// About no single key.
    #[error("{rule}")]
    Whole { rule: String },
}

fn instead(near: Option<String>, section: &str) -> String {
    let elsewhere = sections::files(section);
    match (elsewhere, near) {
        (Some(files), _) => format!("it belongs in {files}"),
        (None, Some(near)) => format!("did you mean {near}?"),
        (None, None) => "take it out, or write ; before it".into(),
    }
}

/// Of the names that are known the one that may have been meant: at most a third of its letters are other
/// ones.
pub(super) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let far = |it: &str| strsim::damerau_levenshtein(name, it);
    let near = |it: &&str| far(it) * 3 <= it.chars().count().max(name.chars().count());
    known.into_iter().filter(near).min_by_key(|it| far(it))
}
