//! A video server takes no further connection for some seconds. What plays there plays on, and its connections stay open.

use crate::channel::{host, Channel};
use crate::client::{set_up, Message};
use crate::door::Door;
use crate::manager::{Class, Deployment, Manager};
use crate::record::Record;
use crate::server::{Manner, Server};
use crate::Verdict;
use std::collections::BTreeSet;
use std::time::Duration;

const SERVERS: usize = 10;
/// The first of these hold the counted title. The first server is the one that takes no further connection.
const HOLDERS: usize = 4;
const SEATS: u64 = 24;
const PATIENCE_MS: u64 = 3_000;
/// From when on and for how long the server takes no further connection.
const FULL_FROM_MS: f64 = 4_000.0;
const FULL_FOR_MS: f64 = 10_000.0;
/// After a break a viewer comes again this much later, all but each sixth.
const AGAIN_AFTER_MS: f64 = 1_000.0;
const STAYS_AWAY: usize = 6;
const END_MS: f64 = 24_000.0;
/// How long more sessions than seats have to stand before the rule counts as broken.
const SUSTAINED_MS: u64 = 500;
const LOOK: Duration = Duration::from_millis(50);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let manner = Manner {
        answers_after: Duration::from_millis(80),
        plays_for: Duration::from_secs(40),
        live_plays_for: Duration::from_secs(40),
        one_stops_short_of: 0,
    };
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| Server::start(&format!("s-{:08x}", 0xc3d0 + index), "127.0.0.1", manner, record))
        .collect();
    let doors: Vec<Door> = servers
        .iter()
        .map(|server| Door::start(&format!("{}'s door", server.id), server.address, record))
        .collect();
    let channel = Channel::start(record);
    let entry = |(index, server): (usize, &Server)| host(&server.id, doors[index].address, index, "ready", 0);
    channel
        .tell(&servers.iter().enumerate().map(entry).collect::<Vec<_>>().join(","), "all servers are ready");
    let class = |name, semantics, promise_ms, floor, seats| Class {
        name,
        semantics,
        promise_ms,
        give_up_ms: PATIENCE_MS,
        floor,
        seats,
    };
    let deployment = Deployment {
        sockets: 256,
        memory_mb: 96,
        managers: 1,
        cells: SERVERS,
        classes: vec![
            class("live-audition", "at_most_once", 1_500, 1, SEATS),
            class("track-preview", "idempotent", 1_000, 0, 0),
        ],
        drain_grace_ms: 250,
        probes: false,
    };
    let mut manager = Manager::start(&deployment, &channel, record);
    let client = crate::slow_channel::connect(&manager, record)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut asked = 0;
    let mut ask = |class: &str, home: usize, copies: usize| {
        asked += 1;
        let session = format!("{:016x}", 0xf3c0_0000_0000_0000_u64 + asked);
        client.set_up(&session, &set_up(&session, class, PATIENCE_MS, home, copies, "viewer\r\n"));
        session
    };
    let mut live: BTreeSet<String> = BTreeSet::new();
    for _ in 0..SEATS {
        live.insert(ask("live-audition", 0, HOLDERS));
        std::thread::sleep(Duration::from_millis(120));
    }
    std::thread::sleep(Duration::from_millis(500));
    let standing =
        |live: &BTreeSet<String>| servers.iter().map(|server| server.standing_of(live)).sum::<usize>();
    record.tell(&format!("{} sessions of the counted title stand, {SEATS} seats", standing(&live)));
    if standing(&live) < SEATS as usize {
        return Err("too few sessions stand".into());
    }

    let began = record.now();
    let (mut full, mut over) = (false, false);
    let (mut come_again, mut looks, mut most, mut over_seats_ms) = (BTreeSet::new(), 0, 0, 0);
    while record.now() - began < END_MS {
        let elapsed = record.now() - began;
        if trouble && !full && elapsed >= FULL_FROM_MS {
            full = true;
            doors[0].set_full(true);
        }
        if trouble && !over && elapsed >= FULL_FROM_MS + FULL_FOR_MS {
            over = true;
            doors[0].set_full(false);
        }
        // Viewers of the other package, some at once.
        if elapsed >= FULL_FROM_MS && looks % 10 == 0 {
            for number in 0..8 {
                ask("track-preview", (number % 2) * (SERVERS - 1), 3);
            }
        }
        for message in client.messages().iter().filter(|message| message.is_release()) {
            if live.contains(&message.session)
                && record.now() - message.at >= AGAIN_AFTER_MS
                && come_again.insert(message.session.clone())
                && come_again.len() % STAYS_AWAY != 0
            {
                live.insert(ask("live-audition", 0, HOLDERS));
            }
        }
        std::thread::sleep(LOOK);
        looks += 1;
        let now = standing(&live);
        most = most.max(now);
        over_seats_ms += if now > SEATS as usize { LOOK.as_millis() as u64 } else { 0 };
    }
    if manager.has_ended() {
        return Err("the manager has ended".into());
    }
    let ended: BTreeSet<String> =
        servers.iter().flat_map(|server| server.ended()).map(|end| end.tag).collect();
    let messages = client.messages();
    let is_cut = |message: &&Message| message.is_release() && !ended.contains(&message.session);
    let cut: Vec<&Message> = messages.iter().filter(is_cut).collect();
    for message in &cut {
        let what =
            format!("{} was released at {:.0} ms, and no server had ended it", message.session, message.at);
        record.note("check", &what);
    }
    let cut = cut.len();
    record
        .tell(&format!("{cut} sessions were released towards their clients while their server played them"));
    record.tell(&format!("{} viewers of the counted title came again", live.len() - SEATS as usize));
    record.tell(&format!(
        "{most} sessions of the counted title stood at most; more than {SEATS} for {over_seats_ms} ms"
    ));
    Ok(if over_seats_ms > SUSTAINED_MS { Verdict::Broken } else { Verdict::Held })
}
