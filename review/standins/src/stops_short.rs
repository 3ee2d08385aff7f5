//! Some answers stop short, and their connections stay open and are of no further use.

use crate::channel::{host, Channel};
use crate::client::{set_up, Client};
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::collections::BTreeMap;
use std::time::Duration;

const SERVERS: usize = 12;
const SET_UPS: u64 = 1_030;
const PACE: Duration = Duration::from_millis(60);
const ONE_STOPS_SHORT_OF: usize = 30;
/// The longest that a client may take to hear of the end of its session, where no release could be sent (8 s), and
/// what all time limits are longer on sockets.
const RELEASED_WITHIN_MS: f64 = 8_050.0;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(80),
        plays_for: Duration::from_secs(33),
        live_plays_for: Duration::from_secs(19),
        one_stops_short_of: if trouble { ONE_STOPS_SHORT_OF } else { 0 },
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
        classes: vec![
            Class {
                name: "track-preview",
                semantics: "idempotent",
                promise_ms: 1_000,
                give_up_ms: 3_000,
                floor: 0,
                seats: 0,
            },
            Class {
                name: "live-audition",
                semantics: "at_most_once",
                promise_ms: 1_500,
                give_up_ms: 3_000,
                floor: 1,
                seats: 60,
            },
        ],
        drain_grace_ms: 250,
        probes: false,
    };
    let mut manager = Manager::start(&deployment, &channel, record);
    let client: Client = crate::slow_channel::connect(&manager, record)?;
    std::thread::sleep(Duration::from_secs(3));
    for number in 0..SET_UPS {
        let session = format!("{:016x}", 0x5b5b_0000_0000_0000_u64 + number);
        let class = if number % 4 == 0 { "live-audition" } else { "track-preview" };
        client.set_up(
            &session,
            &set_up(&session, class, 3_000, (number * 7) as usize % SERVERS, 3, "viewer\r\n"),
        );
        std::thread::sleep(PACE);
    }
    std::thread::sleep(Duration::from_secs(26));
    if manager.has_ended() {
        return Err("the manager has ended".into());
    }
    let over_at = record.now();
    let messages = client.messages();
    let mut stood: BTreeMap<&str, &str> = BTreeMap::new();
    let mut released: BTreeMap<&str, f64> = BTreeMap::new();
    for message in &messages {
        if message.status() == Some(200) {
            stood.insert(&message.session, &message.body);
        } else if message.is_release() {
            released.entry(&message.session).or_insert(message.at);
        }
    }
    let (mut ended, mut late) = (0, 0);
    for server in &servers {
        for end in server.ended() {
            // What the client was told is that this server's session plays.
            if !stood.get(end.tag.as_str()).is_some_and(|body| body.starts_with(&server.id)) {
                continue;
            }
            if over_at - end.at < RELEASED_WITHIN_MS {
                continue;
            }
            ended += 1;
            let after = released.get(end.tag.as_str()).map(|at| at - end.at);
            if after.is_none_or(|after| after > RELEASED_WITHIN_MS) {
                late += 1;
                let when = after.map_or("never".into(), |after| format!("{after:.0} ms after its end"));
                record.tell(&format!(
                    "session {}, ended at {}, is released towards its client {when}",
                    end.tag, server.id
                ));
            }
        }
    }
    record.tell(&format!(
        "{ended} sessions came to their end, {late} of them not released within {RELEASED_WITHIN_MS:.0} ms"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
