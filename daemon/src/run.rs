//! `ottersail run`: one manager, until it is told to end.

use crate::hub::{Hub, Tape};
use crate::service::Service;
use crate::settings::manager::{read_manager, Manager};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ottersail_front::tape::Told;
use ottersail_front::{Front, House, Ms, Orders};
use ottersail_net::{executor, serve, Clock, Exec, Limits, Nursery, Server};
use ottersail_tickets::Keys;
use rustix::process::{getrlimit, setrlimit, Resource};
use serde_json::json;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info, warn};

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
        send_within: manager.send_within,
        linger: manager.linger,
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
}

/// Runs a manager; comes back after SIGTERM or SIGINT, once all that was taken has its answer.
///
/// # Errors
/// What keeps it from starting.
pub fn run(path: PathBuf, record: Option<PathBuf>, seed: Option<u64>) -> Result<(), Vec<String>> {
    let (text, manager, keys) = read(&path)?;
    let clock = Clock::start();
    let seed = seed.unwrap_or_else(|| fastrand::u64(..));
    let now = Ms(clock.now());
    let front = Front::new(now, seed, manager.terms.clone(), house(&manager, keys.clone()), &mut NoOrders);
    let header =
        json!({ "begins": now.0, "seed": seed, "file": path.display().to_string(), "settings": text });
    let tape =
        record.map(|it| Tape::begin(&it, &header).map_err(|trouble| format!("{}: {trouble}", it.display())));
    let tape = tape.transpose().map_err(|it| vec![it])?;
    raise_files(manager.connections);
    let exec = executor();
    let service = start(exec, clock, &manager, keys, front, tape).map_err(|it| vec![it])?;
    let hub = service.hub.clone();
    info!(listen = %manager.listen, managers = manager.terms.managers, number = manager.terms.me.0, "running");

    async_io::block_on(exec.run(async {
        let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
            Ok(signals) => signals,
            Err(trouble) => return Err(vec![format!("signals can't be taken: {trouble}")]),
        };
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&path, &manager, &service),
                Ok(_) => break,
                Err(trouble) => warn!(%trouble, "signal"),
            }
        }
        hub.tell(&Told::Drain);
        let done = async {
            while hub.front(|it| it.waiting()) > 0 {
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

/// Starts all tasks of a manager on an executor.
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
) -> Result<Rc<Service>, String> {
    let address: SocketAddr = manager.listen.parse().map_err(|it| format!("{}: {it}", manager.listen))?;
    let listener = Async::<TcpListener>::bind(address)
        .map_err(|it| format!("{address}: {it}; is another one running?"))?;
    let limits = Limits { connections: manager.connections, head: HEAD };
    let hub = Hub::new(exec, clock, manager.clone(), front, tape);
    let server = Server::new();
    let service = Rc::new(Service { hub: hub.clone(), keys: RefCell::new(keys), server: server.clone() });
    let nursery = Nursery::new(exec);
    exec.spawn(hub.clone().ring()).detach();
    exec.spawn(hub.clone().follow(true)).detach();
    exec.spawn(hub.follow(false)).detach();
    let answering = service.clone();
    let handler = move |request, _| answering.clone().answer(request);
    exec.spawn(serve(nursery, listener, limits, server, handler)).detach();
    Ok(service)
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
fn reload(path: &Path, running: &Manager, service: &Service) {
    match read(path) {
        Err(complaints) => {
            for complaint in &complaints {
                error!(complaint, "the settings were not taken over");
            }
        }
        Ok((_, manager, keys)) => {
            if format!("{:?}", manager.terms) != format!("{:?}", running.terms)
                || manager.listen != running.listen
            {
                warn!("ladder, rules, packages, tenants, list and addresses change with a restart only");
            }
            // Its keys are not in the record, and what they sign is.
            service.hub.end_tape();
            service.hub.front(|it| it.refit(house(&manager, keys.clone())));
            *service.keys.borrow_mut() = keys;
            info!("settings taken over");
        }
    }
}
