//! Rule 1, what is left standing: servers stand still just after sessions there have ended, and the manager has fewer
//! descriptors than it would need to watch every server.

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
/// The site has up to 19% of the servers standing still, for 9.6 to 23 s.
const HUNG: usize = 22;
const HANG_MS: u64 = 20_000;
/// The longer bound of the rule, counted from when the server goes on and can write its release; without the
/// disruption from the end.
const RELEASE_MS: f64 = 8_000.0 + 50.0;

fn main() {
    let record = Record::create();
    let channel = Channel::start(&record);
    let start = |number: usize| Server::start(&record, &format!("s-{number:08x}"), number % CELLS, 50);
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let line = |server: &Arc<Server>| host(&server.id(), server.address, server.cell, "ready", 0.0);
    channel.tell(true, &servers.iter().map(line).collect::<Vec<_>>());
    let (address, settings) = (free_address(), pedal_clips(CELLS, 12));
    let config = settings.file(0, address, channel.address, &channel.known());
    let mut manager = Manager::start(&record, "n0", address, settings.sockets, &config);
    if !manager.wait_ready() {
        give_up("the manager was not ready in time");
    }
    let viewers = Viewers::new(&record, address);
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    let mut connections: Vec<_> = (0..10).filter_map(|_| viewers.connect()).collect();
    let mut set_up = |number: u64| {
        let cell = random.below(CELLS as u64) as usize;
        let title = format!("{:016x}", 0xc000 + cell);
        let it = SetUp { class: "clip-play", title: &title, patience_ms: 4_000, home: cell, copies: 1, top: 3 };
        let at = random.below(connections.len().max(1) as u64) as usize;
        if let Some(connection) = connections.get_mut(at) {
            connection.set_up(&format!("{:016x}", 0x71ab_0000_0000_0000u64 + number), &it);
        }
        sleep_ms(35 + random.below(10));
    };
    (0..SESSIONS).for_each(&mut set_up);
    sleep_ms(6_000);
    // One session ends at each of the servers that are to stand still, a moment before they do.
    let mut over: Vec<(String, String, bool)> = Vec::new();
    let hung = &servers[..HUNG];
    for server in hung {
        if let Some(session) = server.standing().first() {
            over.push((server.id(), session.clone(), server.connection_count() > 0));
            server.end_session(session);
        }
    }
    let ended_at = record.now();
    if with_trouble() {
        sleep_ms(200);
        hung.iter().for_each(|server| server.set_hung(true));
    }
    // Set-ups go on coming.
    let calm = record.now();
    let mut number = SESSIONS;
    while record.now() - calm < HANG_MS as f64 {
        set_up(number);
        number += 1;
        sleep_ms(60);
    }
    let goes_on = if with_trouble() { record.now() } else { ended_at };
    hung.iter().for_each(|server| server.set_hung(false));
    sleep_ms(15_000);
    let ended = manager.ended();
    drop(manager);
    let mut broken: Vec<String> = ended.into_iter().map(|how| format!("the manager ended: {how}")).collect();
    let outcomes = viewers.outcomes.lock().unwrap();
    let mut checked = 0;
    for (id, session, watched) in &over {
        let Some(outcome) = outcomes.get(session).filter(|outcome| outcome.stands()) else { continue };
        checked += 1;
        if outcome.released.is_none_or(|released| released > goes_on + RELEASE_MS) {
            let connection = if *watched { "with a connection" } else { "without a connection" };
            let released = outcome.released.map_or("never".into(), |at| format!("{:.0} ms after", at - goes_on));
            broken.push(format!("{session} ended at {id} ({connection}), released {released} it went on"));
        }
    }
    let stood = outcomes.values().filter(|outcome| outcome.stands()).count();
    let unwatched = over.iter().filter(|(_, _, watched)| !watched).count();
    if stood < SESSIONS as usize * 9 / 10 || checked < HUNG / 2 || unwatched == 0 {
        give_up(&format!("{stood} sessions stood, {checked} ends, {unwatched} without a connection"));
    }
    let held = format!("{stood} sessions stood, {checked} ends checked, {unwatched} at servers without a connection");
    std::process::exit(finish(&record, &broken, &held));
}
