//! The command channel of the live platform as a stand-in: numbered events, told to long polls.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Whether new events have come is looked for so often.
const LOOK: Duration = Duration::from_millis(5);

/// How the channel answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChannelCondition {
    #[default]
    Works,
    /// Requests get no answer; connections stay open.
    Silent,
    /// Connections are closed at once.
    Closed,
    /// Requests are answered with a status that is no success.
    Unavailable,
    /// Answers come this much later, the second half after the first.
    Slow(Duration),
}

#[derive(Default)]
struct State {
    events: Vec<Value>,
    condition: ChannelCondition,
    bytes: usize,
    ended: bool,
}

/// A command channel. Dropping it ends it.
pub struct CommandChannel {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl CommandChannel {
    /// Its first event carries the whole list.
    ///
    /// # Errors
    /// The system's, if nothing can be listened at.
    pub fn start(hosts: &[Value]) -> std::io::Result<CommandChannel> {
        CommandChannel::start_with(vec![event(1, true, hosts)])
    }

    /// Another channel that tells the same events so far.
    ///
    /// # Errors
    /// The system's, if nothing can be listened at.
    pub fn successor(&self) -> std::io::Result<CommandChannel> {
        CommandChannel::start_with(self.lock().events.clone())
    }

    fn start_with(events: Vec<Value>) -> std::io::Result<CommandChannel> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { events, ..State::default() }));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared).ended {
                    return;
                }
                let shared = shared.clone();
                std::thread::spawn(move || serve(&shared, &stream));
            }
        });
        Ok(CommandChannel { address, state })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The events so far, as the configuration of a start holds them.
    pub fn known(&self) -> Value {
        body(&self.lock(), 0)
    }

    /// Adds an event with changes to the list; its number.
    pub fn tell(&self, hosts: &[Value]) -> u64 {
        self.add(false, hosts)
    }

    /// Adds an event with the whole list; its number.
    pub fn tell_whole(&self, hosts: &[Value]) -> u64 {
        self.add(true, hosts)
    }

    fn add(&self, whole: bool, hosts: &[Value]) -> u64 {
        let mut state = self.lock();
        let number = state.events.len() as u64 + 1;
        state.events.push(event(number, whole, hosts));
        number
    }

    pub fn set_condition(&self, condition: ChannelCondition) {
        self.lock().condition = condition;
    }

    /// Bytes of answers told so far.
    pub fn bytes_told(&self) -> usize {
        self.lock().bytes
    }
}

impl Drop for CommandChannel {
    fn drop(&mut self) {
        self.lock().ended = true;
        // Wakes who waits to accept.
        _ = TcpStream::connect(self.address);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn event(number: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({ "cursor": number, "nodes": { "seq": number, "whole": whole, "hosts": hosts } })
}

fn body(state: &State, resume: u64) -> Value {
    let later: Vec<&Value> =
        state.events.iter().filter(|event| event["cursor"].as_u64() > Some(resume)).collect();
    json!({ "cursor": state.events.len(), "cmds": later })
}

/// Answers the requests of one connection until it ends.
fn serve(state: &Mutex<State>, stream: &TcpStream) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reading).lines();
    while let Some(request) = next_request(&mut lines) {
        if answer(state, stream, &request).is_err() {
            break;
        }
    }
    _ = stream.shutdown(Shutdown::Both);
}

struct Poll {
    resume: u64,
    until: Instant,
}

fn next_request(lines: &mut impl Iterator<Item = std::io::Result<String>>) -> Option<Poll> {
    let first = lines.next()?.ok()?;
    while !lines.next()?.ok()?.is_empty() {}
    let figure = |name: &str| -> u64 {
        let digits = first.split(name).nth(1).unwrap_or("0").split(['&', ' ']).next();
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    };
    Some(Poll { resume: figure("resume="), until: Instant::now() + Duration::from_millis(figure("block=")) })
}

fn answer(state: &Mutex<State>, mut stream: &TcpStream, poll: &Poll) -> std::io::Result<()> {
    loop {
        let (condition, news, ended) = {
            let state = lock(state);
            (state.condition, state.events.len() as u64 > poll.resume, state.ended)
        };
        match condition {
            _ if ended => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            ChannelCondition::Closed => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            ChannelCondition::Unavailable => {
                return stream.write_all(b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n");
            }
            ChannelCondition::Silent => {}
            _ if !news && Instant::now() < poll.until => {}
            ChannelCondition::Works => return say(state, stream, poll, Duration::ZERO),
            ChannelCondition::Slow(late) => return say(state, stream, poll, late),
        }
        std::thread::sleep(LOOK);
    }
}

fn say(state: &Mutex<State>, mut stream: &TcpStream, poll: &Poll, late: Duration) -> std::io::Result<()> {
    let body = {
        let mut state = lock(state);
        let body = body(&state, poll.resume).to_string();
        state.bytes += body.len();
        body
    };
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let (first, second) = body.split_at(body.len() / 2);
    std::thread::sleep(late / 2);
    stream.write_all(format!("{head}{first}").as_bytes())?;
    std::thread::sleep(late / 2);
    stream.write_all(second.as_bytes())
}
