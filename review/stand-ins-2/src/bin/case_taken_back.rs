//! Rule 1: a bad client uses the ids of open requests with another description, and takes its requests back.

use stand_ins_2::channel::Channel;
use stand_ins_2::manager::{free_address, Manager};
use stand_ins_2::record::{finish, give_up, Record};
use stand_ins_2::server::Server;
use stand_ins_2::settings::host;
use stand_ins_2::sites::pedal_clips;
use stand_ins_2::viewer::{SetUp, Viewers};
use stand_ins_2::{sleep_ms, with_trouble, Random};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

const CELLS: usize = 4;
const SERVERS: usize = 16;
const SESSIONS: u64 = 600;
/// One in so many set-ups has its id used by the bad client.
const EVERY: u64 = 20;
/// Up to half a second after its time an answer only earns nothing; every time limit is 50 ms longer.
const LATE_MS: f64 = 500.0 + 50.0;

/// A set-up under this id with a description of its own, and its end, sent at once on a connection of its own.
fn use_and_take_back(manager: std::net::SocketAddr, id: &str, cell: usize) -> Option<TcpStream> {
    let body = "another description\r\n";
    let text = format!(
        "SETUP rtsp://media/{:016x} RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nSubject: clip-play\r\nX-Patience: 4000\r\n\
         X-Facts: home:{cell};copies:1;top:3;viewer:00000000deadbeef\r\nContent-Length: {}\r\n\r\n{body}\
         TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n",
        0xc000 + cell,
        body.len()
    );
    let mut stream = TcpStream::connect(manager).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

fn main() {
    let record = Record::create();
    let channel = Channel::start(&record);
    let start = |number: usize| Server::start(&record, &format!("s-{number:08x}"), number % CELLS, 120);
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
    let mut connections: Vec<_> = (0..8).filter_map(|_| viewers.connect()).collect();
    let (mut bad, mut used) = (Vec::new(), 0);
    for number in 0..SESSIONS {
        let cell = random.below(CELLS as u64) as usize;
        let (title, id) = (format!("{:016x}", 0xc000 + cell), format!("{:016x}", 0x71ab_0000_0000_0000u64 + number));
        let it = SetUp { class: "clip-play", title: &title, patience_ms: 4_000, home: cell, copies: 1, top: 3 };
        let at = random.below(connections.len().max(1) as u64) as usize;
        let sent = connections.get_mut(at).is_some_and(|connection| connection.set_up(&id, &it));
        sleep_ms(20);
        if sent && with_trouble() && number % EVERY == EVERY - 1 {
            record.line(&format!("bad client: another set-up under {id}, taken back at once"));
            bad.extend(use_and_take_back(address, &id, cell));
            used += 1;
        }
        sleep_ms(15 + random.below(10));
    }
    sleep_ms(6_000);
    let ended = manager.ended();
    drop(manager);
    drop(bad);
    let mut broken: Vec<String> = ended.into_iter().map(|how| format!("the manager ended: {how}")).collect();
    let outcomes = viewers.outcomes.lock().unwrap();
    for (id, outcome) in outcomes.iter().filter(|(_, outcome)| outcome.patience_ms > 0) {
        match outcome.answers.as_slice() {
            [] => broken.push(format!("{id}, sent at {:.0}, never got an answer", outcome.sent)),
            [(at, _)] if at - outcome.sent <= outcome.patience_ms as f64 + LATE_MS => {}
            answers => broken.push(format!("{id}, sent at {:.0}: {answers:?}", outcome.sent)),
        }
    }
    let stood = outcomes.values().filter(|outcome| outcome.stands()).count();
    if stood < SESSIONS as usize * 4 / 5 || (with_trouble() && used < 10) {
        give_up(&format!("{stood} sessions stood, {used} ids used by the bad client"));
    }
    let held = format!("{stood} of {SESSIONS} set-ups stood, the ids of {used} used by a bad client");
    std::process::exit(finish(&record, &broken, &held));
}
