//! The manager of `loopback`, in a process of its own.

use crate::errors::BenchError;
use crate::library::{keys, manager};
use crate::timed::Timed;
use ottersail_daemon::run::{front_settings, start};
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::decisions::Decisions;
use ottersail_front::{Front, Ms, Placement};
use ottersail_net::{block_on, executor, Clock, Timer};
use rustix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

/// Until the sending half is dropped.
pub async fn until(stopped: mpsc::Receiver<()>) {
    while stopped.try_recv() != Err(mpsc::TryRecvError::Disconnected) {
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// A manager until its input ends; then microseconds of CPU a set-up, in all, in its front, in the decisions,
/// and how many viewings it holds, on standard output.
pub fn manage(pick: &str, servers: usize, cores: usize, address: &str, list: &str) -> Result<(), BenchError> {
    ottersail_daemon::run::raise_open_file_limit(0);
    let mut manager = manager(servers, address, list, 2_000_000.0)?;
    manager.cores = cores;
    let clock = Clock::start();
    let exec = executor();
    let spent: Rc<Cell<Duration>> = Rc::default();
    let (timed, random) = (spent.clone(), pick == "random");
    let front = Front::with_decisions(
        Ms(clock.now()),
        manager.terms.clone(),
        front_settings(&manager, keys()?),
        &mut ottersail_daemon::run::DiscardOutput,
        move |terms, out| {
            let of: Box<dyn Decisions> = if random {
                Box::new(Baseline::new(terms, Pick::LowestRung, 1))
            } else {
                Box::new(Placement::new(Ms(clock.now()), 1, terms, out))
            };
            Box::new(Timed { of, spent: timed })
        },
    );
    let running = start(exec, clock, &manager, keys()?, front, None)
        .map_err(|it| BenchError::Manager { address: address.to_string(), cause: it.to_string() })?;
    let (stop, stopped) = mpsc::channel::<()>();
    std::thread::spawn(move || {
        _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        drop(stop);
    });
    let before = cpu();
    block_on(exec.run(until(stopped)));
    let owner = &running.owner;
    let (held, count) = owner.with_front(|it| (it.viewing_count(), it.counts().asked.max(1)));
    let each = |it: Duration| it.as_secs_f64() * 1e6 / count as f64;
    println!("{} {} {} {held}", each(cpu() - before), each(owner.time_in_front.get()), each(spent.get()));
    Ok(())
}

/// Of all threads of this process.
fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
