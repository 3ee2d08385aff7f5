//! A fifth of the video servers fall silent for some seconds after a quiet time, while the manager closes connections that
//! it does not need any more. Sessions come to their end meanwhile.

use crate::channel::{host, Channel};
use crate::client::set_up;
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::collections::BTreeMap;
use std::time::Duration;

const SERVERS: usize = 10;
const SILENT: usize = SERVERS / 5;
/// Set-ups come for so long, some at once.
const TRAFFIC_MS: f64 = 30_000.0;
const AT_ONCE: usize = 60;
const PATIENCE_MS: u64 = 4_000;
const NOTES_EVERY: Duration = Duration::from_secs(3);
const PACE: Duration = Duration::from_millis(1_000);
/// The servers fall silent so long after the last set-up, for so long; the pages have 6 s.
const SILENT_AFTER_MS: f64 = 4_100.0;
const SILENT_FOR: Duration = Duration::from_millis(2_380);
const END_MS: f64 = 56_000.0;
/// The longest that a client may take to hear of the end of its session, where no release could be sent (8 s), and
/// what all time limits are longer on sockets.
const RELEASED_WITHIN_MS: f64 = 8_050.0;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(80),
        plays_for: Duration::from_secs(25),
        live_plays_for: Duration::ZERO,
        one_stops_short_of: 0,
    };
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| Server::start(&format!("s-{:08x}", 0xe5f0 + index), "127.0.0.1", manner, record))
        .collect();
    let channel = Channel::start(record);
    let entry = |(index, server): (usize, &Server)| host(&server.id, server.address, index, "ready", 0);
    channel
        .tell(&servers.iter().enumerate().map(entry).collect::<Vec<_>>().join(","), "all servers are ready");
    let deployment = Deployment {
        sockets: 256,
        memory_mb: 96,
        managers: 1,
        cells: SERVERS,
        classes: vec![Class {
            name: "clip-play",
            semantics: "idempotent",
            promise_ms: 800,
            give_up_ms: PATIENCE_MS,
            floor: 0,
            seats: 0,
        }],
        drain_grace_ms: 1_000,
        probes: true,
    };
    servers.iter().for_each(|server| server.send_notes(NOTES_EVERY));
    let mut manager = Manager::start(&deployment, &channel, record);
    let client = crate::slow_channel::connect(&manager, record)?;
    std::thread::sleep(Duration::from_secs(3));
    let began = record.now();
    let (mut silent, mut number, mut last_asked) = (false, 0, 0.0);
    while record.now() - began < END_MS {
        let elapsed = record.now() - began;
        if elapsed < TRAFFIC_MS {
            for _ in 0..AT_ONCE {
                number += 1;
                let session = format!("{:016x}", 0x511e_0000_0000_0000_u64 + number as u64);
                let request =
                    set_up(&session, "clip-play", PATIENCE_MS, number * 7 % SERVERS, 3, "viewer\r\n");
                last_asked = client.set_up(&session, &request) - began;
            }
        }
        if trouble && !silent && elapsed >= TRAFFIC_MS && elapsed >= last_asked + SILENT_AFTER_MS {
            silent = true;
            for server in servers[..SILENT].iter().cloned() {
                std::thread::spawn(move || server.cut_off(SILENT_FOR));
            }
        }
        std::thread::sleep(if elapsed < TRAFFIC_MS { PACE } else { Duration::from_millis(20) });
    }
    if manager.has_ended() {
        return Err("the manager has ended".into());
    }
    judge(&servers, &client.messages(), record)
}

/// Counts the sessions whose client heard of their end too late, or never.
pub fn judge(
    servers: &[Server],
    messages: &[crate::client::Message],
    record: &Record,
) -> Result<Verdict, String> {
    let over_at = record.now();
    let mut stood: BTreeMap<&str, &str> = BTreeMap::new();
    let mut released: BTreeMap<&str, f64> = BTreeMap::new();
    for message in messages {
        if message.status() == Some(200) {
            stood.insert(&message.session, &message.body);
        } else if message.is_release() {
            released.entry(&message.session).or_insert(message.at);
        }
    }
    let (mut ended, mut late) = (0, 0);
    for server in servers {
        for end in server.ended() {
            // What the client was told is that this server's session plays.
            let is_told = stood.get(end.tag.as_str()).is_some_and(|body| body.starts_with(&server.id));
            if !is_told || over_at - end.at < RELEASED_WITHIN_MS {
                continue;
            }
            ended += 1;
            let after = released.get(end.tag.as_str()).map(|at| at - end.at);
            if after.is_none_or(|after| after > RELEASED_WITHIN_MS) {
                late += 1;
                let when = after.map_or("never".into(), |after| format!("{after:.0} ms after its end"));
                record.tell(&format!(
                    "session {}, ended at {} at {:.0} ms, is released towards its client {when}",
                    end.tag, server.id, end.at
                ));
            }
        }
    }
    record.tell(&format!(
        "{ended} sessions came to their end, {late} of them not released within {RELEASED_WITHIN_MS:.0} ms"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
