//! A video server: answers set-ups, holds sessions, confirms releases, answers tests.

mod disruptions;
mod messages;

use crate::record::{give_up, Record};
use crate::sys;
use messages::write;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};

/// A set-up that has arrived.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: f64,
    pub session: String,
}

struct State {
    id: String,
    /// The time in which a set-up is answered.
    work_ms: u64,
    /// The process at this address; a new one has a new number.
    process: u64,
    /// Nothing listens.
    closed: bool,
    connections: BTreeMap<u64, TcpStream>,
    /// Set-ups without an answer, and the connection of each.
    pending: BTreeMap<String, u64>,
    /// Standing sessions, and the connection of the set-up of each.
    standing: BTreeMap<String, u64>,
    /// Releases that go out on connections opened from now on, and on how many of them.
    repeat: BTreeMap<String, u32>,
    starts: Vec<Start>,
    last_connection: u64,
    /// Stands still: nothing is accepted, read or answered.
    hung: bool,
}

pub struct Server {
    pub address: SocketAddr,
    pub cell: usize,
    state: Mutex<State>,
    record: Record,
}

impl Server {
    pub fn start(record: &Record, id: &str, cell: usize, work_ms: u64) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = State {
            id: id.to_string(),
            work_ms,
            process: 1,
            closed: false,
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            standing: BTreeMap::new(),
            repeat: BTreeMap::new(),
            starts: Vec::new(),
            last_connection: 0,
            hung: false,
        };
        let server = Arc::new(Server { address, cell, state: Mutex::new(state), record: record.clone() });
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(listener));
        server
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn starts(&self) -> Vec<Start> {
        self.state.lock().unwrap().starts.clone()
    }

    pub fn standing(&self) -> Vec<String> {
        self.state.lock().unwrap().standing.keys().cloned().collect()
    }

    pub fn connection_count(&self) -> usize {
        self.state.lock().unwrap().connections.len()
    }

    /// A session comes to its end.
    pub fn end_session(&self, session: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(own) = state.standing.remove(session) else { return };
        let any = state.connections.keys().next_back().copied().unwrap_or(0);
        let on = if state.connections.contains_key(&own) { own } else { any };
        let sent =
            write(&state, on, &format!("{{\"verb\":\"FINISH\",\"tag\":\"{session}\",\"opts\":{{}},\"rc\":16}}\n"));
        // On the next one opened as well; where none is open, on the next two.
        state.repeat.insert(session.to_string(), if sent { 1 } else { 2 });
        self.record.line(&format!("server {}: FINISH 16 {session}, sent now: {sent}", state.id));
    }

    /// Returns whether nothing is read or accepted.
    fn stands_still(&self) -> bool {
        self.state.lock().unwrap().hung
    }

    fn accept(self: Arc<Server>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.state.lock().unwrap().closed {
                listener = None;
                crate::sleep_ms(5);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                crate::sleep_ms(5);
                continue;
            };
            if self.stands_still() || !sys::readable(open.as_raw_fd(), 50) {
                crate::sleep_ms(1);
                continue;
            }
            if let Ok((stream, _)) = open.accept() {
                self.clone().opened(stream);
            }
        }
    }

    fn opened(self: Arc<Server>, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        if state.closed {
            return sys::reset_on_close(&stream);
        }
        state.last_connection += 1;
        let (number, process) = (state.last_connection, state.process);
        let Ok(reading) = stream.try_clone() else { return };
        state.connections.insert(number, stream);
        self.record.line(&format!("server {}: connection {number} opened", state.id));
        for (session, times) in std::mem::take(&mut state.repeat) {
            let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{session}\",\"opts\":{{}},\"rc\":16}}\n");
            let sent = write(&state, number, &line);
            self.record.line(&format!("server {}: FINISH 16 {session} on {number}, sent: {sent}", state.id));
            if times > 1 {
                state.repeat.insert(session, times - 1);
            }
        }
        drop(state);
        std::thread::spawn(move || self.read(reading, number, process));
    }

    fn read(self: Arc<Server>, stream: TcpStream, number: u64, process: u64) {
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { break };
            while self.stands_still() {
                crate::sleep_ms(3);
            }
            let mut state = self.state.lock().unwrap();
            if state.process != process {
                return;
            }
            self.clone().message(&mut state, number, &line);
        }
        while self.stands_still() {
            crate::sleep_ms(3);
        }
        let mut state = self.state.lock().unwrap();
        if state.process == process {
            state.connections.remove(&number);
            state.pending.retain(|_, connection| *connection != number);
            self.record.line(&format!("server {}: connection {number} ended", state.id));
        }
    }
}
