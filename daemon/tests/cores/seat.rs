//! One seat, asked for on all cores in the same moment.

use crate::peer::{self, answer, send, well, Manager, Peer};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// A viewing's set-ups as its server hears them: the first, and its end.
type Spans = BTreeMap<String, (Option<Instant>, Option<Instant>)>;

/// A thousand times eight ask for one seat on four cores in the same moment, and leave: it is never had
/// twice, and had again after each. A seat is given back when its viewer leaves; what is on the wire then may
/// cross what comes next, for a moment.
#[test]
fn the_last_seat_is_given_once_on_four_cores() {
    const ROUNDS: usize = 1_000;
    const ASKING: usize = 8;
    const ON_THE_WIRE: Duration = Duration::from_millis(50);
    let spans: Arc<Mutex<Spans>> = Arc::default();
    let puts = Arc::new(AtomicUsize::new(0));
    let (seen, count) = (spans.clone(), puts.clone());
    let peer = Peer::new(move |line: &str, me| {
        let viewing = line.split('/').nth(2).unwrap_or("").to_string();
        if line.starts_with("PUT") {
            seen.lock().unwrap().entry(viewing).or_default().0.get_or_insert_with(Instant::now);
            count.fetch_add(1, Ordering::SeqCst);
            // Long enough that all have left before it is answered, also on a busy machine.
            return (Duration::from_millis(400), answer("201 Created", "", peer::PLAYLIST));
        }
        if line.starts_with("DELETE") {
            seen.lock().unwrap().entry(viewing).or_default().1.get_or_insert_with(Instant::now);
        }
        well(line, me)
    });
    let manager = Manager::start("seat", peer.address, "cores = 4", None).ready();
    let address = manager.address;
    let (start, end) = (Arc::new(Barrier::new(ASKING + 1)), Arc::new(Barrier::new(ASKING + 1)));
    let asking = |_| {
        let (start, end) = (start.clone(), end.clone());
        std::thread::spawn(move || {
            for _ in 0..ROUNDS {
                start.wait();
                let stream = send(address, "/watch/t?package=rides&best=1&patience-ms=1500");
                end.wait();
                drop(stream);
            }
        })
    };
    let threads: Vec<_> = (0..ASKING).map(asking).collect();
    let mut had = 0;
    for _ in 0..ROUNDS {
        let before = puts.load(Ordering::SeqCst);
        start.wait();
        // Where all came before the last one's end was heard, none has it in this round.
        had += usize::from(within_fast(Duration::from_millis(250), || puts.load(Ordering::SeqCst) > before));
        end.wait();
        let open = || {
            let spans = spans.lock().unwrap();
            spans.iter().find(|it| it.1 .0.is_some() && it.1 .1.is_none()).map(|it| it.0.clone())
        };
        if !within_fast(Duration::from_secs(20), || open().is_none()) {
            let (vw, log) = (open().unwrap(), manager.log());
            let about: Vec<&str> = log.lines().filter(|it| it.contains(&vw) || it.contains("WARN")).collect();
            panic!("not given back: {vw}\n{}", about.join("\n"));
        }
    }
    threads.into_iter().for_each(|it| it.join().unwrap());
    assert!(had * 10 > ROUNDS * 9, "had again in {had} rounds");
    let spans = spans.lock().unwrap();
    let mut out: Vec<(Instant, Instant)> =
        spans.values().filter_map(|it| Some((it.0?, it.1?))).filter(|it| it.1 > it.0).collect();
    out.sort();
    let twice = out.windows(2).filter(|it| it[1].0 + ON_THE_WIRE < it[0].1).count();
    assert_eq!(twice, 0, "of {} set up two were at once", out.len());
    assert!(out.len() * 10 > ROUNDS * 9, "{}", out.len());
}

fn within_fast(span: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < span {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
    false
}
