//! A client's connection: sends set-ups and reads what comes for them, as PROTOCOL.md has it.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What came for a session.
#[derive(Clone, Debug)]
pub struct Message {
    pub at: f64,
    /// The first line.
    pub first: String,
    pub session: String,
    pub body: String,
}

impl Message {
    /// The status, if it is an answer.
    pub fn status(&self) -> Option<u16> {
        self.first.strip_prefix("RTSP/1.0 ")?.get(..3)?.parse().ok()
    }

    pub fn is_release(&self) -> bool {
        self.first.starts_with("TEARDOWN ")
    }
}

#[derive(Clone)]
pub struct Client {
    name: String,
    record: Record,
    stream: Arc<TcpStream>,
    messages: Arc<Mutex<Vec<Message>>>,
}

impl Client {
    pub fn connect(name: &str, manager: SocketAddr, record: &Record) -> std::io::Result<Client> {
        let stream = TcpStream::connect(manager)?;
        stream.set_nodelay(true)?;
        let client = Client {
            name: name.into(),
            record: record.clone(),
            stream: Arc::new(stream.try_clone()?),
            messages: Arc::default(),
        };
        let reading = client.clone();
        thread::spawn(move || {
            let mut input = BufReader::new(stream);
            while let Some(message) = read_message(&mut input, &reading.record) {
                let what = format!("reads: {} Session: {}", message.first, message.session);
                reading.record.note(&reading.name, &what);
                if let Ok(mut messages) = reading.messages.lock() {
                    messages.push(message);
                }
            }
            reading.record.note(&reading.name, "the connection has ended");
        });
        Ok(client)
    }

    /// Sends bytes at once; returns when.
    pub fn send(&self, text: &str, what: &str) -> f64 {
        let sent = (&*self.stream).write_all(text.as_bytes());
        self.record.note(&self.name, &format!("sends {what}{}", if sent.is_err() { " (failed)" } else { "" }))
    }

    pub fn set_up(&self, session: &str, request: &str) -> f64 {
        self.send(request, &format!("set-up {session}"))
    }

    /// Tests the manager until it passes.
    pub fn test(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        self.send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n", "test");
        while Instant::now() < until {
            if self.messages().iter().any(|message| message.status() == Some(200)) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Whether an answer to this set-up has come.
    pub fn has_answer(&self, session: &str) -> bool {
        self.messages.lock().is_ok_and(|messages| {
            messages.iter().any(|message| message.session == session && message.status().is_some())
        })
    }

    pub fn messages(&self) -> Vec<Message> {
        self.messages.lock().map(|messages| messages.clone()).unwrap_or_default()
    }
}

fn read_message(input: &mut BufReader<TcpStream>, record: &Record) -> Option<Message> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut headers: BTreeMap<String, String> = BTreeMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.insert(name.to_lowercase(), value.trim().into()),
            None => break,
        };
    }
    let length: usize = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let session = headers.remove("session").unwrap_or_default();
    Some(Message { at: record.now(), first, session, body: String::from_utf8_lossy(&body).into_owned() })
}

/// A set-up of a title that `copies` cells from `home` on hold.
pub fn set_up(
    session: &str,
    class: &str,
    patience_ms: u64,
    home: usize,
    copies: usize,
    description: &str,
) -> String {
    format!(
        "SETUP rtsp://media/title{home:04} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nSubject: {class}\r\n\
         X-Patience: {patience_ms}\r\nX-Facts: home:{home};copies:{copies};top:2;viewer:{session}\r\n\
         Content-Length: {}\r\n\r\n{description}",
        description.len()
    )
}

pub fn teardown(session: &str) -> String {
    format!("TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n")
}
