//! What the servers write down of their sessions.

use ottersail_invariants::platform::ServerEvent;
use std::sync::{Arc, Mutex, PoisonError};

/// All events of a fleet, in their order.
#[derive(Clone, Debug, Default)]
pub struct MediaLog(Arc<Mutex<Vec<ServerEvent>>>);

impl MediaLog {
    pub(crate) fn note(&self, event: ServerEvent) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    pub fn events(&self) -> Vec<ServerEvent> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
