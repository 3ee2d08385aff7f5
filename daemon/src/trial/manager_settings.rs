//! The configuration of the session managers of a trial.

use ottersail_invariants::platform::Class;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// A class of set-ups.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The class's name.
    pub name: String,
    /// Whether a set-up of the class may be repeated.
    pub class: Class,
    /// The time within which an answer is promised.
    pub promise: Duration,
    /// The longest time that clients of this class wait.
    pub deadline: Duration,
    /// The lowest rung that may be given.
    pub lowest_rung: usize,
}

/// The settings that all managers of a trial share.
#[derive(Clone, Debug)]
pub struct ManagerSettings {
    /// The classes of set-ups.
    pub classes: Vec<ClassSettings>,
    /// Number of managers.
    pub managers: usize,
    /// Most file descriptors that a process may hold open.
    pub sockets: usize,
    /// Number of cells that titles are divided among.
    pub cells: u64,
    /// Limit for opening a connection to a server.
    pub connect_timeout: Duration,
    /// Servers close connections that are idle for this long.
    pub connection_idle: Duration,
    pub attempts_per_connection: u64,
    /// Most attempts for a set-up.
    pub max_attempts: u64,
    /// How long a draining server keeps accepting set-ups that are in flight.
    pub drain_grace: Duration,
    /// How long a server is cold after its start. If it is zero, servers are never cold.
    pub cold: Duration,
    /// Whether managers may probe servers.
    pub probes: bool,
}

/// Rates of the ladder's rungs, in kB per second.
const RUNG_RATES_KB: [u64; 3] = [200, 400, 800];

fn nanoseconds(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}

impl ManagerSettings {
    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// The configuration file of one manager. `channel` is the address of the command channel, `known` the value of
    /// the key of that name.
    pub fn file(&self, manager: usize, listen: SocketAddr, channel: SocketAddr, known: &Value) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        let of_each = |value: u64| vec![value; classes.len()];
        let lowest: Vec<usize> = self.classes.iter().map(|class| class.lowest_rung).collect();
        json!({
            "name": format!("n{manager}"), "listen": listen.to_string(), "seed": format!("{:x}", manager + 31),
            "limits": { "sockets": self.sockets }, "channel": channel.to_string(), "known": known,
            "settings": {
                "classes": classes,
                "extra": { "rates-kb": RUNG_RATES_KB, "places": self.cells, "racks": 6, "link-unit-kb": 1e6,
                    "rack-link-kb": 1e8, "places-by-kind": [1000], "seen-after-ns": 500_000_000u64,
                    "reports-every-ns": 2_000_000_000u64, "change-costs-s": 0.3, "lowest-rung": lowest,
                    "top-by-class": of_each(RUNG_RATES_KB.len() as u64 - 1), "scale-by-class": of_each(1) },
                "skus": ["k"], "az": "z", "peers-total": self.managers, "me": manager, "tick-ns": 1_000_000,
                "allowed": { "max-attempts": self.max_attempts, "retry-after": true,
                    "max-retry-after-ns": 500_000_000u64, "probes": self.probes,
                    "streams-per-conn": self.attempts_per_connection,
                    "conn-idle-ns": nanoseconds(self.connection_idle),
                    "connect-timeout-ns": nanoseconds(self.connect_timeout) },
                "safety": { "cold-ns": nanoseconds(self.cold), "start-capacity": 0.4, "fall-multiple": 2.5,
                    "fall-ns": 2_000_000_000u64, "drain-grace-ns": nanoseconds(self.drain_grace) }
            }
        })
    }
}

fn class(class: &ClassSettings) -> Value {
    let semantics = match class.class {
        Class::Idempotent => "idempotent",
        Class::AtMostOnce => "at_most_once",
    };
    json!({ "name": class.name, "semantics": semantics, "group": "all", "window-ns": 10_000_000_000u64,
        "promise-ns": nanoseconds(class.promise), "give-up-ns": nanoseconds(class.deadline), "points": 1 })
}
