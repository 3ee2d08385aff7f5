//! What can be wrong with what others wrote.

/// Each says what is wrong, where, and what an operator can try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    #[error(
        "the register Slots({bucket}), {bytes} bytes, {what}: compare `slots` in this member's settings with the \
         register's Head, and this program's version with the other members'"
    )]
    Body { bucket: u8, bytes: usize, what: &'static str },
    #[error(
        "slots or needs of {bytes} bytes do not fit what a register or a rider takes, 600 and 64 bytes: \
         report this with the settings `slots` and `council`; until it is mended the part is not changed"
    )]
    Written { bytes: usize },
    #[error(
        "a member's rider on what it needs, {bytes} bytes, cannot be read: see in the roster which version that \
         member runs, and bring it to this one's"
    )]
    Demand { bytes: usize },
}
