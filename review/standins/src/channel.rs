//! The command channel: numbered events over HTTP/1.1 with a blocking query, as PROTOCOL.md has them.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// The hosts of each event; the first is the whole list.
    events: Vec<String>,
    /// How much later each answer comes than it should.
    late: Duration,
}

#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Channel {
    pub fn start(record: &Record) -> Channel {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let channel = Channel { address, record: record.clone(), state: Arc::default() };
        let accepting = channel.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        channel
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds an event with these hosts; returns when it stands in the channel.
    pub fn tell(&self, hosts: &str, what: &str) -> f64 {
        let mut state = self.state();
        state.events.push(hosts.into());
        self.record.note("channel", &format!("event {}: {what}", state.events.len()))
    }

    /// From now on each answer comes this much later.
    pub fn answer_late(&self, late: Duration) {
        self.record.note("channel", &format!("answers come {} ms late from now on", late.as_millis()));
        self.state().late = late;
    }

    /// All events so far, in the form that the configuration and the answers have.
    pub fn events_after(&self, last: usize) -> String {
        let state = self.state();
        let event = |(index, hosts): (usize, &String)| {
            let (number, whole) = (index + 1, index == 0);
            format!("{{\"cursor\":{number},\"nodes\":{{\"seq\":{number},\"whole\":{whole},\"hosts\":[{hosts}]}}}}")
        };
        let events: Vec<String> = state.events.iter().enumerate().skip(last).map(event).collect();
        format!("{{\"cursor\":{},\"cmds\":[{}]}}", state.events.len(), events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut lines = BufReader::new(reading).lines();
        while let Some(Ok(request)) = lines.next() {
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let figure = |name: &str| {
                let rest = request.split(name).nth(1)?;
                rest[..rest.find(|char: char| !char.is_ascii_digit())?].parse::<u64>().ok()
            };
            let (last, block) =
                (figure("resume=").unwrap_or(0) as usize, figure("block=").unwrap_or(0).min(5000));
            let asked = Instant::now();
            while self.state().events.len() <= last && asked.elapsed() < Duration::from_millis(block) {
                thread::sleep(Duration::from_millis(5));
            }
            let body = self.events_after(last);
            let late = self.state().late;
            thread::sleep(late);
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
            let answer = format!("{head} {}\r\n\r\n{body}", body.len());
            let sent = stream.write_all(answer.as_bytes());
            if last < self.state().events.len() || sent.is_err() {
                let what = if sent.is_ok() { "is answered" } else { "was given up before its answer" };
                self.record
                    .note("channel", &format!("the call from {last} on {what} after {:?}", asked.elapsed()));
            }
            if sent.is_err() {
                return;
            }
        }
    }
}

/// One host of an event.
pub fn host(id: &str, address: SocketAddr, cell: usize, health: &str, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{id}\",\"dial\":\"{address}\",\"site\":\"floor\",\"class\":\"box\",\"block\":{cell},\
         \"health\":\"{health}\",\"share\":1,\"born_ms\":{born_ms}}}"
    )
}
