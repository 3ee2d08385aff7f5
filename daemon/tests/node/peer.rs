//! Stand-ins of video servers and viewers.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a server makes of a line: lines to send back; none closes the connection.
pub trait Act: Fn(&Value) -> Option<String> + Send + Sync + 'static {}
impl<F: Fn(&Value) -> Option<String> + Send + Sync + 'static> Act for F {}

pub struct Peer {
    pub address: SocketAddr,
    pub heard: Arc<Mutex<Vec<Value>>>,
    pub open: Arc<Mutex<Vec<TcpStream>>>,
    /// Written when the other side closes a connection.
    pub last: Arc<Mutex<String>>,
}

pub fn started(line: &Value) -> String {
    format!("{}\n", json!({ "verb": "STARTED", "tag": line["tag"], "opts": {}, "blob": "good\r\n" }))
}

pub fn well(line: &Value) -> Option<String> {
    Some(if line["verb"] == "START" { started(line) } else { String::new() })
}

impl Peer {
    pub fn new(act: impl Act) -> Peer {
        let act: Arc<dyn Act> = Arc::new(act);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = Peer {
            address: listener.local_addr().unwrap(),
            heard: Arc::default(),
            open: Arc::default(),
            last: Arc::default(),
        };
        let (heard, open, last) = (peer.heard.clone(), peer.open.clone(), peer.last.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let (act, heard, last) = (act.clone(), heard.clone(), last.clone());
                std::thread::spawn(move || {
                    for line in BufReader::new(stream.try_clone().unwrap()).lines() {
                        let Some(line) = line.ok().and_then(|it| serde_json::from_str::<Value>(&it).ok())
                        else {
                            break;
                        };
                        heard.lock().unwrap().push(line.clone());
                        let Some(answer) = act(&line) else {
                            break;
                        };
                        if (&stream).write_all(answer.as_bytes()).is_err() {
                            break;
                        }
                    }
                    _ = (&stream).write_all(last.lock().unwrap().as_bytes());
                    _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        peer
    }

    pub fn heard(&self, verb: &str, tag: &str) -> bool {
        self.heard.lock().unwrap().iter().any(|it| it["verb"] == verb && it["tag"] == tag)
    }
}

pub fn host(name: &str, at: SocketAddr, health: &str) -> Value {
    json!({ "host": name, "dial": at.to_string(), "site": "z", "class": "k", "block": 0, "share": 1,
        "health": health, "born_ms": 0 })
}

pub struct Viewer {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Viewer {
    pub fn try_new(address: SocketAddr) -> Option<Viewer> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
        Some(Viewer { stream, unread: Vec::new() })
    }

    pub fn new(address: SocketAddr) -> Viewer {
        Viewer::try_new(address).unwrap()
    }

    pub fn say(&mut self, text: &str) {
        _ = self.stream.write_all(text.as_bytes());
    }

    /// The next message without a body's bytes; none at the end of the connection.
    pub fn hears(&mut self) -> Option<String> {
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length = head.split("Content-Length: ").nth(1)?.lines().next()?.parse::<usize>().ok()?;
                if rest.len() >= length {
                    self.unread.drain(..head.len() + 4 + length);
                    return Some(format!("{head}\r\n\r\n{}", &rest[..length]));
                }
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece) {
                Ok(count) if count > 0 => self.unread.extend_from_slice(&piece[..count]),
                _ => return None,
            }
        }
    }

    pub fn tests(&mut self) -> bool {
        self.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        self.hears().is_some_and(|it| it.starts_with("RTSP/1.0 200"))
    }

    pub fn asks(&mut self, id: &str) -> String {
        self.say(&set_up(id));
        self.hears().unwrap_or_default()
    }
}

pub fn set_up(id: &str) -> String {
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id}\r\nSubject: clips\r\n\
         X-Patience: 4000\r\nX-Facts: home:0;copies:1;top:1;viewer:00000000b4d65521\r\n\
         Content-Length: 3\r\n\r\nx\r\n"
    )
}

pub const ONE: &str = "00000000000000a1";
pub const TWO: &str = "00000000000000a2";
