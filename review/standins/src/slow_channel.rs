//! Discovery is slow for some seconds; meanwhile a video server begins to drain.

use crate::channel::{host, Channel};
use crate::client::{set_up, Client};
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::time::Duration;

const SERVERS: usize = 5;
/// When discovery becomes slow, by how much, and for how long.
const SLOW_FROM_MS: f64 = 6_000.0;
const LATE_MS: u64 = 2_500;
const SLOW_FOR_MS: f64 = 22_000.0;
/// When the first server begins to drain.
const DRAIN_AT_MS: f64 = 7_000.0;
const END_MS: f64 = 30_000.0;
/// The site's grace, and what all time limits are longer on sockets.
const GRACE_MS: u64 = 1_000;
const SLACK_MS: f64 = 50.0;
/// When at the latest news counts as told after discovery broke off or fell silent.
const TOLD_WITHIN_MS: f64 = 7_000.0;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(60),
        plays_for: Duration::from_secs(4),
        live_plays_for: Duration::ZERO,
        one_stops_short_of: 0,
    };
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| Server::start(&format!("s-{:08x}", 0xa1b0 + index), "127.0.0.1", manner, record))
        .collect();
    let channel = Channel::start(record);
    let entry =
        |index: usize, health: &str| host(&servers[index].id, servers[index].address, index, health, 0);
    let all: Vec<String> = (0..SERVERS).map(|index| entry(index, "ready")).collect();
    channel.tell(&all.join(","), "all servers are ready");
    let deployment = Deployment {
        sockets: 256,
        memory_mb: 96,
        managers: 1,
        cells: SERVERS,
        classes: vec![Class {
            name: "clip",
            semantics: "idempotent",
            promise_ms: 800,
            give_up_ms: 4_000,
            floor: 0,
            seats: 0,
        }],
        drain_grace_ms: GRACE_MS,
        probes: true,
    };
    let mut manager = Manager::start(&deployment, &channel, record);
    let client = connect(&manager, record)?;

    let (mut slow, mut over, mut drained_at, mut number) = (false, false, None, 0);
    let began = record.now();
    while record.now() - began < END_MS {
        let elapsed = record.now() - began;
        if trouble && !slow && elapsed >= SLOW_FROM_MS {
            slow = true;
            channel.answer_late(Duration::from_millis(LATE_MS));
        }
        if trouble && !over && elapsed >= SLOW_FROM_MS + SLOW_FOR_MS {
            over = true;
            channel.answer_late(Duration::ZERO);
        }
        if drained_at.is_none() && elapsed >= DRAIN_AT_MS {
            servers[0].drain();
            drained_at = Some(channel.tell(&entry(0, "draining"), &format!("{} drains", servers[0].id)));
        }
        number += 1;
        let session = format!("{:016x}", 0x5e55_0000_0000_0000_u64 + number);
        client.set_up(&session, &set_up(&session, "clip", 4_000, number as usize % SERVERS, 3, "viewer\r\n"));
        std::thread::sleep(Duration::from_millis(100));
        if manager.has_ended() {
            return Err("the manager has ended".into());
        }
    }
    std::thread::sleep(Duration::from_millis(500));

    let drained_at = drained_at.ok_or("no server drained")?;
    let told = if trouble { (began + SLOW_FROM_MS + TOLD_WITHIN_MS).max(drained_at) } else { drained_at };
    let limit = told + GRACE_MS as f64 + SLACK_MS;
    let set_ups = servers[0].set_ups();
    let before = set_ups.iter().filter(|set_up| set_up.at < drained_at).count();
    let late: Vec<_> = set_ups.iter().filter(|set_up| set_up.at > limit).collect();
    let elsewhere: usize = servers[1..].iter().map(|server| server.set_ups().len()).sum();
    if before == 0 || elsewhere == 0 {
        return Err("no set-up reached the servers".into());
    }
    record.tell(&format!(
        "{} drains, in the channel since {drained_at:.0} ms, told at {told:.0} ms at the latest",
        servers[0].id
    ));
    record.tell(&format!(
        "{before} set-ups came to it before, {} after, {} of them past the grace ({limit:.0} ms)",
        set_ups.len() - before,
        late.len()
    ));
    for set_up in &late {
        record.note(
            "check",
            &format!("{} is new at {} {:.0} ms past the grace", set_up.tag, servers[0].id, set_up.at - limit),
        );
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Connects to a manager that has just started, and tests it.
pub fn connect(manager: &Manager, record: &Record) -> Result<Client, String> {
    for _ in 0..300 {
        if let Ok(client) = Client::connect("client", manager.address, record) {
            return if client.test(Duration::from_secs(5)) {
                Ok(client)
            } else {
                Err("no test was passed".into())
            };
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the manager does not listen".into())
}
