//! What all players share.

use crate::day::Day;
use crate::record::Recorder;
use crate::wires::Behind;
use hyper::{Method, Request};
use ottersail_invariants::Event;
use ottersail_net::{Body, Client, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a crowd needs to know.
#[derive(Clone)]
pub struct Crowd {
    pub day: Day,
    pub recorder: Recorder,
    /// Each manager's address, and the zone of each.
    pub managers: Vec<SocketAddr>,
    pub zones: Vec<String>,
    /// Other sockets that nonsense is talked to.
    pub sockets: Vec<SocketAddr>,
    /// What stands behind the relays, which are the managers' only.
    pub behind: Behind,
    /// The day's beginning, in milliseconds since 1970.
    pub began: f64,
}

pub(super) struct World {
    pub crowd: Arc<Crowd>,
    /// For requests whose connection is closed to leave.
    pub asking: Client,
    /// For all else.
    pub client: Client,
    pub rng: RefCell<fastrand::Rng>,
    pub asks: Cell<u64>,
    pub watching: Cell<usize>,
    /// A ticket of somebody else's, for those who try it.
    pub foreign: RefCell<String>,
    /// Managers that could not be reached, and when: passed over for a while, as by the load balancer before
    /// them.
    pub down: RefCell<BTreeMap<usize, f64>>,
}

/// How long a manager that could not be reached is passed over.
const PASSED_OVER: f64 = 1_000.0;

pub(super) const SEGMENT_PATIENCE: Duration = Duration::from_secs(4);
pub(super) const MOST: usize = 1 << 20;

impl World {
    pub fn part(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    pub fn now(&self) -> f64 {
        self.crowd.recorder.clock().now()
    }

    pub fn note(&self, event: Event) {
        self.crowd.recorder.note(event);
    }

    pub fn next_ask(&self) -> u64 {
        self.asks.set(self.asks.get() + 1);
        self.asks.get()
    }

    /// One of the managers of its zone, or any if the zone has none.
    pub fn manager(&self, zone: &str) -> usize {
        let crowd = &self.crowd;
        let now = self.now();
        self.down.borrow_mut().retain(|_, it| now - *it < PASSED_OVER);
        let down = self.down.borrow();
        let up: Vec<usize> = (0..crowd.managers.len()).filter(|it| !down.contains_key(it)).collect();
        let all = if up.is_empty() { (0..crowd.managers.len()).collect() } else { up };
        let near: Vec<usize> = all.iter().copied().filter(|it| crowd.zones[*it] == zone).collect();
        let from = if near.is_empty() { &all } else { &near };
        from[(self.part().powf(1.0 + crowd.day.lean) * from.len() as f64) as usize % from.len()]
    }

    pub fn request(address: &str, path: &str, ask: u64) -> Request<Body> {
        let mut request = Client::request(Method::GET, address, path);
        let trace = format!("00-{ask:032x}-{ask:016x}-01");
        if let Ok(trace) = trace.parse() {
            request.headers_mut().insert("traceparent", trace);
        }
        request
    }
}

pub(super) async fn within<T>(span: Duration, future: impl std::future::Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(span).await;
        None
    })
    .await
}

pub(super) async fn pause(ms: f64) {
    Timer::after(Duration::from_secs_f64(ms.clamp(0.0, 60_000.0) / 1e3)).await;
}

/// `http://host:port/path` in its two parts.
pub(super) fn split(url: &str) -> Option<(&str, &str)> {
    let rest = url.strip_prefix("http://")?;
    let at = rest.find('/')?;
    Some((&rest[..at], &rest[at..]))
}
