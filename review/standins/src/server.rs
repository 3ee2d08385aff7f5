//! A video server: takes set-ups, answers them, and lets sessions play to their end.
//! JSON lines as PROTOCOL.md has them.

mod notes;
mod reach;
mod types;

use crate::json;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
pub use types::{Ended, Manner, SetUp};

struct Playing {
    live: bool,
    connection: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    draining: bool,
    /// Cut off: nothing gets through in either direction, and nothing is lost.
    cut: bool,
    held: Vec<(u64, String)>,
    fillers: Vec<SocketAddr>,
    next_connection: u64,
    /// Answers since the last one that stopped short.
    answers: usize,
    /// Connections of no further use: nothing that is written there arrives, and nothing is read from there.
    useless: BTreeSet<u64>,
    ended: Vec<Ended>,
    connections: BTreeMap<u64, TcpStream>,
    waiting: BTreeMap<String, Playing>,
    playing: BTreeMap<String, Playing>,
    released: BTreeSet<String>,
    set_ups: Vec<SetUp>,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    manner: Manner,
    record: Record,
    listener: Arc<TcpListener>,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a server on a free port.
    pub fn start(id: &str, ip: &str, manner: Manner, record: &Record) -> Server {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let state = Arc::new(Mutex::new(State::default()));
        let (listener, record) = (Arc::new(listener), record.clone());
        let server = Server { id: id.into(), address, manner, record, listener, state };
        server.live();
        server
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// From now on new set-ups are turned away; what plays goes on.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    pub fn set_ups(&self) -> Vec<SetUp> {
        self.state().set_ups.clone()
    }

    pub fn ended(&self) -> Vec<Ended> {
        self.state().ended.clone()
    }

    /// Number of sessions that stand here.
    pub fn standing(&self) -> usize {
        self.state().playing.len()
    }

    fn live(&self) {
        let accepting = self.clone();
        thread::spawn(move || {
            for stream in accepting.listener.incoming().flatten() {
                accepting.wait_while_cut_off();
                let from = stream.peer_addr();
                if from.is_ok_and(|from| !accepting.state().fillers.contains(&from)) {
                    accepting.serve(stream);
                }
            }
        });
        let ending = self.clone();
        thread::spawn(move || loop {
            ending.run_due();
            thread::sleep(Duration::from_millis(5));
        });
    }

    fn serve(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let id = {
            let mut state = self.state();
            state.next_connection += 1;
            let id = state.next_connection;
            // A release is sent on the next connection opened as well.
            let mut stream = stream;
            for tag in std::mem::take(&mut state.released) {
                _ = stream.write_all(finish(&tag, 16).as_bytes());
            }
            state.connections.insert(id, stream);
            id
        };
        let server = self.clone();
        thread::spawn(move || {
            for line in BufReader::new(reading).lines() {
                let Ok(line) = line else { break };
                server.wait_while_cut_off();
                server.handle(id, &line);
            }
            server.wait_while_cut_off();
            // Closing a connection gives up the set-ups that are open on it.
            let mut state = server.state();
            state.connections.remove(&id);
            state.useless.remove(&id);
            state.waiting.retain(|_, set_up| set_up.connection != id);
        });
    }

    fn handle(&self, connection: u64, line: &str) {
        let (verb, tag) = (json::text(line, "verb").unwrap_or(""), json::text(line, "tag").unwrap_or(""));
        let mut state = self.state();
        if state.useless.contains(&connection) {
            return;
        }
        match verb {
            "START" => {
                let at = self.record.note(&self.id, &format!("set-up {tag} arrives"));
                state.set_ups.push(SetUp { at, tag: tag.into() });
                if state.draining {
                    self.record.note(&self.id, &format!("set-up {tag} is turned away: draining"));
                    self.send(&mut state, connection, &finish(tag, 34));
                } else {
                    let until = Instant::now() + self.manner.answers_after;
                    state.waiting.insert(
                        tag.into(),
                        Playing {
                            live: json::text(line, "class") == Some("live-audition"),
                            connection,
                            until,
                        },
                    );
                }
            }
            "FINISH" => {
                self.record
                    .note(&self.id, &format!("release of {tag}, cause {:?}", json::number(line, "rc")));
                state.waiting.remove(tag);
                state.playing.remove(tag);
                self.send(
                    &mut state,
                    connection,
                    &format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n"),
                );
            }
            "ECHO" => self.send(
                &mut state,
                connection,
                &format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":1}}\n"),
            ),
            _ => {}
        }
    }

    /// Answers set-ups and ends sessions that are due.
    fn run_due(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let due = |map: &BTreeMap<String, Playing>| -> Vec<String> {
            map.iter().filter(|(_, entry)| entry.until <= now).map(|(tag, _)| tag.clone()).collect()
        };
        for tag in due(&state.waiting) {
            let Some(entry) = state.waiting.remove(&tag) else { continue };
            self.record.note(&self.id, &format!("session {tag} stands"));
            let blob = description(&self.id, &tag).replace("\r\n", "\\r\\n");
            let line =
                format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"{blob}\"}}\n");
            state.answers += 1;
            let short = self.manner.one_stops_short_of;
            if short > 0 && state.answers >= short {
                state.answers = 0;
                self.record.note(
                    &self.id,
                    &format!("the answer {tag} stops short on connection {}", entry.connection),
                );
                self.send(&mut state, entry.connection, &line[..line.len() / 2]);
                state.useless.insert(entry.connection);
            } else {
                self.send(&mut state, entry.connection, &line);
            }
            let plays_for = if entry.live { self.manner.live_plays_for } else { self.manner.plays_for };
            state.playing.insert(tag, Playing { until: now + plays_for, ..entry });
        }
        for tag in due(&state.playing) {
            let Some(entry) = state.playing.remove(&tag) else { continue };
            let at = self
                .record
                .note(&self.id, &format!("session {tag} comes to its end, connection {}", entry.connection));
            state.ended.push(Ended { at, tag: tag.clone() });
            let other = state.connections.keys().rev().find(|id| !state.useless.contains(id)).copied();
            let open = state.connections.contains_key(&entry.connection).then_some(entry.connection);
            if let Some(connection) = open.or(other) {
                self.send(&mut state, connection, &finish(&tag, 16));
            }
            state.released.insert(tag);
        }
    }

    fn send(&self, state: &mut State, connection: u64, line: &str) {
        if state.cut {
            state.held.push((connection, line.into()));
        } else if state.useless.contains(&connection) {
            self.record.note(&self.id, &format!("does not arrive on connection {connection}: {line}"));
        } else if let Some(stream) = state.connections.get_mut(&connection) {
            _ = stream.write_all(line.as_bytes());
        }
    }
}

/// The description that a server gives for a session.
pub fn description(server: &str, tag: &str) -> String {
    format!("{server}-{tag}\r\nm=video 31000 RTP/AVP 96\r\n")
}

fn finish(tag: &str, cause: i64) -> String {
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":{cause}}}\n")
}
