//! A fifth of the video servers fall silent for some seconds; the viewers of a counted title who lose their session
//! come again.

use crate::channel::{host, Channel};
use crate::client::{set_up, Client};
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::collections::BTreeSet;
use std::time::Duration;

const SERVERS: usize = 10;
/// The first of these hold the title; two of them are cut off.
const HOLDERS: usize = 4;
const CUT_OFF: usize = SERVERS / 5;
/// The pages have 6 s; what it takes to let go again stays within that.
const SILENT_FOR: Duration = Duration::from_millis(5_900);
const SEATS: u64 = 12;
const PATIENCE_MS: u64 = 3_000;
/// After a break a viewer comes again this much later, all but each sixth.
const AGAIN_AFTER_MS: f64 = 1_000.0;
const STAYS_AWAY: usize = 6;
/// The manager has this long to release what it gave up, once the servers can be reached again.
const EXCUSED_MS: f64 = 2_000.0;
const END_MS: f64 = 30_000.0;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(80),
        plays_for: Duration::from_secs(45),
        live_plays_for: Duration::from_secs(45),
        one_stops_short_of: 0,
    };
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| Server::start(&format!("s-{:08x}", 0xd7e0 + index), "127.0.0.1", manner, record))
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
            name: "live-audition",
            semantics: "at_most_once",
            promise_ms: 1_500,
            give_up_ms: PATIENCE_MS,
            floor: 1,
            seats: SEATS,
        }],
        drain_grace_ms: 250,
        probes: false,
    };
    let mut manager = Manager::start(&deployment, &channel, record);
    let client = crate::slow_channel::connect(&manager, record)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut asked = 0;
    let ask = |client: &Client, asked: &mut u64| {
        *asked += 1;
        let session = format!("{:016x}", 0x5ea7_0000_0000_0000_u64 + *asked);
        client.set_up(&session, &set_up(&session, "live-audition", PATIENCE_MS, 0, HOLDERS, "viewer\r\n"));
    };
    for _ in 0..SEATS {
        ask(&client, &mut asked);
        std::thread::sleep(Duration::from_millis(150));
    }
    std::thread::sleep(Duration::from_secs(1));
    let standing = |servers: &[Server]| servers.iter().map(Server::standing).sum::<usize>();
    record.tell(&format!("{} sessions of the title stand, {SEATS} seats", standing(&servers)));
    if standing(&servers) < SEATS as usize * 2 / 3 {
        return Err("too few sessions stand".into());
    }

    let began = record.now();
    if trouble {
        for server in servers[..CUT_OFF].iter().cloned() {
            std::thread::spawn(move || server.cut_off(SILENT_FOR));
        }
    }
    let judged_from = began + SILENT_FOR.as_secs_f64() * 1e3 + 500.0 + EXCUSED_MS;
    let (mut come_again, mut most, mut over_seats_ms) = (BTreeSet::new(), 0, 0);
    while record.now() - began < END_MS {
        for message in client.messages().iter().filter(|message| message.is_release()) {
            if record.now() - message.at >= AGAIN_AFTER_MS && come_again.insert(message.session.clone()) {
                if come_again.len() % STAYS_AWAY != 0 {
                    ask(&client, &mut asked);
                }
            }
        }
        std::thread::sleep(Duration::from_millis(50));
        if record.now() > judged_from {
            let now = standing(&servers);
            most = most.max(now);
            over_seats_ms += if now > SEATS as usize { 50 } else { 0 };
        }
    }
    if manager.has_ended() {
        return Err("the manager has ended".into());
    }
    record.tell(&format!(
        "{} viewers lost their session, {} of them came again",
        come_again.len(),
        asked - SEATS
    ));
    record.tell(&format!("{most} sessions of the title stood at most, from {EXCUSED_MS:.0} ms after all servers could be reached again"));
    record.tell(&format!("more than {SEATS} stood for {over_seats_ms} ms"));
    Ok(if most > SEATS as usize { Verdict::Broken } else { Verdict::Held })
}
