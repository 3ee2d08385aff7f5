//! What can be wrong with a settings file, and where.

use super::sections;
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Settings that can't be had.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: {cause}; name a settings file that this user may read", file.display())]
    Unreadable { file: PathBuf, cause: io::Error },
    #[error("{}: over {max_bytes} bytes; name an orders' file, or take out what is none of it", file.display())]
    TooLong { file: PathBuf, max_bytes: u64 },
    /// All that is wrong with the file, by line.
    #[error("{}", lines(problems))]
    Invalid { problems: Vec<Problem> },
}

impl SettingsError {
    /// All problems as one text, set apart.
    pub fn join(&self, between: &str) -> String {
        match self {
            SettingsError::Invalid { problems } => {
                problems.iter().map(Problem::to_string).collect::<Vec<_>>().join(between)
            }
            SettingsError::Unreadable { .. } | SettingsError::TooLong { .. } => self.to_string(),
        }
    }
}

/// One line for each problem.
impl From<SettingsError> for Vec<String> {
    fn from(it: SettingsError) -> Vec<String> {
        match it {
            SettingsError::Invalid { problems } => problems.iter().map(Problem::to_string).collect(),
            SettingsError::Unreadable { .. } | SettingsError::TooLong { .. } => vec![it.to_string()],
        }
    }
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Problem {
    pub file: String,
    /// From 1; none where it is about the file as a whole.
    pub line: Option<usize>,
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.kind),
            None => write!(f, "{}: {}", self.file, self.kind),
        }
    }
}

/// What is wrong at a place of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProblemKind {
    #[error("[{name}] is there already, at line {first_line}; write the keys of both under one heading")]
    DuplicateSection { name: String, first_line: usize },
    #[error("{key} is there already, at line {first_line}; keep one of the two")]
    DuplicateKey { key: String, first_line: usize },
    #[error("{key} stands before the first [section]; write it under the heading it belongs to")]
    KeyOutsideSection { key: String },
    #[error("{text:?} has no value; write key = value, or ; before a remark")]
    MissingValue { text: String },
    #[error("{text:?} is no heading; write [name]")]
    MalformedHeading { text: String },
    #[error("[{name}] is missing; write that heading and its keys")]
    MissingSection { name: String },
    #[error("[{section}] lacks {key}; expected {expected}")]
    MissingKey { section: String, key: String, expected: String },
    #[error("[{name}] is not known here; {}", instead(suggestion.as_ref().map(|it| format!("[{it}]")), name))]
    UnknownSection { name: String, suggestion: Option<String> },
    #[error("{key} is not known in [{section}]; {}", instead(suggestion.clone(), ""))]
    UnknownKey { section: String, key: String, suggestion: Option<String> },
    #[error("{key}: expected {expected}, read {value:?}")]
    InvalidValue { section: String, key: String, expected: String, value: String },
    /// A rule between keys, told by who reads them.
    #[error("{key}: {message}")]
    RuleViolation { section: String, key: String, message: String },
    /// About no single key.
    #[error("{message}")]
    General { message: String },
}

fn instead(suggestion: Option<String>, section: &str) -> String {
    let elsewhere = sections::files(section);
    match (elsewhere, suggestion) {
        (Some(files), _) => format!("it belongs in {files}"),
        (None, Some(suggestion)) => format!("did you mean {suggestion}?"),
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
