//! Errors that end the session. Each message says what is wrong, in which line, and what an operator can try.

use ottersail_platform::errors::LoadReportError;
use std::io;
use thiserror::Error;

/// An error of the input or the output. Reading stops there, because sender and receiver no longer agree on
/// the protocol's state.
#[derive(Debug, Error)]
#[error("line {line}: {kind}")]
pub struct WireError {
    /// Line number in the input, from 1.
    pub line: u64,
    #[source]
    pub kind: ErrorKind,
}

/// What is wrong.
#[derive(Debug, Error)]
pub enum ErrorKind {
    #[error(
        "read '{read}', expected {expected}; send that, or run the version that speaks the sender's protocol"
    )]
    Unexpected { read: String, expected: &'static str },
    #[error("read '{read}', expected a settings object ({source}); send a complete object on one line")]
    Settings { read: String, source: serde_json::Error },
    #[error(transparent)]
    Load(#[from] LoadReportError),
    #[error(
        "the line could not be read: {0}; send UTF-8, and keep standard input open until the last FLUSH"
    )]
    Input(#[source] io::Error),
    #[error("the reply could not be written: {0}; keep standard output open and read it until FINISHED")]
    Output(#[source] io::Error),
}

#[cfg(test)]
mod tests;
