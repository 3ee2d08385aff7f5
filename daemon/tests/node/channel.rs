//! A stand-in of the command channel.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The command channel: what it tells, event by event, and how it ails.
#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    pub events: Arc<Mutex<Vec<Value>>>,
    /// Answers that break off in their middle, and that never come, before the next good one.
    pub breaks: Arc<AtomicUsize>,
    pub stops: Arc<AtomicUsize>,
}

impl Channel {
    pub fn new() -> Channel {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let channel = Channel {
            address: listener.local_addr().unwrap(),
            events: Arc::default(),
            breaks: Arc::default(),
            stops: Arc::default(),
        };
        let it = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                std::thread::spawn(move || it.serve(&stream));
            }
        });
        channel
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        loop {
            let Some(Ok(first)) = lines.next() else {
                return;
            };
            for line in lines.by_ref() {
                if line.map_or(true, |it| it.is_empty()) {
                    break;
                }
            }
            let figure = |name: &str| -> u64 {
                let rest = first.split(name).nth(1).unwrap_or("0");
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            };
            let (last, block) = (figure("resume="), figure("block="));
            let until = Instant::now() + Duration::from_millis(block);
            let mut news: Vec<Value> = Vec::new();
            while news.is_empty() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(10));
                let events = self.events.lock().unwrap();
                news = events.iter().filter(|it| it["cursor"].as_u64() > Some(last)).cloned().collect();
            }
            let cursor = news.last().map_or(last, |it| it["cursor"].as_u64().unwrap());
            let body = json!({ "cursor": cursor, "cmds": news }).to_string();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let takes =
                |it: &AtomicUsize| it.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
            if !news.is_empty() && takes(&self.stops).is_ok() {
                std::thread::sleep(Duration::from_secs(20));
                return;
            }
            let broken = !news.is_empty() && takes(&self.breaks).is_ok();
            let bytes = if broken { &answer.as_bytes()[..answer.len() - 20] } else { answer.as_bytes() };
            let mut stream = stream;
            if stream.write_all(bytes).is_err() || broken {
                _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    pub fn tell(&self, number: u64, hosts: &[Value]) {
        let nodes = json!({ "seq": number, "whole": false, "hosts": hosts });
        self.events.lock().unwrap().push(json!({ "cursor": number, "nodes": nodes }));
    }
}
