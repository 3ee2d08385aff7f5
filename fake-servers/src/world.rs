//! What all servers and their list share: who runs, what ails whom, and what the list will tell.

use crate::book::Book;
use crate::day::Day;
use crate::fleet::Fleet;
use crate::record::Recorder;
use crate::wires::Wires;
use ottersail_invariants::Event;
use ottersail_net::{Executor, TaskGroup};
use ottersail_signed_urls::Keys;
use ottersail_wire::catalogue::{CatalogueServer, Standing};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

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
    pub nursery: TaskGroup,
    pub alive: bool,
    pub draining: bool,
    pub ill: Ill,
    pub listeners: BTreeMap<usize, async_channel::Sender<bytes::Bytes>>,
}

pub(crate) struct World {
    pub exec: Executor,
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

impl World {
    /// A world before its first server.
    pub fn new(exec: Executor, day: Day, recorder: Recorder, keys: Keys) -> Shared {
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
        let wires = Wires::new(exec, &day);
        Rc::new(RefCell::new(World {
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
        }))
    }

    pub fn now(&self) -> f64 {
        self.recorder.clock().now()
    }

    pub fn listed(&self, id: &str) -> Option<CatalogueServer> {
        let (server, proc) = (self.fleet.servers.get(id)?, self.procs.get(id)?);
        Some(CatalogueServer {
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
    pub fn publish(&mut self, id: &str, after: f64) {
        let alive = self.procs.get(id).is_some_and(|it| it.alive);
        let entry = self.listed(id).filter(|_| alive);
        let now = self.now();
        self.book.change(now, now + after, id, entry);
    }

    /// A part of the servers that run, at least one.
    pub fn pick(&mut self, part: f64) -> Vec<String> {
        let mut all: Vec<String> =
            self.procs.iter().filter(|it| it.1.alive && !it.1.draining).map(|it| it.0.clone()).collect();
        self.rng.shuffle(&mut all);
        let count = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
        all.truncate(count);
        all
    }
}

/// The process of a server dies; its sockets close.
pub(crate) fn die(world: &Shared, id: &str, notice: f64) {
    let mut it = world.borrow_mut();
    let Some(proc) = it.procs.get_mut(id).filter(|it| it.alive) else {
        return;
    };
    proc.alive = false;
    proc.listeners.clear();
    proc.nursery.cancel_all();
    if let Some(server) = it.fleet.servers.get_mut(id) {
        server.held.clear();
        server.asked_kb = 0.0;
    }
    it.recorder.note(Event::ServerEnded { server: id.to_string() });
    it.publish(id, notice);
}
