//! Rule 1, what is left standing: three of sixteen servers stand still, and sessions there come to their ends meanwhile.

use stand_ins_2::channel::Channel;
use stand_ins_2::manager::{free_address, Manager};
use stand_ins_2::record::{finish, give_up, Record};
use stand_ins_2::server::Server;
use stand_ins_2::settings::host;
use stand_ins_2::sites::pedal_clips;
use stand_ins_2::viewer::{SetUp, Viewers};
use stand_ins_2::{sleep_ms, with_trouble, Random};
use std::sync::Arc;

const CELLS: usize = 4;
const SERVERS: usize = 16;
const SESSIONS: u64 = 100;
/// The site has up to 19% of the servers standing still, for 9.6 to 23 s.
const HUNG: usize = 3;
/// Sessions that end at each of them.
const ENDING: usize = 5;
const HANG_MS: u64 = 22_000;
/// The longer bound of the rule, counted from the server's release, which it writes when it goes on.
const RELEASE_MS: f64 = 8_000.0 + 50.0;

fn main() {
    let record = Record::create();
    let channel = Channel::start(&record);
    let start = |number: usize| Server::start(&record, &format!("s-{number:08x}"), number % CELLS, 50);
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let line = |server: &Arc<Server>| host(&server.id(), server.address, server.cell, "ready", 0.0);
    channel.tell(true, &servers.iter().map(line).collect::<Vec<_>>());
    let (address, settings) = (free_address(), pedal_clips(CELLS, 2));
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
    let mut over: Vec<(String, String)> = Vec::new();
    let hung = &servers[..HUNG];
    if with_trouble() {
        hung.iter().for_each(|server| server.set_hung(true));
    }
    // Set-ups go on coming.
    let calm = record.now();
    let mut number = SESSIONS;
    while record.now() - calm < HANG_MS as f64 {
        set_up(number);
        number += 1;
    }
    // The servers go on. The first thing they do is to release what has come to its end meanwhile.
    let goes_on = record.now();
    for server in hung {
        for session in server.standing().into_iter().take(ENDING) {
            server.end_session(&session);
            over.push((server.id(), session));
        }
        server.set_hung(false);
    }
    sleep_ms(15_000);
    let ended = manager.ended();
    drop(manager);
    let mut broken: Vec<String> = ended.into_iter().map(|how| format!("the manager ended: {how}")).collect();
    let outcomes = viewers.outcomes.lock().unwrap();
    let mut checked = 0;
    for (id, session) in &over {
        let Some(outcome) = outcomes.get(session).filter(|outcome| outcome.stands()) else { continue };
        checked += 1;
        if outcome.released.is_none_or(|released| released > goes_on + RELEASE_MS) {
            let released = outcome.released.map_or("never".into(), |at| format!("{:.0} ms after that", at - goes_on));
            broken.push(format!("{session}: its end was told by {id} at {goes_on:.0}, and it was released {released}"));
        }
    }
    let stood = outcomes.values().filter(|outcome| outcome.stands()).count();
    if stood < SESSIONS as usize * 9 / 10 || checked < HUNG {
        give_up(&format!("{stood} sessions stood, {checked} ends"));
    }
    let held = format!("{stood} sessions stood, {checked} ends checked at {HUNG} of {SERVERS} servers");
    std::process::exit(finish(&record, &broken, &held));
}
