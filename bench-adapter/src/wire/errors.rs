//! What ends the conversation. Each text says what is wrong, in which line, and what an operator can try.

use ottersail_platform::errors::LoadReportError;
use std::io;
use thiserror::Error;

/// Nothing after it is read: where the sender and this program have parted ways, more would be guessed.
#[derive(Debug, Error)]
#[error("line {line}: {what}")]
pub struct WireError {
    /// Of the input, from 1.
    pub line: u64,
    #[source]
    pub what: Flaw,
}

#[derive(Debug, Error)]
pub enum Flaw {
    #[error(
        "read '{read}', expected {expected}; send it so, or run the version that speaks as the sender does"
    )]
    Wanted { read: String, expected: &'static str },
    #[error("read '{read}', expected a settings object ({source}); send the object whole and in one line")]
    Settings { read: String, source: serde_json::Error },
    #[error(transparent)]
    Load(#[from] LoadReportError),
    #[error(
        "the line could not be read: {0}; send UTF-8, and leave standard input open up to the last FLUSH"
    )]
    Input(#[source] io::Error),
    #[error("the reply could not be written: {0}; leave standard output open, and read on until FINISHED")]
    Output(#[source] io::Error),
}

#[cfg(test)]
mod tests;
