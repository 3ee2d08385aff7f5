//! Records how many other managers each manager considers alive, suspect, dead or departed, as
//! reported by its metrics.

use crate::settings::day::DayPlan;
use ottersail_fake_servers::{FaultKind, Recorder};
use ottersail_invariants::Event;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Limit for each step of a request to a manager, so that a stopped manager is not waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// How often it is checked whether the day is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Queries all managers. `settled` means that all of them run and that no fault has affected members for a long
/// time, so that each manager must consider all others alive.
pub(super) fn record_views(managers: &[SocketAddr], settled: bool, recorder: &Recorder) {
    for (manager, address) in managers.iter().enumerate() {
        let metrics = read_metrics(*address).unwrap_or_default();
        let count = |state: &str| metric(&metrics, &format!("ottersail_members{{state=\"{state}\"}} "));
        let [alive, suspect, dead, left] = ["alive", "suspect", "dead", "left"].map(count);
        let (others, answered) = (managers.len() - 1, alive.is_some());
        let counts = [alive, suspect, dead, left].map(Option::unwrap_or_default);
        if answered || settled {
            recorder.note(Event::Believes { manager, others, counts, settled });
        }
    }
}

/// The value of the first metric line that starts with `prefix`.
fn metric(metrics: &str, prefix: &str) -> Option<usize> {
    metrics.lines().find_map(|line| line.strip_prefix(prefix))?.trim().parse().ok()
}

fn read_metrics(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: manager\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Starts a thread that queries all managers at the end of each fault that affects members, until the day is
/// over.
pub(super) fn record_views_after_faults(
    plan: &DayPlan,
    managers: Vec<SocketAddr>,
    began: Instant,
    recorder: &Recorder,
    day_over: Arc<AtomicBool>,
) {
    let affects_members = |kind| {
        matches!(
            kind,
            FaultKind::GossipLoss
                | FaultKind::GossipCut
                | FaultKind::GossipSlow
                | FaultKind::ManagerKill
                | FaultKind::ManagerRoll
                | FaultKind::ManagerRestart
                | FaultKind::ManagerStall
        )
    };
    let faults = plan.day.faults.iter().filter(|fault| affects_members(fault.kind));
    let mut query_times: Vec<f64> = faults.map(|fault| fault.end).collect();
    query_times.sort_by(f64::total_cmp);
    let recorder = recorder.clone();
    std::thread::spawn(move || {
        for second in query_times {
            let query_time = began + Duration::from_secs_f64(second);
            while Instant::now() < query_time {
                if day_over.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(POLL_INTERVAL);
            }
            record_views(&managers, false, &recorder);
        }
    });
}
