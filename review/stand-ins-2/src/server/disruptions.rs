//! What can befall a video server.

use super::Server;
use crate::sys;
use std::net::Shutdown;

impl Server {
    /// The process dies: its connections are reset and its sessions cut. Nothing listens until
    /// [`Server::replace`]. Returns the sessions that were cut.
    pub fn die(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        let (id, open) = (state.id.clone(), state.connections.len());
        state.closed = true;
        state.process += 1;
        for (_, stream) in std::mem::take(&mut state.connections) {
            sys::reset_on_close(&stream);
            _ = stream.shutdown(Shutdown::Read);
        }
        let cut: Vec<String> = std::mem::take(&mut state.standing).into_keys().collect();
        state.pending.clear();
        state.repeat.clear();
        self.record.line(&format!("server {id}: dies with {open} connections, cut: {cut:?}"));
        cut
    }

    /// Another process listens at the address from now on.
    pub fn replace(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.closed = false;
        state.id = id.to_string();
        self.record.line(&format!("server {id}: listens at {}", self.address));
    }

    /// Stands still, or goes on.
    pub fn set_hung(&self, hung: bool) {
        let mut state = self.state.lock().unwrap();
        state.hung = hung;
        self.record.line(&format!("server {}: hung: {hung}", state.id));
    }
}
