//! The thread on which all servers and their list run, and what goes wrong with them.

use crate::boxes;
use crate::day::{Day, Fault, FaultKind};
use crate::fleet::{Fleet, Server};
use crate::list::{self, Book};
use crate::record::Recorder;
use crate::wires::{Behind, Far, Wires};
use ottersail_judge::Event;
use ottersail_net::{block_on, executor, Exec, Limits, Listener, Nursery, Timer};
use ottersail_tickets::Keys;
use ottersail_wire::catalogue::{Listed, Standing};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

pub(crate) type Shared = Rc<RefCell<World>>;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Ill {
    pub hang: bool,
    pub lose_answers: bool,
    pub stall: bool,
    pub garble: bool,
    pub errors: bool,
    pub lose_reports: bool,
}

/// A server's process.
pub(crate) struct Proc {
    pub address: SocketAddr,
    pub nursery: Nursery,
    pub alive: bool,
    pub draining: bool,
    pub ill: Ill,
    pub listeners: BTreeMap<usize, async_channel::Sender<bytes::Bytes>>,
}

pub(crate) struct World {
    pub exec: Exec,
    pub day: Rc<Day>,
    pub recorder: Recorder,
    pub keys: Keys,
    pub began: f64,
    pub rng: fastrand::Rng,
    pub fleet: Fleet,
    pub procs: BTreeMap<String, Proc>,
    pub book: Book,
    pub reports_late: f64,
    pub born: usize,
    pub wires: Wires,
}

/// A running fleet.
pub struct FleetRun {
    /// Where the list answers, where each manager finds it, and the servers of the beginning.
    pub list: SocketAddr,
    pub lists: Vec<SocketAddr>,
    pub servers: Vec<SocketAddr>,
    pub behind: Behind,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl FleetRun {
    /// Ends all servers and the list.
    pub fn stop(self) {
        drop(self.stop);
        _ = self.thread.join();
    }
}

/// Starts the servers and the list on a thread of their own. `go` gives the day's beginning, in milliseconds since
/// 1970, once it is known: faults are counted from there.
///
/// # Errors
/// If no socket can be had on loopback.
pub fn run_fleet(
    day: &Day,
    recorder: &Recorder,
    keys: &Keys,
    go: async_channel::Receiver<f64>,
) -> Result<FleetRun, String> {
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (ready, is_ready) = mpsc::channel();
    let (day, recorder, keys) = (day.clone(), recorder.clone(), keys.clone());
    let thread = std::thread::spawn(move || {
        let exec = executor();
        let world = match World::begin(exec, day, recorder, keys) {
            Ok(world) => world,
            Err(trouble) => {
                _ = ready.send(Err(trouble));
                return;
            }
        };
        let nursery = Nursery::new(exec);
        let served = listener("127.0.0.1:0".parse().expect("an address")).and_then(|listener| {
            let address = listener.get_ref().local_addr().map_err(|it| it.to_string())?;
            list::serve(&nursery, listener, &world);
            let mut it = world.borrow_mut();
            let servers: Vec<SocketAddr> = it.procs.values().map(|it| it.address).collect();
            let managers = it.day.managers;
            let lists = (0..managers).map(|manager| it.wires.address(manager, Far::List, address)).collect();
            Ok((address, lists, servers, it.wires.behind()))
        });
        let failed = served.is_err();
        _ = ready.send(served);
        if failed {
            return;
        }
        block_on(exec.run(async {
            if let Ok(began) = go.recv().await {
                world.borrow_mut().began = began;
                script(&world, &nursery);
            }
            _ = stopped.recv().await;
            let nurseries: Vec<Nursery> =
                world.borrow().procs.values().map(|it| it.nursery.clone()).collect();
            nurseries.iter().for_each(Nursery::end);
            nursery.end();
        }));
    });
    let (list, lists, servers, behind): (_, Vec<SocketAddr>, _, _) =
        is_ready.recv().map_err(|it| it.to_string())??;
    Ok(FleetRun { list, lists, servers, behind, stop, thread })
}

pub(crate) fn listener(address: SocketAddr) -> Result<Listener, String> {
    Listener::bind(address).map_err(|it| format!("{address}: {it}"))
}

impl World {
    fn begin(exec: Exec, day: Day, recorder: Recorder, keys: Keys) -> Result<Shared, String> {
        let mut rng = fastrand::Rng::with_seed(day.seed);
        let uneven = |rng: &mut fastrand::Rng| 1.0 + day.uneven * (rng.f64() * 2.0 - 1.0);
        let fleet = Fleet {
            uplinks_kb: (0..day.racks).map(|_| day.uplink_kb * uneven(&mut rng)).collect(),
            slow: 1.0,
            cold: day.cold,
            start_capacity: day.start_capacity,
            fall_multiple: day.fall_multiple,
            fall: day.fall,
            ..Fleet::default()
        };
        let servers = day.servers;
        let wires = Wires::new(exec, &day);
        let world = Rc::new(RefCell::new(World {
            exec,
            day: Rc::new(day),
            recorder,
            keys,
            began: f64::INFINITY,
            rng,
            fleet,
            procs: BTreeMap::new(),
            book: Book::default(),
            reports_late: 0.0,
            born: 0,
            wires,
        }));
        for cell in 0..servers {
            add(&world, cell as u64, false)?;
        }
        Ok(world)
    }

    pub fn now(&self) -> f64 {
        self.recorder.clock().now()
    }

    pub fn listed(&self, id: &str) -> Option<Listed> {
        let (server, proc) = (self.fleet.servers.get(id)?, self.procs.get(id)?);
        Some(Listed {
            id: id.to_string(),
            address: proc.address.to_string(),
            standing: if proc.draining { Standing::Draining } else { Standing::Up },
            zone: server.zone.clone(),
            kind: self.day.kind.clone(),
            cell: server.cell,
            weight: server.weight,
            started_ms: server.cold_since,
        })
    }

    /// The list will tell how a server stands now.
    fn publish(&mut self, id: &str, after: f64) {
        let alive = self.procs.get(id).is_some_and(|it| it.alive);
        let entry = self.listed(id).filter(|_| alive);
        let now = self.now();
        self.book.change(now, now + after, id, entry);
    }

    /// A part of the servers that run, at least one.
    fn pick(&mut self, part: f64) -> Vec<String> {
        let mut all: Vec<String> =
            self.procs.iter().filter(|it| it.1.alive && !it.1.draining).map(|it| it.0.clone()).collect();
        self.rng.shuffle(&mut all);
        let count = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
        all.truncate(count);
        all
    }
}

/// A new server in that cell.
fn add(world: &Shared, cell: u64, cold: bool) -> Result<String, String> {
    let id = {
        let mut it = world.borrow_mut();
        let day = it.day.clone();
        it.born += 1;
        let id = format!("box-{}", it.born);
        let weight = [0.5, 1.0, 1.0, 1.5][it.rng.usize(..4)];
        let uneven = 1.0 + day.uneven * (it.rng.f64() * 2.0 - 1.0);
        let server = Server {
            rack: (cell % day.racks.max(1)) as usize,
            cell,
            zone: day.zones[cell as usize % day.zones.len()].clone(),
            weight,
            link_kb: day.link_kb * weight * uneven,
            places: day.places,
            cold_since: None,
            taken: 0.0,
            short: 1.0,
            asked_kb: 0.0,
            held: BTreeMap::new(),
            sent: VecDeque::new(),
            past: VecDeque::new(),
        };
        it.fleet.servers.insert(id.clone(), server);
        id
    };
    let listener = listener("127.0.0.1:0".parse().expect("an address"))?;
    let address = listener.get_ref().local_addr().map_err(|it| it.to_string())?;
    start(world, &id, address, listener, cold);
    let mut it = world.borrow_mut();
    let after = if cold { it.day.notice } else { 0.0 };
    it.publish(&id, after);
    Ok(id)
}

fn start(world: &Shared, id: &str, address: SocketAddr, listener: Listener, cold: bool) {
    let mut it = world.borrow_mut();
    let nursery = Nursery::new(it.exec);
    let now = it.now();
    if let Some(server) = it.fleet.servers.get_mut(id) {
        server.cold_since = cold.then_some(now);
        server.held.clear();
        server.sent.clear();
        server.past.clear();
        server.asked_kb = 0.0;
    }
    let proc = Proc {
        address,
        nursery: nursery.clone(),
        alive: true,
        draining: false,
        ill: Ill::default(),
        listeners: BTreeMap::new(),
    };
    it.procs.insert(id.to_string(), proc);
    let places = it.day.places;
    let server = it.fleet.servers.get(id);
    let (cell, link_kb, rack) = server.map_or((0, 0.0, 0), |it| (it.cell, it.link_kb, it.rack));
    let uplink_kb = it.fleet.uplinks_kb.get(rack).copied().unwrap_or(0.0);
    let server = id.to_string();
    it.recorder.note(Event::ServerStarted { server, cold, places, cell, link_kb, rack, uplink_kb });
    drop(it);
    boxes::serve(&nursery, listener, world, id);
}

/// The process of a server dies; its sockets close.
pub(crate) fn die(world: &Shared, id: &str, notice: f64) {
    let mut it = world.borrow_mut();
    let Some(proc) = it.procs.get_mut(id).filter(|it| it.alive) else {
        return;
    };
    proc.alive = false;
    proc.listeners.clear();
    proc.nursery.end();
    if let Some(server) = it.fleet.servers.get_mut(id) {
        server.held.clear();
        server.asked_kb = 0.0;
    }
    it.recorder.note(Event::ServerEnded { server: id.to_string() });
    it.publish(id, notice);
}

/// It comes back cold, under its old name and address.
async fn come_back(world: &Shared, id: &str) {
    let (address, nursery) = {
        let it = world.borrow();
        let Some(proc) = it.procs.get(id) else {
            return;
        };
        (proc.address, proc.nursery.clone())
    };
    nursery.end();
    nursery.go_on();
    // The old listener is closed once its task has been dropped.
    for _ in 0..100 {
        Timer::after(Duration::from_millis(20)).await;
        if let Ok(listener) = listener(address) {
            start(world, id, address, listener, true);
            let mut it = world.borrow_mut();
            let notice = it.day.notice;
            it.publish(id, notice);
            return;
        }
    }
}

/// One task for each fault of the day.
fn script(world: &Shared, nursery: &Nursery) {
    let day = world.borrow().day.clone();
    for (ix, fault) in day.faults.iter().enumerate() {
        let (world, fault) = (world.clone(), fault.clone());
        if fault.condition().is_some() {
            nursery.spawn(async move { take_wires(&world, ix, &fault).await });
        } else {
            nursery.spawn(async move { carry_out(&world, &fault).await });
        }
    }
}

async fn until(world: &Shared, second: f64) {
    let at = {
        let it = world.borrow();
        it.recorder.clock().instant(it.began + second * 1e3)
    };
    Timer::at(at).await;
}

fn each(world: &Shared, ids: &[String], change: impl Fn(&mut Proc)) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(proc) = it.procs.get_mut(id) {
            change(proc);
        }
    }
}

async fn take_wires(world: &Shared, ix: usize, fault: &Fault) {
    for (second, on) in [(fault.start, true), (fault.end, false)] {
        until(world, second).await;
        let what = world.borrow_mut().wires.switch(ix, on);
        world.borrow().recorder.note(Event::Fault { name: fault.name.clone(), on, what });
    }
}

/// Their links give so many times less.
fn shorten(world: &Shared, ids: &[String], times: f64) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(server) = it.fleet.servers.get_mut(id) {
            server.short = times.max(1.0);
        }
    }
}

/// New, cold servers come one after the other, each in the next cell that never had one.
async fn join(world: &Shared, fault: &Fault) {
    let count = fault.size.max(1.0) as u64;
    for number in 0..count {
        until(world, fault.start + (fault.end - fault.start) * number as f64 / count as f64).await;
        let (cell, cells) = {
            let it = world.borrow();
            (it.fleet.servers.values().map(|it| it.cell + 1).max().unwrap_or(0), it.day.cells)
        };
        if cell >= cells || add(world, cell, true).is_err() {
            return;
        }
    }
}

/// Another program takes that part of their links.
fn take_link(world: &Shared, ids: &[String], part: f64) {
    let mut it = world.borrow_mut();
    for id in ids {
        if let Some(server) = it.fleet.servers.get_mut(id) {
            server.taken = part;
        }
    }
}

async fn carry_out(world: &Shared, fault: &Fault) {
    use FaultKind as Kind;
    let ours = !matches!(
        fault.kind,
        Kind::Crowd
            | Kind::Burst
            | Kind::SlowReaders
            | Kind::Nonsense
            | Kind::Forgers
            | Kind::ManagerKill
            | Kind::ManagerRoll
            | Kind::CoreStall
            | Kind::ManagerStall
    );
    if !ours {
        return;
    }
    until(world, fault.start).await;
    let ids = world.borrow_mut().pick(fault.part);
    let note = |on: bool, what: &[String]| {
        let event = Event::Fault { name: fault.name.clone(), on, what: what.join(" ") };
        world.borrow().recorder.note(event);
    };
    note(true, &ids);
    let (notice, silent) = {
        let it = world.borrow();
        (it.day.notice, it.day.silent_notice)
    };
    match fault.kind {
        Kind::ListSilent => world.borrow_mut().book.silent = true,
        Kind::ListFailing => world.borrow_mut().book.failing = true,
        Kind::ListGarbled => world.borrow_mut().book.garbled = true,
        Kind::Garble => each(world, &ids, |it| it.ill.garble = true),
        Kind::Errors => each(world, &ids, |it| it.ill.errors = true),
        Kind::LoseReports => each(world, &ids, |it| it.ill.lose_reports = true),
        Kind::ShortLinks => shorten(world, &ids, fault.size),
        Kind::Join => join(world, fault).await,
        Kind::ListStale => world.borrow_mut().book.behind = fault.size * 1e3,
        Kind::ListBack => world.borrow_mut().book.back = fault.size * 1e3,
        Kind::Hang => each(world, &ids, |it| it.ill.hang = true),
        Kind::LoseAnswers => each(world, &ids, |it| it.ill.lose_answers = true),
        Kind::Stall => each(world, &ids, |it| it.ill.stall = true),
        Kind::SlowLinks => world.borrow_mut().fleet.slow = fault.size,
        Kind::LateReports => world.borrow_mut().reports_late = fault.size * 1e3,
        Kind::Crash => ids.iter().for_each(|id| die(world, id, notice)),
        Kind::Vanish => {
            for id in &ids {
                let mut it = world.borrow_mut();
                if let Some(proc) = it.procs.get_mut(id) {
                    proc.alive = false;
                    proc.nursery.hold_still();
                }
                it.recorder.note(Event::ServerEnded { server: id.clone() });
                it.publish(id, silent);
            }
        }
        Kind::Reset => ids.iter().for_each(|id| reset(world, id)),
        Kind::Drain => {
            for id in &ids {
                let mut it = world.borrow_mut();
                it.procs.get_mut(id).into_iter().for_each(|it| it.draining = true);
                it.publish(id, notice);
            }
        }
        Kind::Replace | Kind::Remove => {
            let gap = (fault.end - fault.start) / ids.len() as f64;
            for (ix, id) in ids.iter().enumerate() {
                until(world, fault.start + gap * ix as f64).await;
                retire(world, id.clone(), fault.size, fault.kind == Kind::Replace);
            }
        }
        Kind::Neighbour => {
            let mut second = fault.start;
            let mut on = true;
            while second < fault.end {
                take_link(world, &ids, if on { fault.size } else { 0.0 });
                (on, second) = (!on, second + 2.0);
                until(world, second.min(fault.end)).await;
            }
        }
        _ => {}
    }
    until(world, fault.end).await;
    match fault.kind {
        Kind::ListSilent => world.borrow_mut().book.silent = false,
        Kind::ListFailing => world.borrow_mut().book.failing = false,
        Kind::ListGarbled => world.borrow_mut().book.garbled = false,
        Kind::Garble => each(world, &ids, |it| it.ill.garble = false),
        Kind::Errors => each(world, &ids, |it| it.ill.errors = false),
        Kind::LoseReports => each(world, &ids, |it| it.ill.lose_reports = false),
        Kind::ShortLinks => shorten(world, &ids, 1.0),
        Kind::ListStale => world.borrow_mut().book.behind = 0.0,
        Kind::ListBack => world.borrow_mut().book.back = 0.0,
        Kind::Hang => each(world, &ids, |it| it.ill.hang = false),
        Kind::LoseAnswers => each(world, &ids, |it| it.ill.lose_answers = false),
        Kind::Stall => each(world, &ids, |it| it.ill.stall = false),
        Kind::SlowLinks => world.borrow_mut().fleet.slow = 1.0,
        Kind::LateReports => world.borrow_mut().reports_late = 0.0,
        Kind::Crash | Kind::Vanish => {
            for id in &ids {
                come_back(world, id).await;
            }
        }
        Kind::Drain => {
            for id in &ids {
                let mut it = world.borrow_mut();
                it.procs.get_mut(id).into_iter().for_each(|it| it.draining = false);
                it.publish(id, notice);
            }
        }
        Kind::Neighbour => take_link(world, &ids, 0.0),
        _ => {}
    }
    note(false, &ids);
}

/// All connections of a server are reset; what it holds stays.
fn reset(world: &Shared, id: &str) {
    let Some((address, old)) = world.borrow().procs.get(id).map(|it| (it.address, it.nursery.clone())) else {
        return;
    };
    old.end();
    let (world, id) = (world.clone(), id.to_string());
    let exec = world.borrow().exec;
    exec.spawn(async move {
        for _ in 0..100 {
            Timer::after(Duration::from_millis(20)).await;
            if let Ok(listener) = listener(address) {
                let nursery = Nursery::new(exec);
                if let Some(proc) = world.borrow_mut().procs.get_mut(&id) {
                    proc.nursery = nursery.clone();
                    proc.listeners.clear();
                }
                return boxes::serve(&nursery, listener, &world, &id);
            }
        }
    })
    .detach();
}

/// Drains a server for some seconds and ends it; another takes its cell, where it is replaced.
fn retire(world: &Shared, id: String, drain: f64, replace: bool) {
    let cell = {
        let mut it = world.borrow_mut();
        let notice = it.day.notice;
        let Some(proc) = it.procs.get_mut(&id).filter(|it| it.alive) else {
            return;
        };
        proc.draining = true;
        it.publish(&id, notice);
        it.fleet.servers[&id].cell
    };
    let world = world.clone();
    let exec = world.borrow().exec;
    exec.spawn(async move {
        Timer::after(Duration::from_secs_f64(drain)).await;
        let notice = world.borrow().day.notice;
        die(&world, &id, notice);
        if replace {
            _ = add(&world, cell, true);
        }
    })
    .detach();
}

pub(crate) const LIMITS: Limits = Limits { connections: 20_000, head: Duration::from_secs(20) };
