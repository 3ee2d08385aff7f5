//! Events of a release, for logs and metrics.

use crate::order::{Name, Serial};
use crate::refusal::Refusal;
use ottersail::time::Ms;
use ottersail_membership::MemberId;
use thiserror::Error;

/// Something that happened in the course of a release.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Event {
    /// A permit is proposed.
    #[error("{serial:?}: permit proposed for {member}, which is to return with version {version}")]
    PermitProposed { serial: Serial, member: MemberId, version: Name },
    /// A permit is removed, since its member has returned or will not leave.
    #[error("{serial:?}: permit of {member} returned")]
    PermitReturned { serial: Serial, member: MemberId },
    /// A permit has been held for too long; reported once for each permit.
    #[error(
        "{member} ({name}) has its permit for {}: the release waits for it; start it, or strike it in the \
         order under a greater serial", held_for.0 as u64
    )]
    PermitOverdue { member: MemberId, name: Name, held_for: Ms },
    /// A member returned with another version than ordered.
    #[error(
        "{member} returned with version {actual} instead of {expected}; check what its supervisor starts; \
         the release does not retry it"
    )]
    OtherVersion { member: MemberId, actual: Name, expected: Name },
    /// The release begins a step.
    #[error("{serial:?}: step {step} of {steps}")]
    Step { serial: Serial, step: usize, steps: usize },
    /// No member has to act under the order any more.
    #[error("{serial:?}: completed")]
    Ended { serial: Serial },
    /// The release is halted because the released version performs worse.
    #[error(
        "{serial:?}: halted by evidence: {reason}; check the released members, then order go or back under a \
         greater serial"
    )]
    HaltedByEvidence { serial: Serial, reason: String },
    /// No member can leave at the moment; reported when the reason changes.
    #[error("{0}")]
    Refused(Refusal),
    /// The council did not answer in time.
    #[error("the council did not answer a proposal; retrying")]
    ProposalUnanswered,
    /// A permit expired before it was used.
    #[error("a permit expired before it was used; it is returned")]
    PermitUnused,
    /// This member leaves.
    #[error("leaves, to return with version {version}")]
    Leaving { version: Name },
}
