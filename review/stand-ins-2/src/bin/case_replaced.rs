//! Rule 1, what is left standing: servers are replaced at their addresses while the command channel is out of reach,
//! and the manager has fewer descriptors than it would need to watch every server.

use stand_ins_2::channel::Channel;
use stand_ins_2::manager::{free_address, Manager};
use stand_ins_2::record::{finish, give_up, Record};
use stand_ins_2::server::Server;
use stand_ins_2::settings::host;
use stand_ins_2::sites::pedal_clips;
use stand_ins_2::viewer::{SetUp, Viewers};
use stand_ins_2::{sleep_ms, with_trouble, Random};
use std::sync::Arc;

const CELLS: usize = 30;
const SERVERS: usize = 120;
const SESSIONS: u64 = 400;
/// Servers that are replaced, and servers of which one session ends in good order.
const REPLACED: usize = 40;
const ENDING: usize = 20;
/// How long the command channel is out of reach; the page has 5.2 to 23 s.
const OUTAGE_MS: u64 = 20_000;
/// What has stood and is over has to be released within 8 s of its end where no release could be sent.
const RELEASE_MS: f64 = 8_000.0 + 50.0;

fn main() {
    let record = Record::create();
    let channel = Channel::start(&record);
    let start = |number: usize| Server::start(&record, &format!("s-{number:08x}"), number % CELLS, 50);
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let line = |server: &Arc<Server>, health: &str| host(&server.id(), server.address, server.cell, health, 0.0);
    channel.tell(true, &servers.iter().map(|server| line(server, "ready")).collect::<Vec<_>>());
    let (address, settings) = (free_address(), pedal_clips(CELLS, 12));
    let config = settings.file(0, address, channel.address, &channel.known());
    let mut manager = Manager::start(&record, "n0", address, settings.sockets, &config);
    if !manager.wait_ready() {
        give_up("the manager was not ready in time");
    }
    let viewers = Viewers::new(&record, address);
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    let mut connections: Vec<_> = (0..10).filter_map(|_| viewers.connect()).collect();
    for number in 0..SESSIONS {
        let cell = random.below(CELLS as u64) as usize;
        let title = format!("{:016x}", 0xc000 + cell);
        let it = SetUp { class: "clip-play", title: &title, patience_ms: 4_000, home: cell, copies: 1, top: 3 };
        let at = random.below(connections.len().max(1) as u64) as usize;
        if let Some(connection) = connections.get_mut(at) {
            connection.set_up(&format!("{:016x}", 0x71ab_0000_0000_0000u64 + number), &it);
        }
        sleep_ms(35 + random.below(10));
    }
    sleep_ms(6_000);
    let held = servers.iter().filter(|server| !server.standing().is_empty()).count();
    let unwatched =
        servers.iter().filter(|server| !server.standing().is_empty() && server.connection_count() == 0).count();
    record.line(&format!("sessions stand at {held} servers, {unwatched} of them without a connection just now"));
    // Sessions that end in good order, at all kinds of servers.
    let mut over: Vec<(String, String, f64, bool)> = Vec::new();
    for server in servers.iter().skip(REPLACED).take(ENDING) {
        if let Some(session) = server.standing().first() {
            over.push((server.id(), session.clone(), record.now(), false));
            server.end_session(session);
        }
    }
    sleep_ms(3_000);
    if with_trouble() {
        channel.set_down(true);
        sleep_ms(500);
        for (number, server) in servers.iter().take(REPLACED).enumerate() {
            let (id, watched) = (server.id(), server.connection_count() > 0);
            let at = record.now();
            over.extend(server.die().into_iter().map(|session| (id.clone(), session, at, watched)));
            sleep_ms(60);
            server.replace(&format!("s-{:08x}", 0x1000 + number));
            sleep_ms(90);
        }
        sleep_ms(OUTAGE_MS - 500 - REPLACED as u64 * 150);
        channel.set_down(false);
    } else {
        sleep_ms(OUTAGE_MS);
    }
    if with_trouble() {
        let gone = |number: usize| format!("{{\"host\":\"s-{number:08x}\",\"health\":\"gone\"}}");
        let mut news: Vec<String> = (0..REPLACED).map(gone).collect();
        let born = record.unix_ms(record.now()) - OUTAGE_MS as f64;
        let ready = |server: &Arc<Server>| host(&server.id(), server.address, server.cell, "ready", born);
        news.extend(servers.iter().take(REPLACED).map(ready));
        channel.tell(false, &news);
    }
    sleep_ms(5_000);
    let ended = manager.ended();
    drop(manager);
    let mut broken: Vec<String> = ended.into_iter().map(|how| format!("the manager ended: {how}")).collect();
    let outcomes = viewers.outcomes.lock().unwrap();
    let mut checked = 0;
    for (id, session, at, watched) in &over {
        let Some(outcome) = outcomes.get(session).filter(|outcome| outcome.stands()) else { continue };
        checked += 1;
        let after = outcome.released.map(|released| released - at);
        if after.is_none_or(|after| after > RELEASE_MS) {
            let connection = if *watched { "with a connection" } else { "without a connection" };
            let after = after.map_or("never".into(), |after| format!("{after:.0} ms after"));
            broken.push(format!("{session} ended at {id} ({connection}) and was released {after} its end"));
        }
    }
    let stood = outcomes.values().filter(|outcome| outcome.stands()).count();
    if stood < SESSIONS as usize * 9 / 10 || checked < ENDING / 2 || unwatched == 0 {
        give_up(&format!("{stood} sessions stood, {checked} ends, {unwatched} servers without a connection"));
    }
    let held = format!("{stood} sessions at {held} servers ({unwatched} without a connection), {checked} ends");
    std::process::exit(finish(&record, &broken, &held));
}
