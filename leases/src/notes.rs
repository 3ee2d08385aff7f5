//! What happened, for metrics. Counters are kept outside of the machines, so that they are no part of a state.

/// One thing that happened, with how many slots or messages where that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseEvent {
    /// A page of renewals went out to a councillor, so many bytes.
    RenewalSent { bytes: usize },
    /// A slot was taken up from the register; it counts once a majority has renewed it.
    Acquired,
    /// A slot was given back by own will.
    Released,
    /// A slot was found given to another, or a majority refused its renewal.
    Lost,
    /// A proposal was sent to the council.
    Proposed,
    /// Another changed the register in between.
    Conflict,
    /// A councillor's guard, or the lack of a majority, kept the change out.
    Refused,
    /// No answer to a proposal within half a lease.
    Unanswered,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
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
    pub fn count(&mut self, note: LeaseEvent) {
        let counter = match note {
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
