//! Errors in settings files, with the file and the line of each.

use super::sections;
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Settings that can't be read or are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be opened or read, is not a regular file, or is not valid UTF-8.
    #[error("{}: {cause}; name a settings file that this user may read", file.display())]
    Unreadable { file: PathBuf, cause: io::Error },
    /// An orders' file is longer than the limit.
    #[error("{}: over {max_bytes} bytes; name an orders' file, or take out what does not belong in it", file.display())]
    TooLong { file: PathBuf, max_bytes: u64 },
    /// All problems of the file, ordered by line.
    #[error("{}", join_lines(problems))]
    Invalid { problems: Vec<Problem> },
}

impl SettingsError {
    /// All problems as one text, joined by `separator`.
    pub fn join(&self, separator: &str) -> String {
        match self {
            SettingsError::Invalid { problems } => {
                problems.iter().map(Problem::to_string).collect::<Vec<_>>().join(separator)
            }
            SettingsError::Unreadable { .. } | SettingsError::TooLong { .. } => self.to_string(),
        }
    }
}

/// One text for each problem.
impl From<SettingsError> for Vec<String> {
    fn from(error: SettingsError) -> Vec<String> {
        match error {
            SettingsError::Invalid { problems } => problems.iter().map(Problem::to_string).collect(),
            SettingsError::Unreadable { .. } | SettingsError::TooLong { .. } => vec![error.to_string()],
        }
    }
}

fn join_lines(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")
}

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Problem {
    /// Path of the settings file.
    pub file: String,
    /// The line, counted from 1; `None` if the problem is about the file as a whole.
    pub line: Option<usize>,
    /// What is wrong.
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

/// What is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProblemKind {
    /// Two sections have the same heading.
    #[error("[{name}] is there already, at line {first_line}; write the keys of both under one heading")]
    DuplicateSection { name: String, first_line: usize },
    /// A section has the same key twice.
    #[error("{key} is there already, at line {first_line}; keep one of the two")]
    DuplicateKey { key: String, first_line: usize },
    /// A key precedes the first heading.
    #[error("{key} stands before the first [section]; write it under the heading it belongs to")]
    KeyOutsideSection { key: String },
    /// A line is neither a heading, a comment nor a `key = value` pair.
    #[error("{text:?} has no value; write key = value, or ; before a comment")]
    MissingValue { text: String },
    /// A line starts like a heading, but its bracket is not closed.
    #[error("{text:?} is no heading; write [name]")]
    MalformedHeading { text: String },
    /// A required section is missing.
    #[error("[{name}] is missing; write that heading and its keys")]
    MissingSection { name: String },
    /// A required key is missing or has an empty value.
    #[error("[{section}] lacks {key}; expected {expected}")]
    MissingKey { section: String, key: String, expected: String },
    /// No section of this heading exists in this kind of file.
    #[error("[{name}] is not known here; {}", remedy(suggestion.as_ref().map(|near| format!("[{near}]")), name))]
    UnknownSection { name: String, suggestion: Option<String> },
    /// The section has no such key.
    #[error("{key} is not known in [{section}]; {}", remedy(suggestion.clone(), ""))]
    UnknownKey { section: String, key: String, suggestion: Option<String> },
    /// The value can't be parsed or is out of range.
    #[error("{key}: expected {expected}, read {value:?}")]
    InvalidValue { section: String, key: String, expected: String, value: String },
    /// A rule about a key's value, or between keys, that is not met.
    #[error("{key}: {message}")]
    RuleViolation { section: String, key: String, message: String },
    /// A problem that is not about a single key.
    #[error("{message}")]
    General { message: String },
}

/// The advice for an unknown section or key: the kind of file it belongs in, a similar name, or to remove it.
fn remedy(suggestion: Option<String>, section: &str) -> String {
    let other_files = sections::files_of(section);
    match (other_files, suggestion) {
        (Some(files), _) => format!("it belongs in {files}"),
        (None, Some(suggestion)) => format!("did you mean {suggestion}?"),
        (None, None) => "take it out, or write ; before it".into(),
    }
}

/// The known name that is closest to `name`, if at most a third of its letters differ.
pub(super) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |candidate: &str| strsim::damerau_levenshtein(name, candidate);
    let is_close =
        |candidate: &&str| distance(candidate) * 3 <= candidate.chars().count().max(name.chars().count());
    known.into_iter().filter(is_close).min_by_key(|candidate| distance(candidate))
}
