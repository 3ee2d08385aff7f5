//! Chooses the core that sends the commands of each viewing and server.

use super::{PlacementOwner, MIN_ASSIGNMENTS_BEFORE_CLEANUP};
use ottersail_front::ids::ViewingId;
use ottersail_front::recording::FrontInput;
use ottersail_front::RequestId;
use ottersail_net::idle_time;

impl PlacementOwner {
    /// The core that saw an event, for the record.
    pub(super) fn core_of_event(&self, event: &FrontInput) -> usize {
        match event {
            FrontInput::TitleRequested { request: request_id, .. }
            | FrontInput::PlaylistRequested { request: request_id, .. }
            | FrontInput::RequestClosed { request: request_id } => request_id.0 as usize % self.cores.len(),
            FrontInput::SetUpEnded { viewing, .. }
            | FrontInput::RungChanged { viewing, .. }
            | FrontInput::EndConfirmed { viewing } => self.core_by_hash(viewing),
            FrontInput::NoteReceived { server, .. } | FrontInput::ServerLost { server } => {
                self.core_by_hash(server)
            }
            _ => 0,
        }
    }

    /// The core that handles a server (its notes and probes) or an event of a viewing, by a hash of the name.
    pub(super) fn core_by_hash(&self, name: &str) -> usize {
        let sum = name.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) % 65_521);
        sum as usize % self.cores.len()
    }

    /// The core that sends a viewing's commands; the first core if none was chosen.
    pub(super) fn core_of_viewing(&self, viewing: &ViewingId) -> usize {
        self.core_by_viewing.borrow().get(viewing).copied().unwrap_or(0)
    }

    /// Chooses the core that sends a viewing's commands, unless one is chosen already.
    pub(super) fn assign_core(&self, viewing: &ViewingId, request_id: Option<RequestId>) {
        let requesting_core = request_id.map_or(0, |request_id| request_id.0 as usize % self.cores.len());
        let mut load = self.load.borrow_mut();
        load.sample(self.clock.now(), idle_time().as_secs_f64() * 1e3);
        let core = load.core_for(requesting_core);
        self.core_by_viewing.borrow_mut().entry(viewing.clone()).or_insert(core);
    }

    /// Forgets the cores of viewings that have ended, once there are many entries.
    pub(super) fn clean_up_assignments(&self) {
        let mut assignments = self.core_by_viewing.borrow_mut();
        if assignments.len() >= self.cleanup_at.get() {
            let front = self.front.borrow();
            assignments.retain(|viewing, _| front.holds_viewing(viewing));
            self.cleanup_at.set((assignments.len() * 2).max(MIN_ASSIGNMENTS_BEFORE_CLEANUP));
        }
    }
}
