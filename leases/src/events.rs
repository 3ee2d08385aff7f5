//! Events for metrics. Counters are kept outside the state machines, so that they are not part of their
//! state.

/// One event at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseEvent {
    /// A page of renewal requests was sent to a councillor; the bytes of the message.
    RenewalSent { bytes: usize },
    /// The register assigned a slot to this member; it counts once a majority has renewed it.
    Acquired,
    /// A slot was given back voluntarily.
    Released,
    /// A slot was found assigned to another member, or a majority refused its renewal.
    Lost,
    /// A proposal was sent to the council.
    Proposed,
    /// Another member changed the register in between.
    Conflict,
    /// A guard of the councillors rejected the change, or no majority answered.
    Refused,
    /// No answer to a proposal within half a lease.
    Unanswered,
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Pages of renewal requests that were sent, and their bytes.
    pub asked: u64,
    pub asked_bytes: u64,
    pub acquired: u64,
    pub released: u64,
    pub lost: u64,
    pub proposed: u64,
    pub conflicts: u64,
    pub refused: u64,
    pub unanswered: u64,
}

impl Counters {
    /// Counts an event.
    pub fn count(&mut self, event: LeaseEvent) {
        let counter = match event {
            LeaseEvent::RenewalSent { bytes } => {
                self.asked_bytes += bytes as u64;
                &mut self.asked
            }
            LeaseEvent::Acquired => &mut self.acquired,
            LeaseEvent::Released => &mut self.released,
            LeaseEvent::Lost => &mut self.lost,
            LeaseEvent::Proposed => &mut self.proposed,
            LeaseEvent::Conflict => &mut self.conflicts,
            LeaseEvent::Refused => &mut self.refused,
            LeaseEvent::Unanswered => &mut self.unanswered,
        };
        *counter += 1;
    }
}
