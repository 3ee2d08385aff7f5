//! Viewers: connections on which set-ups are sent, and what came back for each of them.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// What one set-up led to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub patience_ms: u64,
    /// When its last byte was written.
    pub sent: f64,
    /// Time and status of each answer.
    pub answers: Vec<(f64, u16)>,
    /// When the session was released by the manager.
    pub released: Option<f64>,
}

impl Outcome {
    pub fn stands(&self) -> bool {
        self.answers.iter().any(|(_, status)| *status == 200)
    }
}

/// All viewers of a case.
pub struct Viewers {
    pub outcomes: Mutex<BTreeMap<String, Outcome>>,
    record: Record,
    manager: SocketAddr,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    /// The other side has closed it: nothing more is sent on it.
    ended: Arc<AtomicBool>,
    viewers: Arc<Viewers>,
}

/// A set-up's figures: first cell, number of cells, highest rung.
pub struct SetUp<'a> {
    pub class: &'a str,
    pub title: &'a str,
    pub patience_ms: u64,
    pub home: usize,
    pub copies: usize,
    pub top: usize,
}

impl Viewers {
    pub fn new(record: &Record, manager: SocketAddr) -> Arc<Viewers> {
        Arc::new(Viewers { outcomes: Mutex::default(), record: record.clone(), manager })
    }

    /// Opens a connection and reads what comes on it.
    pub fn connect(self: &Arc<Viewers>) -> Option<Connection> {
        let stream = TcpStream::connect(self.manager).ok()?;
        _ = stream.set_nodelay(true);
        let (viewers, reading) = (self.clone(), stream.try_clone().ok()?);
        let ended = Arc::new(AtomicBool::new(false));
        let noted = ended.clone();
        std::thread::spawn(move || {
            viewers.read(reading);
            noted.store(true, Ordering::SeqCst);
        });
        Some(Connection { stream, ended, viewers: self.clone() })
    }

    fn read(&self, stream: TcpStream) {
        let (Ok(mut writing), mut reader) = (stream.try_clone(), BufReader::new(stream.try_clone().unwrap())) else {
            return;
        };
        while let Some((first, headers)) = read_head(&mut reader) {
            let length = header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0u8; length];
            if reader.read_exact(&mut body).is_err() {
                break;
            }
            let session = header(&headers, "session").unwrap_or_default();
            let now = self.record.now();
            let cseq = header(&headers, "cseq").unwrap_or_default();
            self.record.line(&format!("viewer: got \"{first}\" CSeq {cseq} session {session}"));
            let mut outcomes = self.outcomes.lock().unwrap();
            let outcome = outcomes.entry(session.clone()).or_default();
            if let Some(status) = first.strip_prefix("RTSP/1.0 ") {
                let status: u16 = status[..3].parse().unwrap_or(0);
                if cseq == "1" && status >= 200 {
                    outcome.answers.push((now, status));
                }
            } else if first.starts_with("TEARDOWN") {
                outcome.released.get_or_insert(now);
                let answer =
                    format!("RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n");
                _ = writing.write_all(answer.as_bytes());
            }
        }
    }
}

impl Connection {
    /// Sends a set-up under this id.
    pub fn set_up(&mut self, id: &str, it: &SetUp) -> bool {
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let body = format!("{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        let SetUp { class, title, patience_ms, home, copies, top } = it;
        let viewer = &id[8..];
        let text = format!(
            "SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nSubject: {class}\r\n\
             X-Patience: {patience_ms}\r\nX-Facts: home:{home};copies:{copies};top:{top};viewer:00000000{viewer}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut outcomes = self.viewers.outcomes.lock().unwrap();
        if self.stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        let sent = self.viewers.record.now();
        outcomes.insert(id.to_string(), Outcome { patience_ms: *patience_ms, sent, ..Outcome::default() });
        drop(outcomes);
        self.viewers.record.line(&format!("viewer: SETUP {id} title {} class {}", it.title, it.class));
        true
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            let first: String = lines.first().cloned()?;
            return Some((first, lines));
        }
        lines.push(line);
    }
}

fn header(lines: &[String], name: &str) -> Option<String> {
    let pairs = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let mut values = pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_string())
}
