//! Why a councillor refuses a value for a register, and what an operator can do.

use crate::order::{Name, Serial};
use ottersail_membership::MemberId;
use thiserror::Error;

/// The reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The councillor knows no order.
    #[error(
        "this councillor knows no order; if one was given just now, nothing has to be done, otherwise check which \
         members it sees"
    )]
    NoOrder,
    /// The permits were granted under another revision of the order.
    #[error(
        "the permit is granted under revision {named} of the order, this councillor accepted revision {accepted}; \
         it is proposed again automatically"
    )]
    OtherOrder { named: u64, accepted: u64 },
    /// The order is halted.
    #[error("{serial:?} is halted; order go or back under a greater serial")]
    Halted { serial: Serial },
    /// Too many members of the fleet would be out.
    #[error(
        "{ready} of {fleet} members would be ready, at most {max_out} may be out: wait for those not seen ready, \
         start them, or raise most-out under a greater serial"
    )]
    FleetBound { ready: usize, fleet: usize, max_out: usize },
    /// Too many members of a zone would be out.
    #[error(
        "zone {zone}: {ready} of {members} members would be ready, at most {max_out} may be out: wait for those \
         not seen ready, start them, or raise the zone's most-out under a greater serial"
    )]
    ZoneBound { zone: Name, ready: usize, members: usize, max_out: usize },
    /// The order bounds zones, but not the zone of this member.
    #[error("the zone of {member} is not among the zones of the order; list all zones or none")]
    UnknownZone { member: MemberId },
    /// Another councillor is out.
    #[error("{member} is a councillor, and the councillor {other} is out already; start that one first")]
    OtherCouncillorOut { member: MemberId, other: MemberId },
    /// The permit cannot be removed yet.
    #[error(
        "{member} has not returned: no other life of it was seen ready for the settling time, and it has not \
         reported that it will not leave; start it, or strike it under a greater serial"
    )]
    NotReturned { member: MemberId },
    /// The permit leads to another version than the order.
    #[error("{member} would return with version {actual}, ordered is {expected}; report this")]
    WrongVersion { member: MemberId, actual: Name, expected: Name },
    /// The order's serial is not greater than that of the order in force.
    #[error(
        "serial {given} is not greater than {current}, which is in force; raise it in the file to replace that order"
    )]
    StaleSerial { given: u64, current: u64 },
}
