//! An open-loop load: arrivals do not wait for answers.

use crate::library::TITLES;
use hdrhistogram::Histogram;
use hyper::{Method, StatusCode};
use ottersail_net::{block_on, executor, Client, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("good bounds")
}

pub fn load_once(address: SocketAddr) -> bool {
    let exec = executor();
    let client = Client::new(exec, Duration::from_millis(200), 0, Duration::ZERO);
    let to = address.to_string();
    let ask = client.exchange(&to, Client::request(Method::GET, &to, "/ready"), 1 << 16, || true);
    block_on(exec.run(ask)).is_ok_and(|it| it.status == StatusCode::OK)
}

/// Arrivals by chance at that rate; times from when each was due.
pub fn load(address: SocketAddr, rate: f64, seconds: f64, seed: u64) -> (Histogram<u64>, u64, u64) {
    let exec = executor();
    let client = Rc::new(Client::new(exec, Duration::from_secs(2), 4096, Duration::from_secs(30)));
    let shared = Rc::new(RefCell::new((histogram(), 0u64, 0u64)));
    let out = Rc::new(Cell::new(0usize));
    let mut rng = fastrand::Rng::with_seed(seed);
    block_on(exec.run(async {
        let began = Instant::now();
        let mut at = began;
        while at < began + Duration::from_secs_f64(seconds) {
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if at > Instant::now() {
                Timer::at(at).await;
            }
            let (client, shared, out, due) = (client.clone(), shared.clone(), out.clone(), at);
            let path = format!("/watch/t-{}?package=clips&best=3&patience-ms=4000", rng.usize(..TITLES));
            out.set(out.get() + 1);
            exec.spawn(async move {
                let to = address.to_string();
                let answer =
                    client.exchange(&to, Client::request(Method::GET, &to, &path), 1 << 16, || true).await;
                let mut it = shared.borrow_mut();
                match answer {
                    Ok(answer) => {
                        it.0.saturating_record(due.elapsed().as_micros() as u64);
                        it.1 += u64::from(answer.status != StatusCode::OK);
                    }
                    Err(_) => it.2 += 1,
                }
                out.set(out.get() - 1);
            })
            .detach();
        }
        let end = Instant::now() + Duration::from_secs(6);
        while out.get() > 0 && Instant::now() < end {
            Timer::after(Duration::from_millis(10)).await;
        }
    }));
    let lost = out.get() as u64;
    let it = shared.borrow();
    (it.0.clone(), it.1, it.2 + lost)
}
