//! The command channel: numbered events over HTTP/1.1, asked for with a wait.

use crate::record::{give_up, Record};
use crate::sys;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    events: Vec<String>,
    down: bool,
}

pub struct Channel {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Channel {
    pub fn start(record: &Record) -> Arc<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let (state, changed) = (Mutex::default(), Condvar::new());
        let channel = Arc::new(Channel { address, state, changed, record: record.clone() });
        let accepting = channel.clone();
        std::thread::spawn(move || accepting.accept(listener));
        channel
    }

    /// Adds an event with these hosts (JSON objects), which counts as told from now on. Returns when.
    pub fn tell(&self, whole: bool, hosts: &[String]) -> f64 {
        let mut state = self.state.lock().unwrap();
        let cursor = state.events.len() + 1;
        let list = hosts.join(",");
        state.events.push(format!(
            "{{\"cursor\":{cursor},\"nodes\":{{\"seq\":{cursor},\"whole\":{whole},\"hosts\":[{list}]}}}}"
        ));
        self.record.line(&format!("channel: event {cursor} told, {} hosts", hosts.len()));
        self.changed.notify_all();
        self.record.now()
    }

    /// All events up to now, as the configuration and an answer hold them.
    pub fn known(&self) -> String {
        answer(&self.state.lock().unwrap().events, 0)
    }

    /// Takes the channel out of reach: open connections end, new ones are refused. Or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
        self.record.line(if down { "channel: out of reach" } else { "channel: within reach again" });
    }

    fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    fn accept(self: Arc<Channel>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.is_down() {
                listener = None;
                crate::sleep_ms(10);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else { continue };
            if sys::readable(open.as_raw_fd(), 20) {
                if let Ok((stream, _)) = open.accept() {
                    let channel = self.clone();
                    std::thread::spawn(move || channel.serve(stream));
                }
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut piece = [0u8; 4096];
        loop {
            while !head.windows(4).any(|end| end == b"\r\n\r\n") {
                while !sys::readable(stream.as_raw_fd(), 20) {
                    if self.is_down() {
                        return;
                    }
                }
                match stream.read(&mut piece) {
                    Ok(count) if count > 0 => head.extend_from_slice(&piece[..count]),
                    _ => return,
                }
            }
            let request = String::from_utf8_lossy(&head).to_string();
            head.clear();
            let figure = |name: &str| -> u64 {
                let start = request.find(name).map_or(request.len(), |at| at + name.len());
                let digits = request[start..].chars().take_while(char::is_ascii_digit);
                digits.collect::<String>().parse().unwrap_or(0)
            };
            let (resume, wait) = (figure("resume=") as usize, figure("block=").min(5_000));
            let until = Instant::now() + Duration::from_millis(wait);
            let mut state = self.state.lock().unwrap();
            while state.events.len() <= resume && !state.down && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            if state.down {
                return;
            }
            let body = answer(&state.events, resume);
            drop(state);
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n");
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn answer(events: &[String], resume: usize) -> String {
    let later = events.get(resume..).unwrap_or(&[]).join(",");
    format!("{{\"cursor\":{},\"cmds\":[{later}]}}", events.len())
}
