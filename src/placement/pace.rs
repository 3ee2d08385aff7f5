//! How fast a cold server is filled, and how long one that failed is left alone.

use super::*;

impl Placement {
    /// Rule 4: this manager's part of what a cold server takes in any window; of one that is told to be cold,
    /// no more than each earlier part allows, while others may go by theirs, or may count what was forgotten.
    pub(super) fn pace_allows(&self, server: &Server) -> bool {
        let (cold, told) = (&self.terms.cold, self.now < server.cold_until);
        let sure = server.failures == 0 && self.now >= self.unsure_until;
        if cold.warm_up <= Ms(0.0) || (sure && !told) {
            return true;
        }
        let places = self.terms.places_by_kind.get(&server.entry.kind).copied().unwrap_or(0.0);
        // Set-ups of a package may weigh more than the mean of all.
        let weight = if self.terms.packages.len() > 1 { 1.5 } else { 1.0 };
        let pace = places / cold.warm_up.0 * cold.start_capacity * cold.fall_multiple / weight;
        let all = (pace * cold.fall_window.0).floor();
        let earlier = self.earlier.iter().filter(|it| told && self.now < it.0).map(|it| &it.1);
        earlier.chain([&self.slots]).all(|part| self.part_allows(server, all, part))
    }

    /// Where a part is under one a slot, as many slots as half a window bears have a turn together, a window
    /// long: any window touches two.
    fn part_allows(&self, server: &Server, all: f64, (slots, of): &(Vec<u64>, f64)) -> bool {
        let window = self.terms.cold.send_window();
        let since = |start: Ms| server.sent.iter().filter(|at| **at > start).count() as f64;
        let each = (all / of).floor();
        if each >= 1.0 {
            return since(self.now - window) < each * slots.len() as f64;
        }
        let length = window * if all >= 2.0 { 1.0 } else { 2.0 };
        let turn = (self.now / length).floor();
        let early = all >= 2.0 || self.now - length * turn < window;
        let together = (all / 2.0).floor().max(1.0);
        let shift = name_hash(&server.entry.server.to_string());
        let whose = (turn + shift as f64).rem_euclid((of / together).ceil());
        let mine = slots.iter().filter(|it| whose == (**it as f64 / together).floor()).count() as f64;
        early && since(length * turn - Ms(1e-6)) < mine
    }

    /// Takes note of how a tune-in, a viewing or a probe ended.
    pub(super) fn judge(&mut self, server: &ServerId, outcome: Outcome) {
        let (join, gap) = (self.join_target(), self.note_gap());
        let Some(server) = self.servers.get_mut(server) else { return };
        let shunned = self.now < server.shunned_until;
        match outcome {
            Outcome::Served => {
                // It answers: if it had failed it may have restarted, at the latest just now.
                if server.failures > 0 {
                    server.failures = 0;
                    server.cold_until = server.cold_until.max(self.now + self.terms.cold.warm_up);
                }
                server.shunned_until = Ms::DISTANT_PAST;
            }
            Outcome::TurnedAway => server.shunned_until = self.now + gap * AWAY,
            Outcome::NoConnection | Outcome::ConnectionLost | Outcome::NoAnswer if !shunned => {
                server.failures += 1;
                let spell = join * 2f64.powi(server.failures.min(8) as i32 - 1);
                server.shunned_until = self.now + spell.min(self.terms.cold.warm_up);
            }
            _ => {}
        }
    }

    /// Takes note of one entry of the list: a server that has started anew is cold and has not failed.
    pub(super) fn list(&mut self, entry: &ServerEntry) {
        let cold_until = entry.started.map_or(Ms::DISTANT_PAST, |start| start + self.terms.cold.warm_up);
        let server = self.servers.entry(entry.server.clone());
        let server = server.or_insert_with(|| Server::new(entry.clone(), cold_until));
        if server.entry.started < entry.started {
            server.cold_until = server.cold_until.max(cold_until);
            server.shunned_until = Ms::DISTANT_PAST;
            server.seen = None;
            self.links.forget(&entry.server);
        }
        let before = std::mem::replace(&mut server.entry, entry.clone());
        self.register(entry, &before);
    }
}
