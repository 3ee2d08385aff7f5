//! The notes that a server sends: how full its link is, on one of the sessions that stand there.

use super::Server;
use std::thread;
use std::time::Duration;

impl Server {
    /// From now on sends a note this often.
    pub fn send_notes(&self, every: Duration) {
        let server = self.clone();
        thread::spawn(move || loop {
            thread::sleep(every);
            let mut state = server.state();
            let Some((tag, set_up_on)) =
                state.playing.iter().next_back().map(|(tag, session)| (tag.clone(), session.connection))
            else {
                continue;
            };
            let is_open = state.connections.contains_key(&set_up_on);
            let other = state.connections.keys().next_back().copied();
            if let Some(connection) = is_open.then_some(set_up_on).or(other) {
                let line = format!(
                    "{{\"verb\":\"NOTICE\",\"tag\":\"{tag}\",\"opts\":{{\"note\":\"local\",\"value\":\"0.4\"}}}}\n"
                );
                server.send(&mut state, connection, &line);
            }
        });
    }
}
