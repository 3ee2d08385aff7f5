//! `ottersail run`: one manager, until it is told to end.

use crate::metrics::Times;
use crate::owner::{Owner, Tape};
use crate::post::{Core, Errand, MOST_NEWS};
use crate::rescue;
use crate::service::Service;
use crate::settings::manager::{read_manager, Manager};
use crate::worker::{Shared, Worker};
use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_signal::{Signal as Heard, Signals};
use futures_lite::StreamExt;
use ottersail_cores::Spread;
use ottersail_front::baseline::{Baseline, Pick};
use ottersail_front::decisions::Decisions;
use ottersail_front::tape::Told;
use ottersail_front::{Answers, Front, House, Ms, Orders};
use ottersail_net::{
    accept, block_on, executor, listen, serve_one, Accepted, Clock, Exec, Limits, Listener, Nursery, Server,
    Timer,
};
use ottersail_tickets::Keys;
use rustix::process::{
    getppid, getrlimit, set_parent_process_death_signal, setrlimit, Pid, Resource, Signal,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};

/// Connections that were accepted and wait for a core; one more is answered 503.
const MOST_ARRIVING: usize = 1_024;
/// A drain ends by then, should a request be stuck: no patience is longer.
const LONGEST_DRAIN: Duration = Duration::from_secs(130);
const HEAD: Duration = Duration::from_secs(15);

/// Reads a settings file and its keys.
///
/// # Errors
/// All complaints, a line each.
pub fn read(path: &Path) -> Result<(String, Manager, Keys), Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|it| vec![format!("{}: {it}", path.display())])?;
    let manager = read_manager(path, &text)?;
    let keys = std::fs::read_to_string(&manager.keys).map_err(|it| it.to_string());
    let keys = keys
        .and_then(|it| Keys::read(&it))
        .map_err(|it| vec![format!("{}: {it}", manager.keys.display())])?;
    Ok((text, manager, keys))
}

pub fn house(manager: &Manager, keys: Keys) -> House {
    House {
        url: manager.url.clone(),
        keys,
        ticket_s: manager.ticket_s,
        most_waiting: manager.most_waiting,
        most_watches: manager.most_watches,
        send_within: manager.links.send_within,
        linger: manager.links.linger,
    }
}

/// Wishes before anything has happened: there are none.
pub struct NoOrders;

impl Orders for NoOrders {
    fn set_up(&mut self, _: &ottersail_front::SetUp) {}
    fn call_off(
        &mut self,
        _: &ottersail_front::ids::ViewingId,
        _: usize,
        _: &ottersail_front::ids::ServerId,
        _: &str,
    ) {
    }
    fn change_rung(
        &mut self,
        _: &ottersail_front::ids::ViewingId,
        _: &ottersail_front::ids::ServerId,
        _: &str,
        _: ottersail_front::ids::Rung,
    ) {
    }
    fn let_go(&mut self, _: &ottersail_front::ids::ViewingId, _: &ottersail_front::ids::ServerId, _: &str) {}
    fn reply(&mut self, _: ottersail_front::AskId, _: ottersail_front::Reply) {}
    fn listen(&mut self, _: &ottersail_front::ids::ServerId, _: &str) {}
    fn hang_up(&mut self, _: &ottersail_front::ids::ServerId) {}
    fn probe(&mut self, _: &ottersail_front::ids::ServerId, _: &str) {}
}

/// What is asked of a manager on the command line.
#[derive(Default)]
pub struct Asked {
    pub record: Option<PathBuf>,
    pub seed: Option<u64>,
    pub stall: Option<(usize, u64)>,
    pub with_parent: bool,
    pub pick: Option<Pick>,
}

/// Guards against processes that outlive a day whose own process is killed outright.
fn end_with_parent() -> Result<(), String> {
    let parent = getppid();
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|it| format!("the end of the process that started this one can't be heard: {it}"))?;
    if getppid() != parent || parent == Some(Pid::INIT) {
        return Err("the process that started this one has ended already".into());
    }
    Ok(())
}

/// Runs a manager; comes back after SIGTERM or SIGINT, once all that was taken has its answer.
///
/// # Errors
/// What keeps it from starting.
pub fn run(path: PathBuf, asked: Asked) -> Result<(), Vec<String>> {
    let Asked { record, seed, stall, with_parent, pick } = asked;
    if with_parent {
        end_with_parent().map_err(|it| vec![it])?;
    }
    let (text, manager, keys) = read(&path)?;
    let clock = Clock::start();
    let seed = seed.unwrap_or_else(|| fastrand::u64(..));
    let now = Ms(clock.now());
    let (terms, home) = (manager.terms.clone(), house(&manager, keys.clone()));
    let front = match pick {
        None => Front::new(now, seed, terms, home, &mut NoOrders),
        Some(pick) => {
            warn!(?pick, "picks plainly, for comparison: it keeps no rules but floors");
            let plain = move |terms, _: &mut dyn Answers| -> Box<dyn Decisions> {
                Box::new(Baseline::new(terms, pick, seed))
            };
            Front::with(now, terms, home, &mut NoOrders, plain)
        }
    };
    let header =
        json!({ "begins": now.0, "seed": seed, "file": path.display().to_string(), "settings": text });
    let tape =
        record.map(|it| Tape::begin(&it, &header).map_err(|trouble| format!("{}: {trouble}", it.display())));
    let tape = tape.transpose().map_err(|it| vec![it])?;
    raise_files(manager.connections);
    let exec = executor();
    let running = start(exec, clock, &manager, keys, front, tape).map_err(|it| vec![it])?;
    let owner = running.owner.clone();
    let (listen, cores) = (&manager.listen, manager.cores);
    info!(listen, cores, managers = manager.terms.managers, number = manager.terms.me.0, "running");

    block_on(exec.run(async {
        let mut signals = match Signals::new([Heard::Term, Heard::Int, Heard::Hup, Heard::Usr1]) {
            Ok(signals) => signals,
            Err(trouble) => return Err(vec![format!("signals can't be taken: {trouble}")]),
        };
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Heard::Hup) => reload(&path, &manager, &running),
                Ok(Heard::Usr1) => stand_still(&running, stall),
                Ok(_) => break,
                Err(trouble) => warn!(%trouble, "signal"),
            }
        }
        owner.tell(&Told::Drain);
        let done = async {
            while owner.front(|it| it.waiting()) > 0 {
                Timer::after(Duration::from_millis(10)).await;
            }
            // What was answered last still has to go out.
            Timer::after(Duration::from_millis(100)).await;
        };
        futures_lite::future::or(done, async {
            Timer::after(LONGEST_DRAIN).await;
            error!("requests were left unanswered at the end of the drain");
        })
        .await;
        info!("ended");
        Ok(())
    }))
}

/// A manager that runs: the owner of placement on the calling thread, and what all cores share.
pub struct Running {
    pub owner: Rc<Owner>,
    pub shared: Arc<Shared>,
    pub server: Arc<Server>,
}

/// Starts all tasks of a manager: those of the owner and of the first core on the given executor, the other cores on
/// threads of their own.
///
/// # Errors
/// If its address can't be had.
pub fn start(
    exec: Exec,
    clock: Clock,
    manager: &Manager,
    keys: Keys,
    front: Front,
    tape: Option<Tape>,
) -> Result<Running, String> {
    let address: SocketAddr = manager.listen.parse().map_err(|it| format!("{}: {it}", manager.listen))?;
    let listener = listen(address).map_err(|it| format!("{address}: {it}; is another one running?"))?;
    let limits = Limits { connections: manager.connections, head: HEAD };
    let (news, to_owner) = async_channel::bounded(MOST_NEWS);
    let cores: Vec<Arc<Core>> = (0..manager.cores).map(|_| Arc::default()).collect();
    cores.iter().for_each(|it| it.moves(clock.now()));
    let times = Times::default();
    let shared = Arc::new(Shared {
        clock,
        reach: manager.into(),
        keys: ArcSwap::from_pointee(keys),
        listed: AtomicBool::new(false),
        titled: AtomicBool::new(false),
        times: times.clone(),
        cores: cores.clone(),
        news,
    });
    let server = Server::new();
    let owner = Owner::new(clock, front, tape, cores, times, server.clone());
    exec.spawn(owner.clone().listen(to_owner)).detach();
    exec.spawn(owner.clone().ring()).detach();
    let mut posts = Vec::new();
    for index in 0..manager.cores {
        let (post, incoming) = async_channel::bounded::<Accepted>(MOST_ARRIVING);
        posts.push(post);
        let shared = shared.clone();
        if index == 0 {
            let worker = work(exec, index, shared, incoming, limits);
            exec.spawn(worker.clone().follow(true)).detach();
            exec.spawn(worker.follow(false)).detach();
        } else {
            let name = format!("core-{index}");
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                let exec = executor();
                _ = work(exec, index, shared, incoming, limits);
                block_on(exec.run(std::future::pending::<()>()));
            });
            thread.map_err(|it| format!("core {index}: {it}"))?;
        }
    }
    let (spread, seen) = (Spread::new(manager.cores), shared.clone());
    let hand_on = move |accepted: Accepted| {
        let open: Vec<usize> = seen.cores.iter().map(|it| it.open.load(Ordering::Relaxed)).collect();
        let now = seen.clock.now();
        let still: Vec<bool> = seen.cores.iter().map(|it| it.is_still(now)).collect();
        let core = spread.next(&open, &still);
        seen.cores[core].open.fetch_add(1, Ordering::Relaxed);
        posts[core].try_send(accepted).map_err(|it| {
            seen.cores[core].open.fetch_sub(1, Ordering::Relaxed);
            it.into_inner()
        })
    };
    let served = server.clone();
    if manager.cores == 1 {
        let listener = Listener::new(listener).map_err(|it| format!("{address}: {it}"))?;
        exec.spawn(accept(Nursery::new(exec), listener, limits, served, hand_on)).detach();
    } else {
        // No core's standstill holds up who comes new.
        let accepting = move || {
            let exec = executor();
            let Ok(listener) = Listener::new(listener) else {
                error!("connections can't be accepted: the listener can't be watched");
                return;
            };
            block_on(exec.run(accept(Nursery::new(exec), listener, limits, served, hand_on)));
        };
        let thread = std::thread::Builder::new().name("accept".into()).spawn(accepting);
        thread.map_err(|it| format!("accept: {it}"))?;
    }
    Ok(Running { owner, shared, server })
}

/// The tasks of one core.
fn work(
    exec: Exec,
    index: usize,
    shared: Arc<Shared>,
    incoming: Receiver<Accepted>,
    limits: Limits,
) -> Rc<Worker> {
    let worker = Worker::new(exec, index, shared.clone());
    exec.spawn(worker.clone().run_errands()).detach();
    // Alone, a core has nobody to watch or to be watched by: at rest it is not woken for that.
    if shared.cores.len() > 1 {
        exec.spawn(worker.clone().pulse()).detach();
        exec.spawn(rescue::watch(shared.clone(), index)).detach();
    }
    let service = Rc::new(Service { worker: worker.clone() });
    let nursery = Nursery::new(exec);
    exec.spawn(async move {
        while let Ok(accepted) = incoming.recv().await {
            let service = service.clone();
            let core = shared.cores[index].clone();
            let handler = move |request, line| service.clone().answer(request, line);
            serve_one(&nursery, accepted, limits, handler, move || {
                core.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    })
    .detach();
    worker
}

/// For tests: a core really stands still.
fn stand_still(running: &Running, stall: Option<(usize, u64)>) {
    match stall {
        Some((core, ms)) if core < running.shared.cores.len() => {
            warn!(core, ms, "standing still, as asked on the command line");
            _ = running.shared.cores[core].errands.put(Errand::StandStill { ms });
        }
        _ => warn!("SIGUSR1 does nothing without --stall CORE:MS"),
    }
}

/// Each connection and each set-up that is out takes a descriptor: asks for as many as may be had.
pub fn raise_files(connections: usize) {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(trouble) = setrlimit(Resource::Nofile, limit) {
        warn!(%trouble, "the limit on open files can't be raised");
    }
    let most = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if most < 2 * connections as u64 {
        warn!(
            most,
            connections,
            "fewer files may be open than twice the connections: past that, viewings are blocked"
        );
    }
}

/// Takes over what can change while it runs; a file with a mistake changes nothing.
fn reload(path: &Path, manager: &Manager, running: &Running) {
    match read(path) {
        Err(complaints) => {
            for complaint in &complaints {
                error!(complaint, "the settings were not taken over");
            }
        }
        Ok((_, next, keys)) => {
            let same = format!("{:?}", next.terms) == format!("{:?}", manager.terms);
            if !same || next.listen != manager.listen || next.cores != manager.cores {
                warn!(
                    "cores, ladder, rules, packages, tenants, list and addresses change with a restart only"
                );
            }
            // Its keys are not in the record, and what they sign is.
            running.owner.end_tape();
            running.owner.front(|it| it.refit(house(&next, keys.clone())));
            running.shared.keys.store(Arc::new(keys));
            info!("settings taken over");
        }
    }
}
