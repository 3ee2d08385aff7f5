//! A list that changes, servers that write down what they hear, and viewers who ask again and again.

use crate::peer::{answer, get, well, within, Peer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";

/// Servers as a list tells them: name, address, state, when it started.
pub type Row = (&'static str, SocketAddr, &'static str, f64);

pub fn list(index: usize, rows: &[Row]) -> Vec<u8> {
    let row = |(id, at, state, started): &Row| {
        let meta = format!(
            r#"{{"zone":"a","kind":"k","cell":"0","weight":"1","state":"{state}","started-ms":"{started}"}}"#
        );
        let (host, port) = (at.ip(), at.port());
        format!(r#"{{"Service":{{"ID":"{id}","Address":"{host}","Port":{port},"Meta":{meta}}},"Checks":[]}}"#)
    };
    let rows: Vec<String> = rows.iter().map(row).collect();
    answer("200 OK", &format!("x-consul-index: {index}\r\n"), &format!("[{}]", rows.join(",")))
}

/// Set-ups as servers hear them: when, at which, the request's line.
pub type Heard = Arc<Mutex<Vec<(Instant, &'static str, String)>>>;

/// A server that plays all, and writes down its set-ups.
pub fn server(id: &'static str, heard: &Heard) -> Peer {
    let heard = heard.clone();
    Peer::new(move |line: &str, me| {
        if line.starts_with("PUT") && !line.contains("/rung/") {
            heard.lock().unwrap().push((Instant::now(), id, line.trim().to_string()));
        }
        well(line, me)
    })
}

/// Asks on so many threads until told to stop; how the answers began.
pub struct Askers {
    pub stop: Arc<AtomicBool>,
    pub threads: Vec<std::thread::JoinHandle<Vec<String>>>,
}

impl Askers {
    pub fn start(count: usize, address: SocketAddr, path: &'static str) -> Askers {
        let stop = Arc::new(AtomicBool::new(false));
        let ask = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    answers.push(get(address, path).chars().take(12).collect());
                    // Places and links must last for the test.
                    std::thread::sleep(Duration::from_millis(30));
                }
                answers
            })
        };
        Askers { threads: (0..count).map(ask).collect(), stop }
    }

    /// How often each answer was had.
    pub fn end(self) -> BTreeMap<String, usize> {
        self.stop.store(true, Ordering::Relaxed);
        let all = self.threads.into_iter().flat_map(|it| it.join().unwrap());
        all.fold(BTreeMap::new(), |mut counts, it| {
            *counts.entry(it).or_default() += 1;
            counts
        })
    }
}

pub fn played(answers: &BTreeMap<String, usize>) -> usize {
    answers.get("HTTP/1.1 200").copied().unwrap_or(0)
}

/// An answer that ends a request, also one that was given up.
pub fn is_final(it: &String) -> bool {
    ["200", "503", "502", "504"].iter().any(|status| *it == format!("HTTP/1.1 {status}"))
}

/// A list that can be changed, with blocking reads, and when each state of it was first told.
pub struct Told {
    pub peer: Peer,
    pub rows: Arc<Mutex<(usize, Vec<Row>)>>,
    pub told: Arc<Mutex<Vec<(usize, Instant)>>>,
}

impl Told {
    pub fn new(rows: Vec<Row>) -> Told {
        let rows = Arc::new(Mutex::new((1, rows)));
        let told: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
        let (seen, said) = (rows.clone(), told.clone());
        let peer = Peer::new(move |line: &str, me| {
            if !line.contains("/v1/health/") {
                return well(line, me);
            }
            let known = line.split("index=").nth(1).and_then(|it| it.split([' ', '&']).next()?.parse().ok());
            within(Duration::from_millis(300), || known != Some(seen.lock().unwrap().0));
            let (index, rows) = seen.lock().unwrap().clone();
            said.lock().unwrap().push((index, Instant::now()));
            (Duration::ZERO, list(index, &rows))
        });
        Told { peer, rows, told }
    }

    pub fn change(&self, rows: Vec<Row>) -> usize {
        let mut it = self.rows.lock().unwrap();
        *it = (it.0 + 1, rows);
        it.0
    }

    pub fn first_told(&self, index: usize) -> Instant {
        assert!(within(Duration::from_secs(3), || self.told.lock().unwrap().iter().any(|it| it.0 >= index)));
        self.told.lock().unwrap().iter().find(|it| it.0 >= index).unwrap().1
    }
}
