//! Some answers stop short, and their connections stay open and are of no further use.

use crate::channel::{host, Channel};
use crate::client::{set_up, Client};
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::time::Duration;

const SERVERS: usize = 12;
const SET_UPS: u64 = 1_030;
const PACE: Duration = Duration::from_millis(60);
const ONE_STOPS_SHORT_OF: usize = 30;

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
    crate::silent::judge(&servers, &client.messages(), record)
}
