//! The rate at which a cold server gets set-ups, and how long a server is avoided after a failure.

use super::*;

impl Placement {
    /// Rule 4: limits this manager's set-ups at a cold server to its part of what the server can take in any
    /// window. At a server that is known to be cold each earlier slot share limits them as well: other
    /// managers may still go by those, or may count slots that this manager has forgotten.
    pub(super) fn pace_allows(&self, server: &Server) -> bool {
        let (cold, known_cold) = (&self.config.cold, self.now < server.cold_until);
        let known_warm = server.failures == 0 && self.now >= self.starts_unknown_until && !known_cold;
        if cold.warm_up <= Ms(0.0) || known_warm {
            return true;
        }
        let places = self.config.places_by_kind.get(&server.entry.kind).copied().unwrap_or(0.0);
        // With several packages the set-ups of one may weigh more than the mean.
        let weight = if self.config.packages.len() > 1 { 1.5 } else { 1.0 };
        let set_ups_per_ms = places / cold.warm_up.0 * cold.start_capacity * cold.fall_multiple / weight;
        let window_limit = (set_ups_per_ms * cold.fall_window.0).floor();
        let earlier = self
            .earlier_slots
            .iter()
            .filter(|(until, _)| known_cold && self.now < *until)
            .map(|(_, slots)| slots);
        earlier.chain([&self.slots]).all(|slots| self.slots_allow(server, window_limit, slots))
    }

    /// Whether the slots allow another set-up when all managers together may send `window_limit` in a window.
    /// If that is less than one for each slot, slots take turns of one window each; as many share a turn as
    /// half the limit allows, since any window overlaps two turns.
    fn slots_allow(&self, server: &Server, window_limit: f64, slots: &SlotSet) -> bool {
        let window = self.config.cold.send_window();
        let sent_since = |start: Ms| server.set_ups_sent.iter().filter(|at| **at > start).count() as f64;
        let per_slot = (window_limit / slots.total).floor();
        if per_slot >= 1.0 {
            return sent_since(self.now - window) < per_slot * slots.mine.len() as f64;
        }
        let turn_length = window * if window_limit >= 2.0 { 1.0 } else { 2.0 };
        let turn = (self.now / turn_length).floor();
        let in_first_window = window_limit >= 2.0 || self.now - turn_length * turn < window;
        let slots_per_turn = (window_limit / 2.0).floor().max(1.0);
        let server_offset = name_hash(&server.entry.server.to_string());
        let group_in_turn = (turn + server_offset as f64).rem_euclid((slots.total / slots_per_turn).ceil());
        let has_turn = |slot: &&u64| group_in_turn == (**slot as f64 / slots_per_turn).floor();
        let allowed = slots.mine.iter().filter(has_turn).count() as f64;
        in_first_window && sent_since(turn_length * turn - Ms(1e-6)) < allowed
    }

    /// Updates the server's health after a tune-in, a viewing or a probe.
    pub(super) fn record_outcome(&mut self, id: &ServerId, outcome: Outcome) {
        let (join_target, note_gap) = (self.join_target(), self.note_gap());
        let Some(server) = self.servers.get_mut(id) else { return };
        let avoided = self.now < server.avoid_until;
        match outcome {
            Outcome::Served => {
                // If it had failed it may have restarted, as late as just now.
                if server.failures > 0 {
                    server.failures = 0;
                    server.cold_until = server.cold_until.max(self.now + self.config.cold.warm_up);
                }
                server.avoid_until = Ms::DISTANT_PAST;
            }
            Outcome::TurnedAway => server.avoid_until = self.now + note_gap * TURNED_AWAY_NOTE_GAPS,
            Outcome::NoConnection | Outcome::ConnectionLost | Outcome::NoAnswer if !avoided => {
                server.failures += 1;
                let delay = join_target * 2f64.powi(server.failures.min(8) as i32 - 1);
                server.avoid_until = self.now + delay.min(self.config.cold.warm_up);
            }
            _ => {}
        }
    }

    /// Records one entry of the list. A server with a newer start time is cold, and its failures no longer
    /// keep it from being used.
    pub(super) fn update_server(&mut self, entry: &ServerEntry) {
        let warm_up = self.config.cold.warm_up;
        let cold_until = entry.started.map_or(Ms::DISTANT_PAST, |start| start + warm_up);
        let server = self.servers.entry(entry.server.clone());
        let server = server.or_insert_with(|| Server::new(entry.clone(), cold_until));
        if server.entry.started < entry.started {
            server.cold_until = server.cold_until.max(cold_until);
            server.avoid_until = Ms::DISTANT_PAST;
            server.sample = None;
            self.link_loads.forget(&entry.server);
        }
        let previous = std::mem::replace(&mut server.entry, entry.clone());
        self.index_server(entry, &previous);
    }
}
