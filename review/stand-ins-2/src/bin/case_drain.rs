//! Rule 3 while the manager stands still now and then: servers drain, and set-ups go on coming.

use stand_ins_2::channel::Channel;
use stand_ins_2::manager::{free_address, Manager};
use stand_ins_2::record::{finish, give_up, Record};
use stand_ins_2::server::Server;
use stand_ins_2::settings::host;
use stand_ins_2::sites::quito_lab;
use stand_ins_2::viewer::{SetUp, Viewers};
use stand_ins_2::{sleep_ms, sys, with_trouble, Random};
use std::sync::Arc;

const CELLS: usize = 4;
const SERVERS: usize = 16;
/// The grace of the settings, and what every time limit is longer on sockets.
const GRACE_MS: u64 = 250;
const SLACK_MS: f64 = 50.0;
/// Length of a standstill; the page has 1,300 to 2,000 ms every 2.1 to 4 s.
const STANDSTILL_MS: u64 = 1_900;
const PAUSE_MS: u64 = 2_000;

/// A server that was told to drain, and when.
struct Drain {
    server: Arc<Server>,
    id: String,
    told: f64,
}

fn main() {
    let record = Record::create();
    let channel = Channel::start(&record);
    let start = |number: usize| Server::start(&record, &format!("s-{number:08x}"), number % CELLS, 60);
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect();
    let line = |server: &Arc<Server>, health: &str| host(&server.id(), server.address, server.cell, health, 0.0);
    channel.tell(true, &servers.iter().map(|server| line(server, "ready")).collect::<Vec<_>>());
    let (address, settings) = (free_address(), quito_lab(CELLS, 2));
    let config = settings.file(0, address, channel.address, &channel.known());
    let mut manager = Manager::start(&record, "n0", address, settings.sockets, &config);
    if !manager.wait_ready() {
        give_up("the manager was not ready in time");
    }
    let viewers = Viewers::new(&record, address);
    let sending = {
        let viewers = viewers.clone();
        std::thread::spawn(move || {
            let mut random = Random(0x9e37_79b9_7f4a_7c15);
            let mut connections: Vec<_> = (0..8).filter_map(|_| viewers.connect()).collect();
            for number in 0..900u64 {
                let cell = random.below(CELLS as u64) as usize;
                let (class, top) = if random.below(100) < 35 { ("review", 5) } else { ("replay", 4) };
                let patience_ms = if class == "review" { 4_000 } else { 5_000 };
                let title = format!("{:016x}", 0xa000 + cell);
                let it = SetUp { class, title: &title, patience_ms, home: cell, copies: 1, top };
                let at = random.below(connections.len().max(1) as u64) as usize;
                if let Some(connection) = connections.get_mut(at) {
                    connection.set_up(&format!("{:016x}", 0x51ab_0000_0000_0000u64 + number), &it);
                }
                sleep_ms(30 + random.below(20));
            }
            connections
        })
    };
    sleep_ms(4_000);
    let mut drains = Vec::new();
    // Two of the four servers of each cell drain, one after the other.
    for server in servers.iter().take(SERVERS / 2) {
        if with_trouble() {
            record.line("manager: stands still");
            manager.signal(sys::SIGSTOP);
        }
        sleep_ms(300);
        let told = channel.tell(false, &[line(server, "draining")]);
        drains.push(Drain { server: server.clone(), id: server.id(), told });
        sleep_ms(STANDSTILL_MS - 300);
        if with_trouble() {
            record.line("manager: goes on");
            manager.signal(sys::SIGCONT);
        }
        sleep_ms(PAUSE_MS);
    }
    _ = sending.join();
    sleep_ms(1_500);
    let ended = manager.ended();
    drop(manager);
    let mut broken: Vec<String> = ended.into_iter().map(|how| format!("the manager ended: {how}")).collect();
    let mut sent = 0;
    for Drain { server, id, told } in &drains {
        let starts = server.starts();
        sent += starts.len();
        for start in starts.iter().filter(|start| start.at > told + GRACE_MS as f64 + SLACK_MS) {
            let late = start.at - told;
            broken.push(format!("{id} got the set-up {} {late:.0} ms after it was told to drain", start.session));
        }
    }
    let answered = viewers.outcomes.lock().unwrap().values().filter(|outcome| outcome.stands()).count();
    if sent == 0 || answered < 300 {
        give_up(&format!("{sent} set-ups at the draining servers, {answered} sessions in all"));
    }
    let held = format!("{} drains, {sent} set-ups at these servers, {answered} sessions", drains.len());
    std::process::exit(finish(&record, &broken, &held));
}
