//! What a coordinator and a permit holder request from their environment.

use crate::events::Event;
use crate::order::Order;
use crate::permits::PermitTable;
use crate::status::MemberStatus;

/// Outputs of the state machines. The caller carries them out.
pub trait Effects {
    /// Changes the permits' register if it is at that revision (0 for an empty register). The answer goes to
    /// [`crate::Coordinator::on_answer`].
    fn propose(&mut self, if_revision: u64, permits: &PermitTable);
    /// Changes the order's register if it is at that revision. There is no answer; it is requested again until the
    /// order is in force.
    fn halt(&mut self, if_revision: u64, order: &Order);
    /// Sends the status to every councillor, including this member if it is one.
    fn send_status(&mut self, status: &MemberStatus);
    /// Reports an event for logs and metrics.
    fn report(&mut self, event: Event);
}

/// The outcome of an own proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is chosen, at that revision.
    Chosen { revision: u64 },
    /// Another value was chosen first; this is the current one.
    Superseded { revision: u64, permits: PermitTable },
    /// Refused by guards, without a majority or unanswered; it may still be chosen later.
    Unknown,
}
