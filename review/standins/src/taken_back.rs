//! A bad client sends the id of an open request with another description, and takes its request back.

use crate::channel::{host, Channel};
use crate::client::{set_up, teardown, Client};
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::time::Duration;

const REQUESTS: u64 = 12;
const PATIENCE_MS: u64 = 4_000;
/// A request without an answer half a second after its time is lost; all time limits are 50 ms longer.
const LOST_AFTER_MS: u64 = PATIENCE_MS + 550;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(150),
        plays_for: Duration::from_secs(20),
        live_plays_for: Duration::ZERO,
        one_stops_short_of: 0,
    };
    let servers: Vec<Server> = (0..3)
        .map(|index| Server::start(&format!("s-{:08x}", 0xb2c0 + index), "127.0.0.1", manner, record))
        .collect();
    let channel = Channel::start(record);
    let entry = |(index, server): (usize, &Server)| host(&server.id, server.address, index, "ready", 0);
    channel
        .tell(&servers.iter().enumerate().map(entry).collect::<Vec<_>>().join(","), "all servers are ready");
    let deployment = Deployment {
        sockets: 256,
        memory_mb: 96,
        managers: 1,
        cells: 3,
        classes: vec![Class {
            name: "clip",
            semantics: "idempotent",
            promise_ms: 800,
            give_up_ms: PATIENCE_MS,
            floor: 0,
            seats: 0,
        }],
        drain_grace_ms: 1_000,
        probes: true,
    };
    let mut manager = Manager::start(&deployment, &channel, record);
    let client = crate::slow_channel::connect(&manager, record)?;
    let bad = Client::connect("bad client", manager.address, record).map_err(|error| error.to_string())?;
    for number in 0..REQUESTS {
        let session = format!("{:016x}", 0x7a7a_0000_0000_0000_u64 + number);
        client.set_up(&session, &set_up(&session, "clip", PATIENCE_MS, number as usize % 3, 3, "viewer\r\n"));
        std::thread::sleep(Duration::from_millis(50));
        if trouble && number % 3 == 2 {
            let other = set_up(&session, "clip", PATIENCE_MS, 0, 3, "another description\r\n");
            bad.send(&(other + &teardown(&session)), &format!("set-up {session} and takes it back"));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_millis(LOST_AFTER_MS));
    if manager.has_ended() {
        return Err("the manager has ended".into());
    }
    let messages = client.messages();
    let mut lost = 0;
    for number in 0..REQUESTS {
        let session = format!("{:016x}", 0x7a7a_0000_0000_0000_u64 + number);
        let answers =
            messages.iter().filter(|message| message.session == session && message.status().is_some());
        if answers.count() != 1 {
            lost += 1;
            record.tell(&format!("the request {session} got no answer, and its client did not give it up"));
        }
    }
    record.tell(&format!("{REQUESTS} requests of the usual client, {lost} without one final answer"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
