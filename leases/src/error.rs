//! Errors of encoded registers and messages.

/// An encoding or decoding error. Each message says what is wrong, where, and what an operator can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    #[error(
        "the register Slots({bucket}), {bytes} bytes, {what}: compare `slots` in this member's settings with the \
         register's Head, and this program's version with the other members'"
    )]
    Body { bucket: u8, bytes: usize, what: &'static str },
    #[error(
        "slots or demand of {bytes} bytes do not fit a register or a piggybacked payload, 600 and 64 bytes: \
         report this with the settings `slots` and `council`; until it is fixed the slot share does not change"
    )]
    TooLong { bytes: usize },
    #[error(
        "a member's demand, {bytes} bytes, can't be decoded: see in the list of members which version that \
         member runs, and bring it to this one's"
    )]
    Demand { bytes: usize },
}
