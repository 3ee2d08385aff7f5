//! One server: its sessions, its connections, and what it owes to whom.

use super::connection::{say, serve, set_condition, Condition, Output, SharedOutput};
use super::listening::{listen, Unreachable};
use super::record::MediaLog;
use super::{sessions, MediaSettings};
use async_executor::Task;
use ottersail_invariants::platform::{End, ServerEvent};
use ottersail_net::{Executor, Listener};
use serde_json::Value;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the release of a session that came to its end names.
const SERVED: u16 = 16;

pub(super) struct Session {
    connection: u64,
    ends_at: Instant,
    note_at: Option<Instant>,
}

/// Whether others reach it.
pub(super) enum Reach {
    Listens { listener: Rc<Listener>, _accepts: Task<()> },
    CutOff { _unreachable: Unreachable },
    Down,
}

pub struct Server {
    exec: Executor,
    number: usize,
    pub(super) address: SocketAddr,
    settings: MediaSettings,
    log: MediaLog,
    pub(super) reach: Reach,
    pub(super) connections: BTreeMap<u64, SharedOutput>,
    accepted: u64,
    pub(super) sessions: BTreeMap<String, Session>,
    /// Releases that are said on the next connection too.
    pub(super) said_again: Vec<String>,
}

impl Server {
    pub fn start(
        exec: Executor,
        number: usize,
        address: SocketAddr,
        settings: &MediaSettings,
        log: &MediaLog,
    ) -> io::Result<Rc<RefCell<Server>>> {
        let server = Rc::new(RefCell::new(Server {
            exec,
            number,
            address,
            settings: settings.clone(),
            log: log.clone(),
            reach: Reach::Down,
            connections: BTreeMap::new(),
            accepted: 0,
            sessions: BTreeMap::new(),
            said_again: Vec::new(),
        }));
        Server::begin_listening(&server)?;
        Ok(server)
    }

    pub(super) fn begin_listening(server: &Rc<RefCell<Server>>) -> io::Result<()> {
        let (exec, address) = (server.borrow().exec, server.borrow().address);
        server.borrow_mut().stop_listening();
        let listener = Rc::new(Listener::new(listen(address)?)?);
        let (accepting, accepted) = (Rc::downgrade(server), listener.clone());
        let accepts = exec.spawn(async move {
            while let Ok((stream, _)) = accepted.accept().await {
                let Some(server) = accepting.upgrade() else {
                    return;
                };
                let output = SharedOutput::default();
                let number = server.borrow_mut().connection_accepted(&output);
                exec.spawn(serve(accepting.clone(), number, stream, output)).detach();
            }
        });
        server.borrow_mut().reach = Reach::Listens { listener, _accepts: accepts };
        Ok(())
    }

    /// At once: its task would close the listener only in its next turn.
    pub(super) fn stop_listening(&mut self) {
        if let Reach::Listens { listener, .. } = &self.reach {
            _ = SockRef::from(listener.get_ref()).shutdown(Shutdown::Read);
        }
        self.reach = Reach::Down;
    }

    fn connection_accepted(&mut self, output: &SharedOutput) -> u64 {
        self.accepted += 1;
        self.connections.insert(self.accepted, output.clone());
        self.log.note(ServerEvent::Accepted { at: Instant::now(), server: self.number });
        self.said_again.drain(..).for_each(|line| say(output, &line));
        self.accepted
    }

    pub fn connection_closed(&mut self, number: u64) {
        self.connections.remove(&number);
    }

    /// What was given up by the time it is read does not begin: a machine that was cut off reads both at once.
    pub fn take_lines(&mut self, connection: u64, lines: &[String]) {
        let lines: Vec<Value> = lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect();
        for (at, line) in lines.iter().enumerate() {
            let given_up = |later: &Value| later["verb"] == "FINISH" && later["tag"] == line["tag"];
            if line["verb"] != "START" || !lines[at + 1..].iter().any(given_up) {
                self.take_line(connection, line);
            }
        }
    }

    fn take_line(&mut self, connection: u64, line: &Value) {
        let tag = line["tag"].as_str().unwrap_or("").to_string();
        match line["verb"].as_str() {
            Some("START") => self.begin(connection, tag),
            Some("FINISH") if self.sessions.contains_key(&tag) => self.over(&tag, End::Released),
            Some("ECHO") => self.say_on(connection, &sessions::echoed(&tag)),
            _ => {}
        }
    }

    fn begin(&mut self, connection: u64, session: String) {
        let (now, server) = (Instant::now(), self.number);
        self.log.note(ServerEvent::SetUp { at: now, server, session: session.clone() });
        self.say_on(connection, &sessions::started(&session));
        self.log.note(ServerEvent::Stands { at: now, server, session: session.clone() });
        let note_every = self.settings.note_every;
        let note_at = (note_every > Duration::ZERO).then(|| now + note_every);
        let ends_at = now + self.length_of(&session);
        self.sessions.insert(session, Session { connection, ends_at, note_at });
    }

    /// Equal for equal sessions and seeds.
    fn length_of(&self, session: &str) -> Duration {
        let id = u64::from_str_radix(session, 16).unwrap_or(0);
        let mut random = fastrand::Rng::with_seed(self.settings.seed ^ id);
        let life = &self.settings.life;
        life.start + (life.end - life.start).mul_f64(random.f64())
    }

    fn say_on(&self, connection: u64, line: &str) {
        self.connections.get(&connection).into_iter().for_each(|output| say(output, line));
    }

    /// The connection of its set-up, otherwise any open one.
    fn connection_for(&self, session: &Session) -> Option<&SharedOutput> {
        let own = self.connections.get(&session.connection);
        own.or_else(|| self.connections.values().next_back())
    }

    pub(super) fn over(&mut self, session: &str, end: End) {
        let Some(ended) = self.sessions.remove(session) else {
            return;
        };
        let mut could_tell = false;
        if end == End::Served {
            let line = sessions::finish(session, SERVED);
            could_tell = self.is_reachable() && self.connection_for(&ended).is_some();
            self.connection_for(&ended).into_iter().for_each(|output| say(output, &line));
            self.said_again.push(line);
        }
        let (at, server, session) = (Instant::now(), self.number, session.to_string());
        self.log.note(ServerEvent::Over { at, server, session, end, could_tell });
    }

    fn is_reachable(&self) -> bool {
        matches!(self.reach, Reach::Listens { .. })
    }

    /// Ends sessions and sends notes whose time has come.
    pub fn run_timers(&mut self) {
        let now = Instant::now();
        let due = |session: &Session| session.ends_at <= now;
        let ended: Vec<String> =
            self.sessions.iter().filter(|entry| due(entry.1)).map(|entry| entry.0.clone()).collect();
        ended.iter().for_each(|session| self.over(session, End::Served));
        let every = self.settings.note_every;
        let mut noted = Vec::new();
        for (name, session) in &mut self.sessions {
            if session.note_at.is_some_and(|at| at <= now) {
                session.note_at = Some(now + every);
                noted.push(name.clone());
            }
        }
        for name in noted {
            let output = self.connection_for(&self.sessions[&name]);
            output.into_iter().for_each(|output| say(output, &sessions::note(&name, "local", 0.5)));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let connections: Vec<&Rc<RefCell<Output>>> = self.connections.values().collect();
        connections.into_iter().for_each(|output| set_condition(output, Condition::Reset));
    }
}
