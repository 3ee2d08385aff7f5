//! What can befall a video server.

use super::messages::write;
use super::Server;
use crate::sys;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

impl Server {
    /// The process dies: its connections are reset and its sessions cut. Nothing listens until
    /// [`Server::replace`]. Returns the sessions that were cut.
    pub fn die(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        let now = self.record.now();
        let (id, open) = (state.id.clone(), state.connections.len());
        state.closed = true;
        state.process += 1;
        for (_, stream) in std::mem::take(&mut state.connections) {
            sys::reset_on_close(&stream);
            _ = stream.shutdown(Shutdown::Read);
        }
        let cut: Vec<String> = std::mem::take(&mut state.standing).into_keys().collect();
        for session in &cut {
            state.spans.entry(session.clone()).and_modify(|span| span.1 = Some(now));
        }
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

    /// Resets or closes all connections; the process and its sessions live on.
    pub fn drop_connections(&self, reset: bool) {
        let mut state = self.state.lock().unwrap();
        for (_, stream) in std::mem::take(&mut state.connections) {
            if reset {
                sys::reset_on_close(&stream);
                _ = stream.shutdown(Shutdown::Read);
            } else {
                _ = stream.shutdown(Shutdown::Both);
            }
        }
        state.pending.clear();
        self.record.line(&format!("server {}: drops its connections, reset: {reset}", state.id));
    }

    pub fn is_hung(&self) -> bool {
        self.state.lock().unwrap().hung
    }

    /// Stands still, or goes on.
    pub fn set_hung(&self, hung: bool) {
        let mut state = self.state.lock().unwrap();
        state.hung = hung;
        self.record.line(&format!("server {}: hung: {hung}", state.id));
    }

    pub(super) fn is_cut_off(&self) -> bool {
        self.state.lock().unwrap().cut_off
    }

    /// Is cut off: open connections stay open and quiet, new ones do not come up. Or is within reach again, and what
    /// was written meanwhile arrives.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.state.lock().unwrap().cut_off = cut_off;
        if cut_off {
            // The queue of the listener is full from now on.
            crate::sleep_ms(60);
            for _ in 0..3 {
                let filler = TcpStream::connect_timeout(&self.address, Duration::from_millis(20));
                self.state.lock().unwrap().fillers.extend(filler);
            }
        }
        let mut state = self.state.lock().unwrap();
        if !cut_off {
            state.fillers.clear();
            for (number, line) in std::mem::take(&mut state.held) {
                write(&mut state, number, &line);
            }
        }
        self.record.line(&format!("server {}: cut off: {cut_off}", state.id));
    }
}
