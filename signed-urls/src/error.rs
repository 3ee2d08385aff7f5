//! Errors in a file of keys or in a ticket.

use crate::MIN_SECRET_BYTES;
use thiserror::Error;

/// Reason to reject a file of keys. Lines are counted from 1. No message contains a secret.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeysError {
    /// A line does not have the form `name secret`.
    #[error("line {line} of the keys: no name and secret; write `name secret`, with a space between them")]
    InvalidLine { line: usize },
    /// The name of a key is empty or has characters other than ASCII letters and digits.
    #[error("line {line} of the keys: the name {name:?} is not valid; use letters and digits only")]
    InvalidName { line: usize, name: String },
    /// The secret is not base64url.
    #[error(
        "line {line} of the keys: the secret of {key} is not base64url; generate one with `openssl rand \
             -base64 24 | tr /+ _-`"
    )]
    InvalidSecret { line: usize, key: String },
    /// The secret is too short.
    #[error(
        "line {line} of the keys: the secret of {key} has {bytes} bytes; use {MIN_SECRET_BYTES} or more"
    )]
    SecretTooShort { line: usize, key: String, bytes: usize },
    /// Two keys have the same name.
    #[error("line {line} of the keys: the name {key} is used already; give one of the two another name")]
    DuplicateName { line: usize, key: String },
    /// The file does not hold one or two keys.
    #[error("the keys' file holds {found} keys; write one or two lines, the signing key first")]
    InvalidCount { found: usize },
}

/// Reason to reject a ticket. The text goes to the client, so it contains neither a key nor a MAC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denial {
    /// The ticket can't be parsed.
    #[error("the ticket is not of the form expiry.key.mac; use the address as the playlist has it")]
    Malformed,
    /// The ticket was signed with a key that is not among the valid keys.
    #[error(
        "the ticket's key is not in force; reload the playlist, and check that both sides have the same keys"
    )]
    UnknownKey,
    /// The MAC does not match what was requested.
    #[error("the ticket does not belong to this address; use the address as the playlist has it")]
    Forged,
    /// The ticket's expiry time has passed.
    #[error("the ticket has expired; reload the playlist")]
    Expired,
}
