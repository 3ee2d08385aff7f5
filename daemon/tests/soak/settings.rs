//! The settings of a trial, drawn.

use crate::trial::{ms, GRACE, MANAGERS, SERVERS};
use fastrand::Rng;
use ottersail_daemon::trial::{ClassSettings, ManagerSettings};
use ottersail_invariants::platform::Class;

pub fn settings(random: &mut Rng) -> ManagerSettings {
    let class = |name: &str, class, random: &mut Rng| ClassSettings {
        name: name.to_string(),
        class,
        promise: ms(random.u64(200..900)),
        deadline: ms(random.u64(400..3_000)),
        lowest_rung: random.usize(0..2),
    };
    let classes = vec![class("clips", Class::Idempotent, random), class("once", Class::AtMostOnce, random)];
    ManagerSettings {
        classes,
        managers: MANAGERS,
        sockets: random.usize(96..320),
        cells: SERVERS as u64,
        connect_timeout: ms(250),
        connection_idle: ms(random.u64(3_000..30_000)),
        attempts_per_connection: random.u64(1..50),
        max_attempts: random.u64(1..4),
        drain_grace: GRACE,
        cold: ms(if random.bool() { 0 } else { 4_000 }),
        probes: random.bool(),
    }
}
