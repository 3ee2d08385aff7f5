//! What cores share, by itself: a front that one owner holds beside a front in a lock. No sockets; the work
//! of a connection is a loop of known length.

use crate::errors::BenchError;
use crate::library::Bed;
use async_channel::{bounded, Receiver, Sender};
use ottersail_cores::Claim;
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_net::{block_on, executor};
use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVERS: usize = 280;
const HELD: usize = 5_000;
const SPAN: Duration = Duration::from_millis(1_500);
/// A connection's share of a set-up: HTTP towards the player, and towards the server.
const CONNECTION: [Duration; 2] = [Duration::from_micros(40), Duration::from_micros(40)];
/// Viewings under way at once on a core, in the owner's arrangement; in a lock a thread does one after the
/// other.
const AT_ONCE: usize = 16;

fn work(span: Duration) {
    let began = Instant::now();
    while began.elapsed() < span {
        std::hint::spin_loop();
    }
}

fn cpu() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

struct Moved(Bed);

// SAFETY: a bed is whole in itself. Its counted ids have no clone outside of it, since only strings leave it,
// and one thread at a time has it: the owner for good, or whoever holds the lock.
unsafe impl Send for Moved {}

fn bed(random: bool) -> Result<Moved, BenchError> {
    let link = 500.0 * HELD as f64 / SERVERS as f64 * 20.0;
    let mut bed = if random {
        Bed::with(SERVERS, link, |terms, _| Box::new(Baseline::new(terms, Pick::LowestRung, 1)))?
    } else {
        Bed::new(SERVERS, link)?
    };
    (0..HELD).for_each(|_| bed.set_up());
    Ok(Moved(bed))
}

/// Set-ups a second, and microseconds of CPU each beyond the connections' own.
type Shown = (f64, f64);

fn shown(count: u64, began: Instant, before: f64) -> Shown {
    let count = count.max(1) as f64;
    let own: f64 = CONNECTION.iter().map(|it| it.as_secs_f64() * 1e6).sum();
    (count / began.elapsed().as_secs_f64(), (cpu() - before) / count - own)
}

fn in_a_lock(cores: usize, random: bool) -> Result<Shown, BenchError> {
    let (bed, stop) = (Arc::new(Mutex::new(bed(random)?)), Arc::new(AtomicBool::new(false)));
    let (began, before) = (Instant::now(), cpu());
    let threads: Vec<_> = (0..cores)
        .map(|_| {
            let (bed, stop) = (bed.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut count = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    work(CONNECTION[0]);
                    let out = bed.lock().expect("no thread panics").0.ask();
                    work(CONNECTION[1]);
                    let mut bed = bed.lock().expect("no thread panics");
                    out.into_iter().for_each(|(vw, no)| bed.0.ended(&vw, no));
                    count += 1;
                }
                count
            })
        })
        .collect();
    std::thread::sleep(SPAN);
    stop.store(true, Ordering::Relaxed);
    let count = threads.into_iter().map(|it| it.join().expect("it counts")).sum();
    Ok(shown(count, began, before))
}

enum News {
    Asked(Arc<Claim>, Sender<Vec<(String, usize)>>),
    Ended(Vec<(String, usize)>, Sender<()>),
}

async fn own(news: Receiver<News>, mut bed: Moved) {
    while let Ok(it) = news.recv().await {
        match it {
            News::Asked(claim, to) => {
                if claim.take() {
                    _ = to.try_send(bed.0.ask());
                }
            }
            News::Ended(out, to) => {
                out.into_iter().for_each(|(vw, no)| bed.0.ended(&vw, no));
                _ = to.try_send(());
            }
        }
    }
}

async fn connect(news: Sender<News>, stop: Arc<AtomicBool>, count: Arc<AtomicU64>) {
    while !stop.load(Ordering::Relaxed) {
        work(CONNECTION[0]);
        let (claim, (to, out)) = (Arc::new(Claim::new()), bounded(1));
        _ = news.send(News::Asked(claim.clone(), to)).await;
        let Ok(out) = out.recv().await else {
            return;
        };
        work(CONNECTION[1]);
        let (to, done) = bounded(1);
        _ = news.send(News::Ended(out, to)).await;
        _ = done.recv().await;
        claim.answer();
        count.fetch_add(1, Ordering::Relaxed);
        futures_lite::future::yield_now().await;
    }
}

/// The owner has a thread of its own from three cores on, as `Spread` gives it no connections then.
fn with_an_owner(cores: usize, random: bool) -> Result<Shown, BenchError> {
    let (news, to_owner) = bounded(8_192);
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let bed = bed(random)?;
    let (began, before) = (Instant::now(), cpu());
    let connections =
        move |news: &Sender<News>, stop: &Arc<AtomicBool>, count: &Arc<AtomicU64>, tasks: usize| {
            let exec = executor();
            for _ in 0..tasks {
                exec.spawn(connect(news.clone(), stop.clone(), count.clone())).detach();
            }
            exec
        };
    let mut threads = Vec::new();
    for _ in 1..cores {
        let (news, stop, count) = (news.clone(), stop.clone(), count.clone());
        threads.push(std::thread::spawn(move || {
            let exec = connections(&news, &stop, &count, AT_ONCE);
            block_on(exec.run(async {
                while !stop.load(Ordering::Relaxed) {
                    ottersail_net::Timer::after(Duration::from_millis(5)).await;
                }
            }));
        }));
    }
    let own_tasks = [AT_ONCE, AT_ONCE / 3].get(cores - 1).copied().unwrap_or(0);
    let exec = connections(&news, &stop, &count, own_tasks);
    drop(news);
    block_on(exec.run(async {
        let owner = exec.spawn(own(to_owner, bed));
        ottersail_net::Timer::after(SPAN).await;
        stop.store(true, Ordering::Relaxed);
        drop(owner);
    }));
    threads.into_iter().for_each(|it| it.join().expect("it ends"));
    Ok(shown(count.load(Ordering::Relaxed), began, before))
}

pub fn front() -> Result<(), BenchError> {
    println!(
        "one front, {SERVERS} servers, {HELD} held, {CONNECTION:?} of work a set-up at its connections, no \
         sockets"
    );
    println!(
        "pick     cores   owner: set-ups/s   us   lock: set-ups/s   us   (CPU beyond the connections' own)"
    );
    for random in [false, true] {
        for cores in [1, 2, 4] {
            let (owner, lock) = (with_an_owner(cores, random)?, in_a_lock(cores, random)?);
            println!(
                "{:<7} {cores:>6} {:>18.0} {:>4.0} {:>17.0} {:>4.0}",
                if random { "random" } else { "module" },
                owner.0,
                owner.1,
                lock.0,
                lock.1
            );
        }
    }
    Ok(())
}
