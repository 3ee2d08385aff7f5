//! What happened, typed, for logs and figures.

use crate::order::{Name, Serial};
use crate::refusal::Refusal;
use ottersail::time::Ms;
use ottersail_membership::MemberId;
use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum Event {
    #[error("{serial:?}: permit proposed for {member}, to come back with {version}")]
    Permits { serial: Serial, member: MemberId, version: Name },
    #[error("{serial:?}: permit of {member} given back")]
    Returns { serial: Serial, member: MemberId },
    /// Told once for each permit.
    #[error(
        "{member} ({name}) has its permit for {}: the release waits for it; start it, or strike it in the \
         order under a greater serial", for_long.0 as u64
    )]
    Waits { member: MemberId, name: Name, for_long: Ms },
    #[error(
        "{member} came back with {has} and not with {wanted}; see what its supervisor starts; it is left"
    )]
    OtherVersion { member: MemberId, has: Name, wanted: Name },
    #[error("{serial:?}: step {step} of {of}")]
    Step { serial: Serial, step: usize, of: usize },
    #[error("{serial:?}: through")]
    Ended { serial: Serial },
    #[error("{serial:?}: halted by evidence: {why}; look at those released, then order go or back anew")]
    Evidence { serial: Serial, why: String },
    /// Nobody can go at the moment; told when the reason changes.
    #[error("{0}")]
    Refused(Refusal),
    #[error("the council did not answer a proposal; asked again")]
    Unanswered,
    #[error("a permit could not be used in time; it is given back")]
    Unused,
    #[error("goes out to come back with {version}")]
    Goes { version: Name },
}
