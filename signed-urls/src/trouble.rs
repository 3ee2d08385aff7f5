//! What is wrong with keys or with a ticket.

use crate::LEAST_BYTES;
use thiserror::Error;

/// What is wrong with a text of keys. The lines are those of the keys' file; a secret is never told.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeysError {
    #[error("line {line} of the keys: no name and secret; write `name secret`, with a space between them")]
    Form { line: usize },
    #[error("line {line} of the keys: the name {name:?} can't be one; use letters and digits alone")]
    Name { line: usize, name: String },
    #[error(
        "line {line} of the keys: the secret of {key} is not base64url; make one by `openssl rand \
             -base64 24 | tr /+ _-`"
    )]
    Secret { line: usize, key: String },
    #[error("line {line} of the keys: the secret of {key} has {bytes} bytes; use {LEAST_BYTES} or more")]
    Short { line: usize, key: String, bytes: usize },
    #[error("line {line} of the keys: {key} is there already; give one of the two another name")]
    Twice { line: usize, key: String },
    #[error("the keys' file holds {found} keys; write one or two lines, the one that signs first")]
    Count { found: usize },
}

/// Why a ticket does not count. Said to who sent it, so that neither key nor mac is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denial {
    #[error("the ticket is not of the form expiry.key.mac; use the address as the playlist has it")]
    Malformed,
    #[error(
        "the ticket's key is not in force; reload the playlist, and see that both sides have the same keys"
    )]
    UnknownKey,
    #[error("the ticket does not belong to this address; use the address as the playlist has it")]
    Forged,
    #[error("the ticket has expired; reload the playlist")]
    Expired,
}
