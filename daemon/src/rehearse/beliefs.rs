//! What managers believe of one another, asked of their figures from outside.

use crate::settings::day::DayPlan;
use ottersail_fake_servers::{FaultKind, Recorder};
use ottersail_invariants::Event;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One that stands still is not waited for.
const PATIENCE: Duration = Duration::from_millis(300);

/// Asks all of them. `settled`: nothing was done to members for long, all of them run, and so each has to
/// believe all others alive.
pub(super) fn ask(managers: &[SocketAddr], settled: bool, recorder: &Recorder) {
    for (manager, address) in managers.iter().enumerate() {
        let page = page(*address).unwrap_or_default();
        let count = |state: &str| figure(&page, &format!("ottersail_members{{state=\"{state}\"}} "));
        let [alive, suspect, dead, left] = ["alive", "suspect", "dead", "left"].map(count);
        let (others, answered) = (managers.len() - 1, alive.is_some());
        let counts = [alive, suspect, dead, left].map(Option::unwrap_or_default);
        if answered || settled {
            recorder.note(Event::Believes { manager, others, counts, settled });
        }
    }
}

fn figure(page: &str, name: &str) -> Option<usize> {
    page.lines().find_map(|it| it.strip_prefix(name))?.trim().parse().ok()
}

fn page(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: manager\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Asks at the end of each fault of members, on a thread of its own, until the day is over.
pub(super) fn follow(
    plan: &DayPlan,
    managers: Vec<SocketAddr>,
    began: Instant,
    recorder: &Recorder,
    over: Arc<AtomicBool>,
) {
    use FaultKind as Kind;
    let theirs = |kind| {
        matches!(
            kind,
            Kind::GossipLoss
                | Kind::GossipCut
                | Kind::GossipSlow
                | Kind::ManagerKill
                | Kind::ManagerRoll
                | Kind::ManagerRestart
                | Kind::ManagerStall
        )
    };
    let mut moments: Vec<f64> =
        plan.day.faults.iter().filter(|it| theirs(it.kind)).map(|it| it.end).collect();
    moments.sort_by(f64::total_cmp);
    let recorder = recorder.clone();
    std::thread::spawn(move || {
        for second in moments {
            let at = began + Duration::from_secs_f64(second);
            while Instant::now() < at {
                if over.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            ask(&managers, false, &recorder);
        }
    });
}
